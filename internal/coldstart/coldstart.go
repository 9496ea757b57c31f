// Package coldstart limits the requests that this process sends to targets that are cold, or that may become cold
// without having said so.
//
// A target is cold for some time after its start, and may become cold again at any moment. It then fails under a load
// that it carries when it is warm. All entries together must stay below a bound for each target in any second. Each
// entry keeps to its share of the bound, which follows from the number of entries that it knows, so that no message is
// needed. Two limits apply:
//
//   - Every target, whether or not it seems warm, gets at most the entry's share of the deployment's bound in any second.
//   - A target that is known to be cold gets the entry's share of the rate that it tolerates, evenly spaced, beginning
//     with a part of it that grows until the target is warm.
package coldstart

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	// boundShare is the part of the deployment's bound that the entries use together. restartShare is the part that is left
	// for entries that have restarted within the last second, and covers entries that do not know of each other yet.
	boundShare   = 0.6
	restartShare = 1 - boundShare
	// rampStart is the part of its share of the tolerated rate at which a target begins its cold time.
	rampStart = 0.5
	// sendDelay is the time between taking a place and sending the request from which on the request is counted again.
	sendDelay = 50 * time.Millisecond
	// limitedInterval is the shortest time between two events that say that targets of a service are at their limit.
	limitedInterval = 5 * time.Second
	// maxColdTime bounds the time for which a target counts as cold, unless its service states a longer one, so that a wrong
	// statement of a target does not limit it for long.
	maxColdTime = 30 * time.Second
)

// Bounds states how far the deployment lets the rate of a cold target exceed the one that the target tolerates. In any
// second a target may get Overshoot times that rate plus Slack requests. Nothing is limited if both are 0.
type Bounds struct {
	Overshoot float64
	Slack     float64 // requests
}

// Limiter decides which targets may get a request. It is safe for concurrent use.
type Limiter struct {
	// Notify receives an event when a target is found to be cold, and, at most once per limitedInterval and service, when a
	// target is at its limit. It must neither block nor call the limiter. It may be nil, and must not be changed once the
	// limiter is in use.
	Notify func(Event)

	mu       sync.Mutex
	bounds   Bounds
	fleet    fleetSize
	services map[string]*service
}

// EventKind names an event of the limiter.
type EventKind string

// Kinds of events.
const (
	EventCold    EventKind = "target-cold"     // the target is known to be cold for the time For
	EventLimited EventKind = "target-at-limit" // the target has got as many requests as it may in this second
)

// Event is a change in what the limiter knows or does about a target.
type Event struct {
	Kind    EventKind
	Service string
	Target  string
	For     time.Duration
}

// service holds the state of the targets of one service with a limit.
type service struct {
	name    string
	targets map[string]*target // by id: a restarted target may get requests that were meant for its earlier incarnation
	// newestStart is the latest start time in the first list of targets that was seen. A target with a later one has
	// started since.
	newestStart int64
	limitedAt   time.Time // of the last EventLimited
}

// New returns a limiter. firstStart says that no earlier process has run in this one's place, so that none can have sent
// requests in the last second. The clock must be monotonic.
func New(b Bounds, firstStart bool, now time.Time) *Limiter {
	return &Limiter{bounds: b, fleet: newFleetSize(firstStart, now), services: map[string]*service{}}
}

// SetBounds changes the deployment's bounds.
func (l *Limiter) SetBounds(b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bounds = b
}

// SetFleet reports what the process knows about the other entries. It must be called at intervals shorter than
// fleetMaxAge.
func (l *Limiter) SetFleet(f Fleet, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.update(f, now)
}

// Rates are the limits of this process for each target of a service at one time. The zero value limits nothing.
type Rates struct {
	limiter   *Limiter
	service   *service
	perSecond float64 // requests in any second to any target
	coldRate  float64 // requests per second to a cold target at the end of its cold time
	coldStart time.Duration
}

