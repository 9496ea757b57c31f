// Package balance chooses a target for each request, and decides which requests wait and which are refused.
//
// Each target has a limited number of places for requests. A Balancer counts the requests in flight at each target,
// from this process and from its peers, avoids targets that fail, and takes the state of engine groups into account:
// the model engines of a group work in step, so that one slow, missing or overloaded rank delays all of them. A request
// that finds no free place waits in a queue of its service if a place is likely to become free in time, and is refused
// otherwise.
package balance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/coldstart"
	"github.com/camphorbank/camphorbank/internal/contention"
	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// Refusal is the error of a request that gets no target.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // until the caller should retry
}

// Error returns the reason.
func (r *Refusal) Error() string { return string(r.Reason) }

// Reason is the reason why a request was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonFull      Reason = "targets-full" // no usable target has a free place
	ReasonNoTargets Reason = "no-targets"   // no target is listed, or each has already failed this request
	// ReasonClosed means that each target is avoided or in a group that takes no requests at present. It is temporary.
	ReasonClosed Reason = "targets-closed"
	// ReasonQuiet means that each target that is not avoided or closed wants no requests from this process at present.
	ReasonQuiet Reason = "targets-quiet"
	// ReasonEvacuated means that the data centres of all targets are evacuated.
	ReasonEvacuated Reason = "targets-evacuated"
	// ReasonOutside means that no target is in a region to which the request is limited.
	ReasonOutside Reason = "targets-outside-regions"
	// ReasonCold means that each target with a free place has got as many requests as it may get while it is cold, or may
	// have become cold.
	ReasonCold Reason = "targets-cold"
	// ReasonKept means that the free places are kept for more urgent requests that are expected.
	ReasonKept Reason = "places-kept"
	// ReasonDisplaced means that more urgent requests arrived while the request waited.
	ReasonDisplaced Reason = "displaced"
)

// Job describes a request that needs a target.
type Job struct {
	Name      string              // name of the service
	Service   *routetable.Service // nil if the configuration does not describe it
	EventGap  time.Duration       // longest gap between events that is on time; 0 if unstated
	MaxWait   time.Duration       // longest wait for a place
	Remaining time.Duration       // until the caller gives up
	Returning bool                // the caller was refused before and gives up if it is refused again
	Priority  int                 // 0 is the most urgent
	// Prioritized is set if routes of different priorities lead to the service, so that package contention orders its requests.
	Prioritized bool
	Class       int                            // priority within a service with Prioritized; 0 is the most urgent
	Objective   time.Duration                  // latency objective, counted from the first attempt of the caller
	Account     string                         // client account; empty if there is none
	Exclude     map[targetset.Incarnation]bool // targets that have already failed this request
	Prompt      promptcache.Prompt             // of a request to a model engine; zero if it is not known
	Targets     func() []*targetset.Target     // lists the targets of the service
	// SetAside lists the targets of the service that get no requests although they run. It may be nil. If they are engines, they
	// take part in the steps of their groups.
	SetAside func() []*targetset.Target
	// Limit is a name of what limits Targets to a part of the service's, such as regions; empty if nothing does. Jobs of one
	// service with the same Limit have the same targets.
	Limit string
	// NoTargets returns the reason why Targets lists none. It may be nil, for ReasonNoTargets, and must neither block nor call
	// the balancer.
	NoTargets func() Reason
	// WaitsForOpening is called when the job begins to wait because no target of the service takes requests. It may be nil,
	// and must neither block nor call the balancer.
	WaitsForOpening func()

	rank contention.Rank
}

// engine returns the description of the service's engines, or nil for a service without model engines.
func (j *Job) engine() *routetable.Engine {
	if j.Service == nil {
		return nil
	}
	return j.Service.Engine
}

// Lease is a place that a request holds at a target. Done must be called exactly once.
type Lease struct {
	Target      *targetset.Target
	b           *Balancer
	s           *targetState
	service     string
	progress    *progress          // progress of the target's group; nil if the group is unknown
	engine      *routetable.Engine // nil if the target is no engine
	cold        *coldstart.Ticket
	atColdLimit bool // MaySend has refused the request

	contention *contention.Service // nil if the service's requests have the same priority
	class      int
	started    time.Time
	answered   bool // an event has arrived
	promptLease
}

