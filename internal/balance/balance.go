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
	// ReasonClosed is that all targets are avoided, or in groups that take no requests, which passes.
	ReasonClosed Reason = "targets-closed"
)

// Job describes the request that needs a target.
type Job struct {
	Name      string                         // of the service
	Service   *routetable.Service            // nil if the configuration does not describe it
	EventGap  time.Duration                  // longest pause between events that is on time; 0 if unstated
	MaxWait   time.Duration                  // for a place
	Left      time.Duration                  // until the caller gives up
	Returning bool                           // the caller has been refused before, and is lost if it is refused again
	Priority  int                            // 0 is the most urgent
	Exclude   map[targetset.Incarnation]bool // that have failed this request
	Targets   func() []*targetset.Target     // of the service
}

// engine returns the figures of the service's engines, or nil for a plain service.
func (j *Job) engine() *routetable.Engine {
	if j.Service == nil {
		return nil
	}
	return j.Service.Engine
}

// Lease is a place at a target. Done must be called once.
type Lease struct {
	Target   *targetset.Target
	b        *Balancer
	s        *state
	service  string
	progress *progress // of the target's group; nil if the group is unknown
	engine   bool      // the target is an engine
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
	closed         // not run, by an engine with free slots: its group is not open
)

// Balancer tracks the load and the health of targets. It is safe for concurrent use.
type Balancer struct {
	Local string // data centre of this process
	// Notify is told each change of what is believed of targets and groups. It must neither block nor call the balancer.
	// It may be nil, and must not be changed once the balancer is in use.
	Notify func(Event)
	// Connected says whether a connection to a target's address is idle. It may be nil, and must not be changed once the
	// balancer is in use.
	Connected func(addr string) bool

	mu      sync.Mutex
	now     func() time.Time
	states  map[targetset.Incarnation]*state
	peers   map[string]map[string]int // requests in flight by process and target id
	reports map[string]time.Time
	groups  map[string]*group
	engines map[string]*group // by the address of a rank's engine
	queues  map[string]*queue // by service
	// progress is kept by the name of the group, since a report replaces what is known of the group.
	progress map[string]*progress
}

type state struct {
	own    int // requests in flight from this process
	health health
	pause  time.Duration // latest pause between two events of a stream
	paused time.Time     // when that was seen
}

// pauseAge is the time for which a pause between two events tells the pace of a target.
const pauseAge = time.Second

// slow says whether a target whose group is unknown sends events with longer pauses than the job accepts.
func (s *state) slow(job *Job, now time.Time) bool {
	return now.Sub(s.paused) < pauseAge && s.pause > gapOf(job)
}

// New returns a balancer for a process in the data centre.
func New(dataCentre string, now func() time.Time) *Balancer {
	return &Balancer{Local: dataCentre, now: now, states: map[targetset.Incarnation]*state{}, peers: map[string]map[string]int{},
		reports: map[string]time.Time{}, groups: map[string]*group{}, engines: map[string]*group{}, queues: map[string]*queue{},
		progress: map[string]*progress{}}
}

const (
	// queueShare is the part of a plain target's slots that may wait at the target besides those that run.
	queueShare = 1.0
	// fullWait is the latest time at which a caller that found all targets full is told to come back.
	fullWait = 2600 * time.Millisecond
	// peerAge is the age at which a peer's report of its requests in flight is dropped.
	peerAge = 2 * time.Second
	// farPenalty is the time by which a target in another data centre is taken for slower.
	farPenalty = 2 * time.Millisecond
	// connectPenalty is the time by which a target is taken for slower to which a connection must be opened first.
	connectPenalty = 2 * time.Millisecond
	// spread is the part of the score that is drawn at random, so that entries with the same view choose differently.
	spread = 0.05
)

// pick takes a place for a job at one of the targets, or returns why there is none. The caller holds the lock.
func (b *Balancer) pick(job *Job) (*Lease, Reason) {
	now := b.now()
	targets := job.Targets()
	counts, groups := b.loads(targets, now)
	var best *targetset.Target
	bestScore := math.Inf(1)
	reason := ReasonNoTargets
	for i, t := range targets {
		if job.Exclude[t.Incarnation()] {
			continue
		}
		g := b.groupOf(t, now)
		if !b.state(t).health.usable(now) || g != nil && !g.report.Open || b.stalled(t.Addr, now, gapOf(job)) {
			if reason == ReasonNoTargets {
				reason = ReasonClosed
			}
			continue
		}
		reason = ReasonFull
		score, ok := b.score(t, job, counts[i], g, groups[g], now)
		if ok && score < bestScore {
			best, bestScore = t, score
		}
	}
	if best == nil {
		return nil, reason
	}
	s := b.state(best)
	s.own++
	s.health.dispatched()
	p := b.progressOf(best.Addr)
	if p != nil {
		p.began(now, gapOf(job))
	}
	return &Lease{Target: best, b: b, s: s, service: job.Name, progress: p, engine: job.engine() != nil}, ""
}

// score predicts how slow a target with n requests is with one more, in seconds. ok is false if it has no place.
func (b *Balancer) score(t *targetset.Target, job *Job, n int, g *group, l *load, now time.Time) (float64, bool) {
	far := b.distance(t)
	e := job.engine()
	if e == nil {
		if n >= t.Slots+int(queueShare*float64(t.Slots)) {
			return 0, false
		}
		return float64(n) + far.Seconds()*1000*spread + rand.Float64()*spread, true
	}
	if g == nil && b.state(t).slow(job, now) {
		return 0, false
	}
	mean := float64(l.requests+1) / float64(l.ranks)
	imbalance, kept := g.imbalance()
	pace := g.pace(t.Addr)
	if n >= t.Slots || !job.Returning && passTime(e, n+1, mean, kept, pace) > gapOf(job) {
		return 0, false
	}
	pass := passTime(e, n+1, mean, imbalance, pace)
	return (pass + far).Seconds() * (1 + rand.Float64()*spread), true
}

// distance is the time by which a target is slower because of where it is and how it is connected.
func (b *Balancer) distance(t *targetset.Target) time.Duration {
	d := time.Duration(0)
	if t.DataCentre != b.Local {
		d += farPenalty
	}
	if b.Connected != nil && !b.Connected(t.Addr) {
		d += connectPenalty
	}
	return d
}

func gapOf(job *Job) time.Duration {
	if job.EventGap > 0 {
		return job.EventGap
	}
	return defaultEventGap
}

func (b *Balancer) state(t *targetset.Target) *state {
	s := b.states[t.Incarnation()]
	if s == nil {
		s = &state{}
		b.states[t.Incarnation()] = s
	}
	return s
}

// inFlight returns the requests in flight at a target, from all processes.
func (b *Balancer) inFlight(t *targetset.Target, now time.Time) int {
	n := b.state(t).own
	for name, counts := range b.peers {
		if now.Sub(b.reports[name]) < peerAge {
			n += counts[t.ID]
		}
	}
	return n
}

// Done frees the place and records how the request ended.
func (l *Lease) Done(r Result) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.s.own--
	if l.progress != nil {
		l.progress.running--
	}
	now := l.b.now()
	if r == Refused && l.engine && l.b.inFlight(l.Target, now) < l.Target.Slots/2 {
		r = closed
	}
	l.b.judge(l.Target.ID, &l.s.health, r, now)
	q := l.b.queue(l.service)
	q.freed(now)
	if r == Served {
		q.served = now
	}
	l.b.dispatch()
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
	b.dispatch()
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
	b.dispatch() // a target may be tried again by now
}