// Rates returns the present limits for the targets of a service. Those of a service that states no rate for cold targets
// are the zero value. The limiter may be nil.
func (l *Limiter) Rates(s *routetable.Service, targets []*targetset.Target, now time.Time) Rates {
	if l == nil || s == nil || s.ColdRate <= 0 {
		return Rates{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := l.bounds.Overshoot*s.ColdRate + l.bounds.Slack
	if bound <= 0 {
		return Rates{}
	}
	state := l.service(s.Name, targets)
	if state == nil {
		return Rates{}
	}
	out := Rates{limiter: l, service: state, coldStart: s.ColdStart}
	entries, share := float64(l.fleet.entries(now)), boundShare
	if l.fleet.predecessorCounts(now) {
		share = restartShare
	}
	out.perSecond = share * bound / entries
	out.coldRate = min(out.perSecond, s.ColdRate/entries)
	return out
}

// service returns the state of a service, or nil if no target of it was ever seen. The caller holds the lock.
func (l *Limiter) service(name string, targets []*targetset.Target) *service {
	s := l.services[name]
	if s == nil && len(targets) > 0 {
		s = &service{name: name, targets: map[string]*target{}}
		for _, t := range targets {
			s.newestStart = max(s.newestStart, t.StartedAtMs)
		}
		l.services[name] = s
	}
	return s
}

// Allow reports whether a target may get a request now.
func (r Rates) Allow(t *targetset.Target, now time.Time) bool {
	if r.limiter == nil {
		return true
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	state := r.observe(t, now)
	if state.within(r, now) {
		return true
	}
	if now.Sub(r.service.limitedAt) >= limitedInterval {
		r.service.limitedAt = now
		r.limiter.notify(Event{Kind: EventLimited, Service: r.service.name, Target: t.ID})
	}
	return false
}

// Take counts a request that is about to be sent to a target that Allow has permitted. The ticket is nil if the target
// is not limited.
func (r Rates) Take(t *targetset.Target, now time.Time) *Ticket {
	if r.limiter == nil {
		return nil
	}
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	state := r.observe(t, now)
	state.count(now)
	return &Ticket{rates: r, id: t.ID, target: state, counted: now}
}

// observe returns the state of a target after an update with the target's entry in the list. The caller holds the lock.
func (r Rates) observe(t *targetset.Target, now time.Time) *target {
	state := r.service.targets[t.ID]
	isNew := state == nil
	if isNew {
		state = &target{created: now, phase: rand.Float64(), startedAtMs: r.service.newestStart}
		r.service.targets[t.ID] = state
	}
	if t.StartedAtMs > state.startedAtMs {
		state.startedAtMs = t.StartedAtMs
		r.setCold(t.ID, state, r.coldStart, now)
	}
	if isNew || state.position != t.Position {
		state.position = t.Position
		r.setCold(t.ID, state, t.ColdFor, now)
	}
	return state
}

// setCold records that a target stays cold for the duration, unless it is known to stay cold for longer. The caller holds the lock.
func (r Rates) setCold(id string, state *target, d time.Duration, now time.Time) {
	d = min(d, max(r.coldStart, maxColdTime))
	until := now.Add(d)
	if d <= 0 || !until.After(state.coldUntil) {
		return
	}
	wasWarm := !state.cold(now)
	state.coldUntil = until
	if wasWarm {
		r.limiter.notify(Event{Kind: EventCold, Service: r.service.name, Target: id, For: d})
	}
}

// notify passes an event to Notify. The caller holds the lock.
func (l *Limiter) notify(e Event) {
	if l.Notify != nil {
		l.Notify(e)
	}
}

// Ticket is the permission to send one request to a target. A nil ticket permits everything.
type Ticket struct {
	rates   Rates
	id      string
	target  *target
	counted time.Time // when the request was last counted; zero if it is not counted
	sent    bool      // MaySend has permitted it
}

// MaySend reports whether the request may be sent now. A request that has waited for its connection, or that is sent
// once more, is counted again and must be within the limit at that time.
func (t *Ticket) MaySend(now time.Time) bool {
	if t == nil {
		return true
	}
	t.rates.limiter.mu.Lock()
	defer t.rates.limiter.mu.Unlock()
	if !t.sent && now.Sub(t.counted) < sendDelay {
		t.sent = true
		return true
	}
	if !t.sent && !t.counted.IsZero() {
		t.target.uncount(t.counted, now)
		t.counted = time.Time{}
	}
	if !t.target.withinWindow(t.rates.perSecond, now) {
		return false
	}
	t.target.count(now)
	t.counted, t.sent = now, true
	return true
}

// ReportCold records that the target has stated in an answer that it stays cold for the duration.
func (t *Ticket) ReportCold(d time.Duration, now time.Time) {
	if t == nil {
		return
	}
	t.rates.limiter.mu.Lock()
	defer t.rates.limiter.mu.Unlock()
	t.rates.setCold(t.id, t.target, d, now)
}

// Sweep removes the state of targets that are not listed and have got no request lately.
func (l *Limiter) Sweep(listed map[string]*targetset.Target, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services {
		for id, state := range s.targets {
			if listed[id] == nil && now.Sub(state.lastCounted) > windowLength {
				delete(s.targets, id)
			}
		}
	}
}

// ColdTargets returns the number of targets that are known to be cold.
func (l *Limiter) ColdTargets(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.services {
		for _, state := range s.targets {
			if state.cold(now) {
				n++
			}
		}
	}
	return n
}