// Result is how a request ended at its target.
type Result int

// Results of requests.
const (
	Served      Result = iota
	Refused            // the target did not run it
	Failed             // the target answered that it failed
	Broken             // no answer, or an invalid or incomplete one
	CallerLeft         // the caller left, which says nothing about the target
	groupClosed        // refused by an engine with free slots, which means that its group is not open
)

// Balancer tracks the load and the health of targets. It is safe for concurrent use.
type Balancer struct {
	Local string // data centre of this process
	// Notify receives an event for each change in the assessment of a target or a group. It must neither block nor call
	// the balancer. It may be nil, and must not be changed once the balancer is in use.
	Notify func(Event)
	// Connected reports whether there is an idle connection to a target's address. It may be nil, and must not be
	// changed once the balancer is in use.
	Connected func(addr string) bool
	// Cold limits the requests to targets that are cold or may become so. It may be nil, and must not be changed once the
	// balancer is in use.
	Cold *coldstart.Limiter
	// Decided receives each decision about a request of a service with priorities. Like Notify, it must neither block nor call
	// the balancer, may be nil, and must not be changed once the balancer is in use.
	Decided func(class int, d contention.Decision)
	// Random returns the random parts of scores and of times of return, in [0, 1). It must not be changed once the balancer is in use.
	Random func() float64

	mu             sync.Mutex
	now            func() time.Time
	states         map[targetset.Incarnation]*targetState
	peerInFlight   map[string]map[string]int // requests in flight by peer process and target id
	peerReportedAt map[string]time.Time
	peerTotal      map[string]int // sum of peerInFlight by target id
	groups         map[string]*group
	groupByEngine  map[string]*group // by the address of a rank's engine
	queues         map[string]*queue // by service
	prompts        *promptcache.Tracker[*targetState]
	// progress is stored by the name of the group and not in group, because each report replaces the group.
	progress map[string]*progress
}

// targetState is the load and the health of one incarnation of a target.
type targetState struct {
	ownInFlight    int       // requests in flight from this process
	quietUntil     time.Time // until then it wants no requests from this process
	health         health
	lastEventGap   time.Duration // latest gap between two events of a stream
	lastEventGapAt time.Time     // when it was observed
	unprocessed    time.Duration // expected time for processing the prompts of requests that have sent no event yet
}

// eventGapMaxAge is the time for which the gap between two events counts as the present speed of a target.
const eventGapMaxAge = time.Second

// slow reports whether the target has lately sent events with a longer gap than the job accepts. It is used for targets
// whose group is unknown.
func (s *targetState) slow(job *Job, now time.Time) bool {
	return now.Sub(s.lastEventGapAt) < eventGapMaxAge && s.lastEventGap > maxEventGap(job)
}

// New returns a balancer for a process in the data centre. now is its clock.
func New(dataCentre string, now func() time.Time) *Balancer {
	return &Balancer{Local: dataCentre, now: now, states: map[targetset.Incarnation]*targetState{},
		peerInFlight: map[string]map[string]int{}, peerReportedAt: map[string]time.Time{}, peerTotal: map[string]int{}, groups: map[string]*group{},
		groupByEngine: map[string]*group{}, queues: map[string]*queue{}, progress: map[string]*progress{},
		prompts: promptcache.New[*targetState](), Random: rand.Float64}
}

const (
	// queuedPerSlot is the number of requests for each slot that may wait at a target without an engine, besides those
	// that it runs.
	queuedPerSlot = 1.0
	// maxRetryAfter bounds the time after which a refused caller is told to retry.
	maxRetryAfter = 2600 * time.Millisecond
	// peerReportMaxAge is the age from which a peer's report of its requests in flight is ignored.
	peerReportMaxAge = 2 * time.Second
	// remotePenalty is the latency added to the prediction for a target in another data centre.
	remotePenalty = 2 * time.Millisecond
	// connectPenalty is the latency added to the prediction for a target to which no connection is idle.
	connectPenalty = 2 * time.Millisecond
	// scoreJitter is the random part of a score. It makes entry processes with the same view of the targets choose
	// different ones.
	scoreJitter = 0.05
)

