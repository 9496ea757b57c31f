package contention

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// shareInterval is the time between two calculations of the fair share.
	shareInterval = 100 * time.Millisecond
	// idlePerSecond is the rate of requests below which an account is forgotten.
	idlePerSecond = 0.01
	// fullyAdmittedShare is the share of the requests that must be admitted for all accounts to count as within their
	// fair share. The averages of both rates differ a little without any refusal.
	fullyAdmittedShare = 0.97
)

// accounts measures the requests of the client accounts of one class.
type accounts struct {
	byName   map[string]*accountRates
	share    float64   // max-min fair share in requests per second
	computed time.Time // time at which the share was calculated
}

type accountRates struct{ offered, admitted rate }

func newAccounts() *accounts {
	return &accounts{byName: map[string]*accountRates{}, share: math.Inf(1)}
}

func (a *accounts) of(name string) *accountRates {
	r := a.byName[name]
	if r == nil {
		r = &accountRates{}
		a.byName[name] = r
	}
	return r
}

func (a *accounts) offered(name string, now time.Time)  { a.of(name).offered.add(now) }
func (a *accounts) admitted(name string, now time.Time) { a.of(name).admitted.add(now) }

// overShare reports whether an account has been admitted more often than its fair share.
func (a *accounts) overShare(name string, now time.Time) bool {
	if now.Sub(a.computed) >= shareInterval {
		a.computed = now
		a.share = a.fairShare(now)
	}
	return a.of(name).admitted.perSecond(now) > a.share
}

// fairShare returns the highest rate per account of which the sum over all accounts, each with at most what it asks for,
// stays within the rate of admitted requests. It returns infinity if nearly all requests are admitted.
func (a *accounts) fairShare(now time.Time) float64 {
	maps.DeleteFunc(a.byName, func(_ string, r *accountRates) bool { return r.offered.perSecond(now) < idlePerSecond })
	var asked []float64
	offered, admitted := 0.0, 0.0
	for _, r := range a.byName {
		perSecond := r.offered.perSecond(now)
		asked = append(asked, perSecond)
		offered += perSecond
		admitted += r.admitted.perSecond(now)
	}
	if len(asked) < 2 || admitted >= fullyAdmittedShare*offered {
		return math.Inf(1)
	}
	slices.Sort(asked)
	left := admitted
	for i, perSecond := range asked {
		share := left / float64(len(asked)-i)
		if perSecond >= share {
			return share
		}
		left -= perSecond
	}
	return math.Inf(1)
}
