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
	Remaining time.Duration                  // until the caller gives up
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
	s        *targetState
	service  string
	progress *progress // of the target's group; nil if the group is unknown
	engine   bool      // the target is an engine
}

// Result is how a request ended at its target.
type Result int

// Results of requests.
const (
	Served      Result = iota
	Refused            // not run
	Failed             // the target answered that it failed
	Broken             // no answer, or a broken one
	CallerLeft         // the caller left, which says nothing of the target
	groupClosed        // not run, by an engine with free slots: its group is not open
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

	mu             sync.Mutex
	now            func() time.Time
	states         map[targetset.Incarnation]*targetState
	peerInFlight   map[string]map[string]int // requests in flight by process and target id
	peerReportedAt map[string]time.Time
	groups         map[string]*group
	groupByEngine  map[string]*group // by the address of a rank's engine
	queues         map[string]*queue // by service
	// progress is kept by the name of the group, since a report replaces what is known of the group.
	progress map[string]*progress
}

type targetState struct {
	ownInFlight    int // requests in flight from this process
	health         health
	lastEventGap   time.Duration // latest pause between two events of a stream
	lastEventGapAt time.Time     // when that was seen
}

// eventGapMaxAge is the time for which a pause between two events tells the pace of a target.
const eventGapMaxAge = time.Second

// slow says whether a target whose group is unknown sends events with longer pauses than the job accepts.
func (s *targetState) slow(job *Job, now time.Time) bool {
	return now.Sub(s.lastEventGapAt) < eventGapMaxAge && s.lastEventGap > maxEventGap(job)
}

// New returns a balancer for a process in the data centre.
func New(dataCentre string, now func() time.Time) *Balancer {
	return &Balancer{Local: dataCentre, now: now, states: map[targetset.Incarnation]*targetState{}, peerInFlight: map[string]map[string]int{},
		peerReportedAt: map[string]time.Time{}, groups: map[string]*group{}, groupByEngine: map[string]*group{}, queues: map[string]*queue{},
		progress: map[string]*progress{}}
}

const (
	// queuedPerSlot is the part of a plain target's slots that may wait at the target besides those that run.
	queuedPerSlot = 1.0
	// maxRetryAfter is the latest time at which a caller that found all targets full is told to come back.
	maxRetryAfter = 2600 * time.Millisecond
	// peerReportMaxAge is the age at which a peer's report of its requests in flight is dropped.
	peerReportMaxAge = 2 * time.Second
	// remotePenalty is the time by which a target in another data centre is taken for slower.
	remotePenalty = 2 * time.Millisecond
	// connectPenalty is the time by which a target is taken for slower to which a connection must be opened first.
	connectPenalty = 2 * time.Millisecond
	// scoreJitter is the part of the score that is drawn at random, so that entries with the same view choose differently.
	scoreJitter = 0.05
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
		if !b.stateOf(t).health.usable(now) || g != nil && !g.report.Open || b.stalled(t.Addr, now, maxEventGap(job)) {
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
	s := b.stateOf(best)
	s.ownInFlight++
	s.health.requestSent()
	p := b.progressOf(best.Addr)
	if p != nil {
		p.requestSent(now, maxEventGap(job))
	}
	return &Lease{Target: best, b: b, s: s, service: job.Name, progress: p, engine: job.engine() != nil}, ""
}

// score predicts how slow a target with n requests is with one more, in seconds. ok is false if it has no place.
func (b *Balancer) score(t *targetset.Target, job *Job, n int, g *group, l *groupLoad, now time.Time) (float64, bool) {
	latencyPenalty := b.extraLatency(t)
	e := job.engine()
	if e == nil {
		if n >= t.Slots+int(queuedPerSlot*float64(t.Slots)) {
			return 0, false
		}
		return float64(n) + latencyPenalty.Seconds()*1000*scoreJitter + rand.Float64()*scoreJitter, true
	}
	if g == nil && b.stateOf(t).slow(job, now) {
		return 0, false
	}
	mean := float64(l.requests+1) / float64(l.ranks)
	current, reserved := g.imbalance()
	pace := g.pace(t.Addr)
	if n >= t.Slots || !job.Returning && passTime(e, n+1, mean, reserved, pace) > maxEventGap(job) {
		return 0, false
	}
	pass := passTime(e, n+1, mean, current, pace)
	return (pass + latencyPenalty).Seconds() * (1 + rand.Float64()*scoreJitter), true
}

// extraLatency is the time by which a target is slower because of where it is and how it is connected.
func (b *Balancer) extraLatency(t *targetset.Target) time.Duration {
	d := time.Duration(0)
	if t.DataCentre != b.Local {
		d += remotePenalty
	}
	if b.Connected != nil && !b.Connected(t.Addr) {
		d += connectPenalty
	}
	return d
}

func maxEventGap(job *Job) time.Duration {
	if job.EventGap > 0 {
		return job.EventGap
	}
	return defaultMaxEventGap
}

func (b *Balancer) stateOf(t *targetset.Target) *targetState {
	s := b.states[t.Incarnation()]
	if s == nil {
		s = &targetState{}
		b.states[t.Incarnation()] = s
	}
	return s
}

// inFlight returns the requests in flight at a target, from all processes.
func (b *Balancer) inFlight(t *targetset.Target, now time.Time) int {
	n := b.stateOf(t).ownInFlight
	for name, counts := range b.peerInFlight {
		if now.Sub(b.peerReportedAt[name]) < peerReportMaxAge {
			n += counts[t.ID]
		}
	}
	return n
}

// Done frees the place and records how the request ended.
func (l *Lease) Done(r Result) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.s.ownInFlight--
	if l.progress != nil {
		l.progress.running--
	}
	now := l.b.now()
	if r == Refused && l.engine && l.b.inFlight(l.Target, now) < l.Target.Slots/2 {
		r = groupClosed
	}
	l.b.recordResult(l.Target.ID, &l.s.health, r, now)
	q := l.b.queueOf(l.service)
	q.placeFreed(now)
	if r == Served {
		q.lastServed = now
	}
	l.b.dispatchAll()
}

// InFlight returns the requests in flight from this process by target id.
func (b *Balancer) InFlight() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for i, s := range b.states {
		if s.ownInFlight > 0 {
			out[i.ID] += s.ownInFlight
		}
	}
	return out
}

// Report takes in the requests in flight from another process.
func (b *Balancer) Report(process string, counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerInFlight[process] = counts
	b.peerReportedAt[process] = b.now()
	b.dispatchAll()
}

// Sweep forgets the state of targets that are no longer listed.
func (b *Balancer) Sweep(listed map[string]*targetset.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, s := range b.states {
		if t := listed[i.ID]; s.ownInFlight == 0 && (t == nil || t.Incarnation() != i) {
			delete(b.states, i)
		}
	}
	for name, at := range b.peerReportedAt {
		if b.now().Sub(at) > peerReportMaxAge {
			delete(b.peerReportedAt, name)
			delete(b.peerInFlight, name)
		}
	}
	b.dispatchAll() // a target may be tried again by now
}