// pick takes a place for a job at the target with the best score, or returns why there is none. The caller holds the
// lock.
func (b *Balancer) pick(job *Job) (*Lease, Reason) {
	now := b.now()
	c := b.choose(job, now)
	kept := b.keepsBack(job, c.free, now)
	switch {
	case c.best == nil:
		return nil, c.reason
	case kept:
		return nil, ReasonKept
	}
	return b.lease(job, &c, now), ""
}

// choice is the result of looking for a target for a job.
type choice struct {
	best   *targetset.Target // nil if no target takes the request
	reason Reason            // why best is nil
	free   float64           // free places of the service; 0 for a service without priorities
	cold   coldstart.Rates
	plan   *promptPlan
}

// choose looks for the target with the best score. The caller holds the lock.
func (b *Balancer) choose(job *Job, now time.Time) choice {
	targets := job.Targets()
	counts, groups := b.loads(targets, now)
	if job.SetAside != nil {
		b.addGroupLoads(groups, job.SetAside(), now)
	}
	c := choice{reason: ReasonNoTargets, cold: b.Cold.Rates(job.Service, targets, now), plan: b.planPrompt(job)}
	if len(targets) == 0 && job.NoTargets != nil {
		c.reason = job.NoTargets()
	}
	bestScore, atColdLimit := math.Inf(1), false
	for i, t := range targets {
		if job.Exclude[t.Incarnation()] {
			continue
		}
		g := b.groupOf(t, now)
		if reason := b.unavailable(t, g, job, now); reason != "" {
			c.skipped(reason)
			continue
		}
		c.reason = ReasonFull
		if job.Prioritized {
			c.free += b.capacity(t, job, g) - float64(counts[i])
		}
		score, ok := b.score(t, job, counts[i], g, groups[g], c.plan, now)
		if !ok || score >= bestScore {
			continue
		}
		if !c.cold.Allow(t, now) {
			atColdLimit = true
			continue
		}
		c.best, bestScore = t, score
	}
	if job.Prioritized {
		b.recordLoads(groups)
	}
	if c.best == nil && atColdLimit {
		c.reason = ReasonCold
	}
	return c
}

// unavailable returns the reason why a target of a group takes no requests at present whatever its load is, or an empty one if
// it takes them. The caller holds the lock.
func (b *Balancer) unavailable(t *targetset.Target, g *group, job *Job, now time.Time) Reason {
	s := b.stateOf(t)
	switch {
	case s.quiet(now):
		return ReasonQuiet
	case !s.health.usable(now), g != nil && !g.report.TakesRequests, b.stalledAndProbed(t.Addr, now, maxEventGap(job)):
		return ReasonClosed
	}
	return ""
}

// skipped records why a target is unavailable. A full target says most about the time until a place is free, then a quiet one,
// then a closed one.
func (c *choice) skipped(reason Reason) {
	if c.reason == ReasonNoTargets || reason == ReasonQuiet && c.reason == ReasonClosed {
		c.reason = reason
	}
}

// lease takes a place at the chosen target. The caller holds the lock.
func (b *Balancer) lease(job *Job, c *choice, now time.Time) *Lease {
	s := b.stateOf(c.best)
	s.ownInFlight++
	s.health.requestSent()
	p := b.progressOf(c.best.Addr)
	if p != nil {
		p.requestSent(now, maxEventGap(job))
	}
	return &Lease{
		Target: c.best, b: b, s: s, service: job.Name, progress: p, engine: job.engine(), cold: c.cold.Take(c.best, now),
		contention: b.queueOf(job.Name).contention, class: job.Class, started: now, promptLease: b.promptSent(job, c.plan, c.best, s),
	}
}

