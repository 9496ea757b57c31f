// Package contention decides who is served first when a service whose callers differ in priority has fewer places than
// they ask for.
//
// More urgent requests go first. Within a class, those that can still meet their latency objective go before those of
// client accounts that exceed their fair share, and both before callers that return after a refusal, which have missed
// the objective. Places are kept back for the more urgent requests that are expected until the next places come free.
//
// The package makes decisions from numbers and times that it is given. It holds the state of one process, which consists
// of recent rates only, so that a new process needs about a second to learn them.
package contention

import "time"

// Request is what the decisions about a request depend on.
type Request struct {
	Class     int    // class of urgency by the priorities of account and route; 0 is the most urgent
	Account   string // client account; empty if there is none
	Returning bool   // the caller was refused before and gives up if it is refused again
}

// Tier orders the requests of one class. Lower tiers go first.
type Tier int

// Tiers of requests.
const (
	TierInTime    Tier = iota // can meet the objective
	TierOverShare             // the account exceeds its fair share
	TierReturning             // has missed the objective
)

// Rank is the position of a request in the order in which requests get places.
type Rank struct {
	Class int
	Tier  Tier
}

// isBehind reports whether new requests of a class go before those of the rank: more urgent ones always, and those of the
// same class if the rank is not in the first tier.
func (r Rank) isBehind(class int) bool {
	return class < r.Class || class == r.Class && r.Tier > TierInTime
}

// Before reports whether requests of the rank get places before those of another one.
func (r Rank) Before(other Rank) bool {
	if r.Class != other.Class {
		return r.Class < other.Class
	}
	return r.Tier < other.Tier
}

// Decision is what was decided about a request.
type Decision string

// Decisions.
const (
	Admitted  Decision = "admitted"  // got a place at once
	Waited    Decision = "waited"    // got a place after a wait
	Displaced Decision = "displaced" // refused while it waited, because more urgent requests arrived
	Full      Decision = "full"      // refused because no place came free, or was expected to come free, in time
	KeptBack  Decision = "kept-back" // refused because the free places are kept for more urgent requests
	Closed    Decision = "closed"    // refused because no target takes requests
)

// isRefusal reports whether the request got no place.
func (d Decision) isRefusal() bool { return d != Admitted && d != Waited }

// Service is the state of contention for one service in this process. It is not safe for concurrent use.
type Service struct {
	demand     demand
	accounts   map[int]*accounts // by class
	firstEvent delay             // from the start of an attempt to the first event of its answer
	offered    rate              // of all requests
	refused    rate
	episode    episode
}

// NewService returns the state of a service of which nothing is known yet.
func NewService() *Service {
	return &Service{demand: newDemand(), accounts: map[int]*accounts{}}
}

// Arrived records the arrival of a request.
func (s *Service) Arrived(r Request, now time.Time) {
	s.demand.arrived(r.Class, now)
	s.offered.add(now)
	s.accountsOf(r.Class).offered(r.Account, now)
}

// Rank returns the rank of a request.
func (s *Service) Rank(r Request, now time.Time) Rank {
	switch {
	case r.Returning:
		return Rank{r.Class, TierReturning}
	case s.episode.active && s.accountsOf(r.Class).overShare(r.Account, now):
		return Rank{r.Class, TierOverShare}
	}
	return Rank{r.Class, TierInTime}
}

// Decided records the decision about a request and reports whether contention begins with it.
func (s *Service) Decided(r Request, d Decision, now time.Time) (begins bool) {
	if d.isRefusal() {
		s.refused.add(now)
	} else {
		s.demand.started(r.Class)
		s.accountsOf(r.Class).admitted(r.Account, now)
	}
	return s.episode.decided(d, now)
}

// Done records the end of a request that had a place.
func (s *Service) Done(class int) { s.demand.done(class) }

func (s *Service) accountsOf(class int) *accounts {
	a := s.accounts[class]
	if a == nil {
		a = newAccounts()
		s.accounts[class] = a
	}
	return a
}
