package balance

import (
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/contention"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// request returns what package contention needs to know about a job.
func (j *Job) request() contention.Request {
	return contention.Request{Class: j.Class, Account: j.Account, Returning: j.Returning}
}

// rank determines the rank of a job that arrives, and for a service with priorities the longest time that it may wait.
// Without priorities, returning callers go first, since they give up if they are refused again. The caller holds the
// lock.
func (b *Balancer) rank(q *queue, job *Job) {
	if !job.Prioritized {
		q.contention = nil
		job.rank = contention.Rank{Class: job.Priority}
		if !job.Returning {
			job.rank.Tier++
		}
		return
	}
	if q.contention == nil {
		q.contention = contention.NewService()
	}
	now := b.now()
	q.contention.Arrived(job.request(), now)
	job.rank = q.contention.Rank(job.request(), now)
	if !job.Returning {
		job.MaxWait = min(job.MaxWait, q.contention.WaitBudget(job.Objective, now))
	}
}

// decided records the decision about a job. The caller holds the lock.
func (b *Balancer) decided(q *queue, job *Job, d contention.Decision) {
	if q.contention == nil {
		return
	}
	if b.Decided != nil {
		b.Decided(job.Class, d)
	}
	if q.contention.Decided(job.request(), d, b.now()) {
		b.notify(Event{Kind: EventContended, Service: job.Name})
	}
}

// refusalDecision returns the decision that a refusal for a reason records.
func refusalDecision(reason Reason) contention.Decision {
	switch reason {
	case ReasonFull:
		return contention.Full
	case ReasonKept:
		return contention.KeptBack
	case ReasonDisplaced:
		return contention.Displaced
	}
	return contention.Closed
}

// exceedsGap reports whether the job may get a slot although the steps of the engine become longer than the longest
// event gap.
func (j *Job) exceedsGap() bool { return j.Returning && !j.Prioritized }

// keepsBack reports whether a job has to leave the free places of its service to more urgent requests, and records how
// many are free. The caller holds the lock.
func (b *Balancer) keepsBack(job *Job, free float64, now time.Time) bool {
	q := b.queueOf(job.Name)
	if q.contention == nil || !job.Prioritized { // the job is of an earlier configuration
		return false
	}
	q.free = free
	kept := q.contention.Kept(job.rank, now)
	return kept > 0 && free < 1+kept
}

// returningShare is the share of the places that come free that the prediction assumes for returning callers at least. They
// may wait for longer than the present rates of more urgent requests last, and give up if they are refused.
const returningShare = 0.1

// expectedWait predicts the time until a job with n waiting requests ahead of it gets a place. The caller holds the lock.
func (b *Balancer) expectedWait(q *queue, job *Job, n int) time.Duration {
	now := b.now()
	if q.contention == nil {
		return q.expectedWait(n, now)
	}
	if !q.rateKnown(now) {
		return 0
	}
	missing := max(0, q.contention.Kept(job.rank, now)-q.free) / float64(len(b.peerReportedAt)+1)
	q.decayRate(now)
	perSecond := q.freedPerSecond - q.contention.AheadPerSecond(job.rank, now)
	if job.Returning {
		perSecond = max(perSecond, returningShare*q.freedPerSecond)
	}
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration((float64(n+1) + missing) / perSecond * float64(time.Second))
}

// rateKnown reports whether the process has served requests for long enough to know how fast places come free. A process that
// has just started would otherwise refuse all that find no place, although the first places come free when the first answers
// end.
func (q *queue) rateKnown(now time.Time) bool {
	if q.firstServed.IsZero() {
		return now.Sub(q.lastServed) >= maxClosedOutage
	}
	return now.Sub(q.firstServed) >= rateWindow
}

// displace refuses the waiting requests that yield to a job that has begun to wait, if they are no longer expected to get
// a place in time. The caller holds the lock.
func (b *Balancer) displace(q *queue, job *Job) {
	if q.contention == nil {
		return
	}
	now := b.now()
	for i := len(q.waiting) - 1; i >= 0 && q.waiting[i].job.yieldsTo(job); i-- {
		w := q.waiting[i]
		if !w.waitsForPlace(w.job.Limit) || now.Add(b.expectedWait(q, w.job, i)).Before(w.until) {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		w.placed <- waitResult{refusal: b.refuse(q, w.job, ReasonDisplaced, 0)}
	}
}

// capacity returns the number of requests at a target with which the steps of its group stay within the longest event
// gap of a job, if all targets of the group have as many.
func (b *Balancer) capacity(t *targetset.Target, job *Job, g *group) float64 {
	e := job.engine()
	if e == nil {
		return float64(t.Slots) + queuedPerSlot*float64(t.Slots)
	}
	_, reserved := b.imbalance(g, job)
	return min(float64(t.Slots), requestsWithin(e, maxEventGap(job), reserved, g.pace(t.Addr)))
}

// imbalance returns the factor by which the most loaded rank of a group takes longer than the mean, and the factor that
// admission of a job allows for. Reports of the group's coordinator are too high right after a shift of popularity, so that
// admission goes by what the streams have shown where it can.
func (b *Balancer) imbalance(g *group, job *Job) (current, reserved float64) {
	current, reserved = g.imbalance()
	if g == nil || !job.Prioritized {
		return current, reserved
	}
	if p := b.progress[g.report.Name]; p != nil && g.report.Imbalance > 0 {
		reserved = p.reserve.Value(b.now())
	}
	return current, reserved
}

// recordLoads records the requests in flight in each group. The caller holds the lock.
func (b *Balancer) recordLoads(groups map[*group]*groupLoad) {
	for g, l := range groups {
		if g == nil {
			continue
		}
		if p := b.progress[g.report.Name]; p != nil {
			p.mean = float64(l.requests) / float64(l.ranks)
		}
	}
}

// recordImbalance updates the imbalance that admission allows for in the target's group from the time between two events.
// The events show how long steps take after a shift of popularity, which the group's coordinator can only estimate. The
// caller holds the lock.
func (l *Lease) recordImbalance(gap time.Duration, now time.Time) {
	if l.contention != nil && l.engine != nil && l.progress != nil {
		l.progress.reserve.Report(imbalanceOf(l.engine, gap, l.progress.mean), now)
	}
}

// sweepContention notifies of the end of contention. The caller holds the lock.
func (b *Balancer) sweepContention() {
	for name, q := range b.queues {
		if q.contention == nil {
			continue
		}
		if ended, lasted, counts := q.contention.Sweep(b.now()); ended {
			b.notify(Event{Kind: EventCalm, Service: name, Age: lasted, Counts: counts})
		}
	}
}

// Places are the places of a service with priorities as this process sees them.
type Places struct {
	Service string
	Free    int // below 0 if the requests in flight exceed what the engines can serve with the longest event gap
	Kept    int // of those, places that requests of the least urgent class have to leave
}

// Places returns the places of the services with priorities.
func (b *Balancer) Places() (out []Places) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, q := range b.queues {
		if q.contention != nil {
			out = append(out, Places{name, int(q.free), int(q.contention.KeptFromLeast(b.now()))})
		}
	}
	return out
}

// Demand returns the demand at this process for the services with priorities, by service.
func (b *Balancer) Demand() map[string][]contention.ClassDemand {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string][]contention.ClassDemand{}
	for name, q := range b.queues {
		if q.contention != nil {
			out[name] = q.contention.Own(b.now())
		}
	}
	return out
}

// SetPeerDemand records the demand at another process, by service.
func (b *Balancer) SetPeerDemand(process string, demand map[string][]contention.ClassDemand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, classes := range demand {
		if q := b.queues[name]; q != nil && q.contention != nil {
			q.contention.SetPeer(process, classes, b.now())
		}
	}
}
