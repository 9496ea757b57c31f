package main

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/camphorbank/camphorbank/internal/config"
)

// faults is the body of PUT /admin/faults.
type faults struct {
	Down           bool            `json:"down"`     // the configuration service answers 503
	VMsDown        bool            `json:"vms_down"` // the VM list answers 503
	Delay          config.Duration `json:"delay"`    // delay of each response of the configuration service
	ServedRevision int64           `json:"serve"`    // revision to serve instead of the newest; 0 for the newest
	VMLag          config.Duration `json:"vm_lag"`   // age of the VM list that is served
}

// counts is the response of GET /admin/counts.
type counts struct {
	Reads   int `json:"reads"`
	Watches int `json:"watches"`
	VMReads int `json:"vm_reads"`
	Refused int `json:"refused"` // calls refused by the rate limit
	Waiting int `json:"waiting"` // watches that are waiting now
}

type platform struct {
	configs, vms *publishedValues

	mu             sync.Mutex
	limiter        *rate.Limiter
	callsPerSecond float64
	faults         map[string]faults // by reader; the entry "" applies to all other readers
	counts         counts
	changed        chan struct{} // closed when a value or fault changes
}

func (p *platform) setRateLimit(callsPerSecond float64) {
	p.callsPerSecond = callsPerSecond
	p.limiter = rate.NewLimiter(rate.Limit(callsPerSecond), max(int(callsPerSecond/10), 1))
}

// admit counts a call to the configuration service, answers it with 429 if it exceeds the rate limit, and otherwise
// waits for the delay that a fault sets. It reports whether the call is to be served.
func (p *platform) admit(w http.ResponseWriter, r *http.Request, add func(*counts)) bool {
	p.mu.Lock()
	add(&p.counts)
	p.limiter.SetLimit(rate.Limit(p.callsPerSecond - float64(p.counts.Waiting)))
	allowed := p.limiter.Allow()
	if !allowed {
		p.counts.Refused++
	}
	p.mu.Unlock()
	if !allowed {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	select {
	case <-time.After(p.faultsFor(readerName(r)).Delay.Duration):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *platform) updateCounts(add func(*counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	add(&p.counts)
}

// addWaiting adds n to the number of waiting watches. Each waiting watch lowers the rate limit by one call a second.
func (p *platform) addWaiting(n int) { p.updateCounts(func(c *counts) { c.Waiting += n }) }

func (p *platform) currentCounts() counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *platform) faultsFor(reader string) faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f, ok := p.faults[reader]; ok {
		return f
	}
	return p.faults[""]
}

// currentConfig returns the configuration that is served to the reader, and a channel that is closed at the next
// change.
func (p *platform) currentConfig(reader string) (value, <-chan struct{}) {
	p.mu.Lock()
	changed := p.changed
	p.mu.Unlock()
	if serve := p.faultsFor(reader).ServedRevision; serve > 0 {
		return p.configs.newestWithRevision(reader, serve), changed
	}
	return p.configs.newestAt(reader, time.Now()), changed
}

func (p *platform) wakeWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.changed)
	p.changed = make(chan struct{})
}

// value is a published configuration or VM list.
type value struct {
	revision    int64
	version     int
	body        []byte
	publishedAt time.Time
}

// publishedValues keeps all values that were published for each reader, oldest first. Values under the reader "" are
// for readers without values of their own.
type publishedValues struct {
	mu       sync.Mutex
	version  int
	byReader map[string][]value
}

func newPublishedValues() *publishedValues { return &publishedValues{byReader: map[string][]value{}} }

func (s *publishedValues) add(reader string, revision int64, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.byReader[reader] = append(s.byReader[reader], value{revision, s.version, body, time.Now()})
}

func (s *publishedValues) valuesFor(reader string) []value {
	if own := s.byReader[reader]; own != nil {
		return own
	}
	return s.byReader[""]
}

// newestAt returns the newest value that was published at or before t, or a zero value.
func (s *publishedValues) newestAt(reader string, t time.Time) value {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.valuesFor(reader)
	for i := len(all) - 1; i >= 0; i-- {
		if !all[i].publishedAt.After(t) {
			return all[i]
		}
	}
	return value{}
}

// newestWithRevision returns the newest value that has the revision, or a zero value.
func (s *publishedValues) newestWithRevision(reader string, rev int64) value {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.valuesFor(reader)
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].revision == rev {
			return all[i]
		}
	}
	return value{}
}
