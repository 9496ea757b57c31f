package soak_test

import (
	"sync"
	"time"
)

// call is one request of a client, from its first byte to its end.
type call struct {
	ID       string
	Route    route
	Account  string
	Body     string
	Entry    string
	Lifetime int // of the entry's process, from 1
	Sent     time.Time
	Ended    time.Time // zero while it runs
	Status   int       // 0 without an answer
	Stamped  bool
	Answer   string
	Events   []string // of a stream
	Complete bool     // the answer ended as a complete one
	Err      error
}

// run is one request that a target began to work on.
type run struct {
	Target, Service  string
	At               time.Time
	Method, URI      string
	Account, Body    string
	ResumeAfter      int
	Left             time.Duration // that the request stated
	RefusedUnstarted bool          // the target promised that it did not run
}

// disturbance is a span in which a fault was in force. Planned ones are what operators do.
type disturbance struct {
	What     string
	Planned  bool
	From, To time.Time // To is zero while it lasts
}

// ledger records what clients and targets see. It is safe for concurrent use.
type ledger struct {
	mu           sync.Mutex
	calls        []*call
	runs         map[string][]run
	disturbances []*disturbance
	versions     map[int]time.Time // when each configuration was published
	leaves       map[string]time.Time
	findings     []string
}

func newLedger() *ledger {
	return &ledger{runs: map[string][]run{}, versions: map[int]time.Time{}, leaves: map[string]time.Time{}}
}

func (l *ledger) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *ledger) add(c *call) { l.locked(func() { l.calls = append(l.calls, c) }) }

func (l *ledger) ran(id string, r run) { l.locked(func() { l.runs[id] = append(l.runs[id], r) }) }

// begin notes a disturbance and returns the function that notes its end.
func (l *ledger) begin(what string, planned bool) (end func()) {
	d := &disturbance{What: what, Planned: planned, From: time.Now()}
	l.locked(func() { l.disturbances = append(l.disturbances, d) })
	return func() { l.locked(func() { d.To = time.Now() }) }
}

// calm says whether no disturbance was in force between two points of time. Planned ones count if planned is set.
func (l *ledger) calm(from, to time.Time, planned bool) bool {
	for _, d := range l.disturbances {
		if d.Planned && !planned {
			continue
		}
		if d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) {
			return false
		}
	}
	return true
}