// score rates a target that has n requests in flight for one more request; the lowest score is the best. For an engine
// it is the predicted time to the first token in seconds, for other targets the number of requests in flight plus a latency
// penalty. It returns false if the target has no free place. An engine has one if a slot is free and, unless the caller
// is returning to a service without priorities, the predicted steps stay within the longest event gap of the job.
func (b *Balancer) score(t *targetset.Target, job *Job, n int, g *group, l *groupLoad, plan *promptPlan, now time.Time) (float64, bool) {
	latencyPenalty := b.extraLatency(t)
	e := job.engine()
	if e == nil {
		if n >= t.Slots+int(queuedPerSlot*float64(t.Slots)) {
			return 0, false
		}
		return float64(n) + latencyPenalty.Seconds()*1000*scoreJitter + b.Random()*scoreJitter, true
	}
	if g == nil && b.stateOf(t).slow(job, now) {
		return 0, false
	}
	mean := float64(l.requests+1) / float64(l.ranks)
	current, reserved := b.imbalance(g, job)
	pace := g.pace(t.Addr)
	if n >= t.Slots || !job.exceedsGap() && stepTime(e, n+1, mean, reserved, pace) > maxEventGap(job) {
		return 0, false
	}
	step := placement.Estimate{Step: stepTime(e, n+1, mean, current, pace), Network: latencyPenalty}
	score := step.FirstToken().Seconds() * (1 + b.Random()*scoreJitter)
	return score + b.estimatePrompt(plan, t, pace).FirstToken().Seconds(), true
}

// extraLatency returns the latency expected from the location of a target and from the lack of an idle connection to
// it.
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

// maxEventGap returns the longest gap between events that is on time for the job.
func maxEventGap(job *Job) time.Duration {
	if job.EventGap > 0 {
		return job.EventGap
	}
	return defaultMaxEventGap
}

// stateOf returns the state of a target. The caller holds the lock.
func (b *Balancer) stateOf(t *targetset.Target) *targetState {
	s := b.states[t.Incarnation()]
	if s == nil {
		s = &targetState{}
		b.states[t.Incarnation()] = s
	}
	return s
}

// inFlight returns the number of requests in flight at a target from all processes. The caller holds the lock and has
// called dropOldReports.
func (b *Balancer) inFlight(t *targetset.Target) int {
	return b.stateOf(t).ownInFlight + b.peerTotal[t.ID]
}

// replaceReport replaces the requests in flight of a peer; counts is nil if the peer no longer counts. The caller holds
// the lock.
func (b *Balancer) replaceReport(process string, counts map[string]int) {
	for id, n := range b.peerInFlight[process] {
		if b.peerTotal[id] -= n; b.peerTotal[id] == 0 {
			delete(b.peerTotal, id)
		}
	}
	for id, n := range counts {
		b.peerTotal[id] += n
	}
	b.peerInFlight[process] = counts
	if counts == nil {
		delete(b.peerInFlight, process)
		delete(b.peerReportedAt, process)
	}
}

// dropOldReports drops the reports of peers that have reached peerReportMaxAge. The caller holds the lock.
func (b *Balancer) dropOldReports(now time.Time) {
	for name, at := range b.peerReportedAt {
		if now.Sub(at) >= peerReportMaxAge {
			b.replaceReport(name, nil)
		}
	}
}

// Done frees the place, records how the request ended, and gives free places to waiting requests.
func (l *Lease) Done(r Result) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.s.ownInFlight--
	l.promptDone(r)
	if l.progress != nil {
		l.progress.running--
	}
	now := l.b.now()
	l.b.dropOldReports(now)
	if r == Refused && l.engine != nil && l.b.inFlight(l.Target) < l.Target.Slots/2 {
		r = groupClosed
	}
	l.b.recordResult(l.Target.ID, &l.s.health, r, now)
	q := l.b.queueOf(l.service)
	q.placeFreed(now)
	if l.contention != nil {
		l.contention.Done(l.class)
	}
	if r == Served {
		q.lastServed = now
		if q.firstServed.IsZero() {
			q.firstServed = now
		}
	}
	l.b.dispatchAll()
}

// InFlight returns the number of requests in flight from this process by target id.
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

// SetPeerInFlight records the number of requests in flight from another process by target id.
func (b *Balancer) SetPeerInFlight(process string, counts map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.replaceReport(process, counts)
	b.peerReportedAt[process] = b.now()
	b.dispatchAll()
}

// Sweep removes the state of targets that are no longer listed, outdated reports of peers, and groups that no longer
// exist.
func (b *Balancer) Sweep(listed map[string]*targetset.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, s := range b.states {
		if t := listed[i.ID]; s.ownInFlight == 0 && !s.quiet(b.now()) && (t == nil || t.Incarnation() != i) {
			delete(b.states, i)
			b.prompts.Forget(s)
		}
	}
	b.dropOldReports(b.now())
	b.removeOldGroups()
	b.sweepContention()
	b.dispatchAll() // the backoff of a target may have ended
}
