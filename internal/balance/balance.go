// Package balance chooses the target of each request, and decides which requests are refused.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// Refusal says that a request gets no target now.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string { return string(r.Reason) }

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonFull      Reason = "targets-full"
	ReasonNoTargets Reason = "no-targets"
)

// Job describes the request that needs a target.
type Job struct {
	Service      *routetable.Service
	PromptTokens int
	Exclude      map[targetset.Incarnation]bool // that have failed this request
}

// Lease is a place at a target. Done must be called once.
type Lease struct {
	Target *targetset.Target
	b      *Balancer
	s      *state
	job    Job
}

// Result is how a request ended at its target.
type Result int

// Results of requests.
const (
	Served  Result = iota
	Refused        // not run
	Failed         // the target answered that it failed
	Broken         // no answer, or a broken one
	Left           // the caller left, which says nothing of the target
)

// Balancer tracks the load and the health of targets. It is safe for concurrent use.
type Balancer struct {
	Local string // data centre of this process

	mu      sync.Mutex
	now     func() time.Time
	states  map[targetset.Incarnation]*state
	peers   map[string]map[string]int // requests in flight by process and target id
	reports map[string]time.Time
}

type state struct {
	own    int // requests in flight from this process
	health health
}

// New returns a balancer for a process in the data centre.
func New(dataCentre string, now func() time.Time) *Balancer {
	return &Balancer{Local: dataCentre, now: now, states: map[targetset.Incarnation]*state{}, peers: map[string]map[string]int{},
		reports: map[string]time.Time{}}
}

const (
	// engineLimit bounds the requests of one engine: more make the passes longer than the pause that callers accept.
	engineLimit = 9
	// queueShare is the part of a plain target's slots that may wait at the target besides those that run.
	queueShare = 1.0
	// fullWait is the time after which a caller that found all targets full may come back.
	fullWait = time.Second
	// peerAge is the age at which a peer's report of its requests in flight is dropped.
	peerAge = 2 * time.Second
)

// Acquire takes a place for a job at one of the targets.
func (b *Balancer) Acquire(targets []*targetset.Target, job Job) (*Lease, *Refusal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var best *targetset.Target
	var bestState *state
	bestScore := math.Inf(1)
	healthy := false
	for _, t := range targets {
		if job.Exclude[t.Incarnation()] {
			continue
		}
		s := b.state(t)
		if !s.health.usable(now) {
			continue
		}
		healthy = true
		n := s.own + b.fromPeers(t.ID, now)
		if n >= limit(t, job) {
			continue
		}
		score := float64(n) + rand.Float64()*0.5
		if t.DataCentre != b.Local {
			score += 0.25
		}
		if score < bestScore {
			best, bestState, bestScore = t, s, score
		}
	}
	if best == nil {
		if !healthy {
			return nil, &Refusal{ReasonNoTargets, fullWait}
		}
		return nil, &Refusal{ReasonFull, fullWait}
	}
	bestState.own++
	bestState.health.dispatched()
	return &Lease{Target: best, b: b, s: bestState, job: job}, nil
}

func limit(t *targetset.Target, job Job) int {
	if job.Service != nil && job.Service.Engine != nil {
		return min(engineLimit, t.Slots)
	}
	return t.Slots + int(queueShare*float64(t.Slots))
}

func (b *Balancer) state(t *targetset.Target) *state {
	s := b.states[t.Incarnation()]
	if s == nil {
		s = &state{}
		b.states[t.Incarnation()] = s
	}
	return s
}

func (b *Balancer) fromPeers(id string, now time.Time) int {
	n := 0
	for name, counts := range b.peers {
		if now.Sub(b.reports[name]) < peerAge {
			n += counts[id]
		}
	}
	return n
}

// Done frees the place and records how the request ended.
func (l *Lease) Done(r Result) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.s.own--
	l.s.health.done(r, l.b.now())
}

// InFlight returns the requests in flight from this process by target id.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for i, s := range b.states {
		if s.own > 0 {
			out[i.ID] += s.own
		}
	}
	return out
}

// Report takes in the requests in flight from another process.
func (b *Balancer) Report(process string, counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[process] = counts
	b.reports[process] = b.now()
}

// Sweep forgets the state of targets that are no longer listed.
func (b *Balancer) Sweep(listed map[string]*targetset.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, s := range b.states {
		if t := listed[i.ID]; s.own == 0 && (t == nil || t.Incarnation() != i) {
			delete(b.states, i)
		}
	}
	for name, at := range b.reports {
		if b.now().Sub(at) > peerAge {
			delete(b.reports, name)
			delete(b.peers, name)
		}
	}
}
