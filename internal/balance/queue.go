package balance

import (
	"context"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/contention"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

const (
	// rateWindow is the time over which the rate of freed places is averaged.
	rateWindow = 500 * time.Millisecond
	// retryAfterJitter is the share of the retry-after time that is randomised, so that callers that are refused
	// together do not retry together.
	retryAfterJitter = 0.4
)

// RetryAfterShare bounds the retry-after time as a share of the caller's remaining time, since callers do not honour
// longer times. A margin for network latency is already deducted.
const RetryAfterShare = 0.32

// queue holds the requests of one service in this process that wait for a place. It is ordered by rank, and within a
// rank by arrival.
type queue struct {
	contention     *contention.Service // nil if the service's requests have the same priority
	free           float64             // free places of the service when a place was last sought, if contention is not nil
	waiting        []*waiter
	freedPerSecond float64 // moving average of the places freed per second
	rateUpdated    time.Time
	firstServed    time.Time // end of the first request that was served; zero if there was none
	lastServed     time.Time // time of the last request that was served, or of the first request
}

// waiter is a request in a queue.
type waiter struct {
	job    *Job
	placed chan waitResult // receives the decision
	until  time.Time       // the latest time of the decision
	// blockedBy is the reason why no target takes the request at present, such as a closed group; others are served
	// before it. It is empty for a request that waits for a place.
	blockedBy   Reason
	atColdLimit bool // it waits for a place, and the last attempt to get one has ended with ReasonCold
}

// waitResult is the decision about a waiting request: a lease or a refusal.
type waitResult struct {
	lease   *Lease
	refusal *Refusal
}

// blockedReason returns the reason for waiter.blockedBy of a request that got no target for the reason. Targets that are
// all excluded or no longer listed are expected back like closed ones.
func blockedReason(reason Reason) Reason {
	switch reason {
	case ReasonFull, ReasonKept, ReasonCold:
		return ""
	case ReasonNoTargets:
		return ReasonClosed
	}
	return reason
}

// block records why no target takes the waiter's request.
func (w *waiter) block(reason Reason) {
	before := w.blockedBy
	w.blockedBy, w.atColdLimit = blockedReason(reason), reason == ReasonCold
	if (reason == ReasonFull || reason == ReasonCold) && w.job.Limit != "" {
		w.blockedBy = reason // other requests may have targets with free places
	}
	if reason == ReasonClosed && before != ReasonClosed && len(w.job.Exclude) == 0 && w.job.WaitsForOpening != nil {
		w.job.WaitsForOpening()
	}
}

// queueOf returns the queue of a service. The caller holds the lock.
func (b *Balancer) queueOf(service string) *queue {
	q := b.queues[service]
	if q == nil {
		q = &queue{lastServed: b.now()}
		b.queues[service] = q
	}
	return q
}

// placeFreed adds a freed place to the rate.
func (q *queue) placeFreed(now time.Time) {
	q.decayRate(now)
	q.freedPerSecond += 1 / rateWindow.Seconds()
}

// decayRate reduces the rate for the time since its last update.
func (q *queue) decayRate(now time.Time) {
	if !q.rateUpdated.IsZero() {
		q.freedPerSecond *= max(0, 1-now.Sub(q.rateUpdated).Seconds()/rateWindow.Seconds())
	}
	q.rateUpdated = now
}

// expectedWait predicts the time until a request with n others ahead of it gets a place.
func (q *queue) expectedWait(n int, now time.Time) time.Duration {
	q.decayRate(now)
	if q.freedPerSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(n+1) / q.freedPerSecond * float64(time.Second))
}

// Acquire takes a place for a job at one of its targets. If there is none, it waits if a place is likely to become free
// within job.MaxWait, and returns a refusal at once otherwise.
func (b *Balancer) Acquire(ctx context.Context, job *Job) (*Lease, *Refusal) {
	b.mu.Lock()
	q := b.queueOf(job.Name)
	b.rank(q, job)
	reason := ReasonFull
	if q.countAhead(job) == 0 {
		var lease *Lease
		if lease, reason = b.pick(job); lease != nil {
			b.decided(q, job, contention.Admitted)
			b.mu.Unlock()
			return lease, nil
		}
	}
	quiet := b.quietLeft(job, reason)
	if !b.worthWaiting(q, job, reason, quiet) {
		refusal := b.refuse(q, job, reason, quiet)
		b.mu.Unlock()
		return nil, refusal
	}
	w := &waiter{job: job, placed: make(chan waitResult, 1), until: b.now().Add(job.MaxWait)}
	w.block(reason)
	q.insert(w)
	b.displace(q, job)
	b.mu.Unlock()
	return b.awaitPlace(ctx, q, w)
}

// worthWaiting reports whether a job is likely to get a place in time. Closed groups open again at an unknown time, and
// targets that want no requests for the time quiet may want none after it, so only callers that give up at the next
// refusal wait for them.
func (b *Balancer) worthWaiting(q *queue, job *Job, reason Reason, quiet time.Duration) bool {
	now := b.now()
	switch reason {
	case ReasonFull, ReasonKept, ReasonCold:
		return b.expectedWait(q, job, q.countAhead(job)) <= job.MaxWait
	case ReasonClosed:
		return job.Returning && now.Sub(q.lastServed) < maxClosedOutage
	case ReasonQuiet:
		return job.Returning && quiet < job.MaxWait
	}
	return false
}

// maxClosedOutage is the time since the last request that a service has served after which callers no longer wait for
// its targets to open. A power failure and the forming of groups after it take less.
const maxClosedOutage = 5 * time.Second

// GroupReformTime is the time in which a group that has lost a rank forms again. It bounds the retry-after time of
// callers whose targets are closed or have refused the request.
const GroupReformTime = time.Second

// refuse returns the refusal of a job with its retry-after time, and records it. quiet is the time until the first of its
// targets that want no requests wants one again. The caller holds the lock.
func (b *Balancer) refuse(q *queue, job *Job, reason Reason, quiet time.Duration) *Refusal {
	b.decided(q, job, refusalDecision(reason))
	r := &Refusal{reason, b.retryAfter(q, job)}
	switch reason {
	case ReasonClosed:
		r.RetryAfter = min(r.RetryAfter, time.Duration(float64(GroupReformTime)*(1-retryAfterJitter*b.Random())))
	case ReasonCold:
		r.RetryAfter = min(r.RetryAfter, b.coldRetryAfter())
	case ReasonQuiet:
		r.RetryAfter = min(r.RetryAfter, b.quietRetryAfter(quiet))
	}
	return r
}

// retryAfter returns the time after which a refused caller may retry. Peaks in demand last longer than the retry-after
// times that callers honour, so the time is the longest one that callers honour, less a random part. The caller holds the
// lock.
func (b *Balancer) retryAfter(q *queue, job *Job) time.Duration {
	latest := min(maxRetryAfter, time.Duration(RetryAfterShare*float64(job.Remaining)))
	if q.contention != nil {
		return q.contention.RetryAfter(job.request(), latest, b.Random(), b.now())
	}
	return time.Duration(float64(latest) * (1 - retryAfterJitter*b.Random()))
}

// countAhead returns the number of waiting requests that are served before the job. Blocked ones do not count.
func (q *queue) countAhead(job *Job) int {
	n := 0
	for _, w := range q.waiting {
		if w.waitsForPlace(job.Limit) && !w.job.yieldsTo(job) {
			n++
		}
	}
	return n
}

// waitsForPlace reports whether the waiter's request waits for a place at the targets of jobs with a limit. A request that is
// limited itself takes no places from those with other limits while its own targets have none.
func (w *waiter) waitsForPlace(limit string) bool {
	switch w.blockedBy {
	case "":
		return true
	case ReasonFull, ReasonCold:
		return w.job.Limit == limit
	}
	return false
}

// yieldsTo reports whether a waiting job is served after another one that arrives later.
func (j *Job) yieldsTo(other *Job) bool { return other.rank.Before(j.rank) }

// insert adds a waiter at its position in the order of the queue.
func (q *queue) insert(w *waiter) {
	i := slices.IndexFunc(q.waiting, func(other *waiter) bool { return other.job.yieldsTo(w.job) })
	if i < 0 {
		i = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

// awaitPlace waits until the waiter gets a place, its MaxWait has passed, or ctx ends.
func (b *Balancer) awaitPlace(ctx context.Context, q *queue, w *waiter) (*Lease, *Refusal) {
	timer := time.NewTimer(w.job.MaxWait)
	defer timer.Stop()
	ended := false // the request ended while it waited
	select {
	case p := <-w.placed:
		return p.lease, p.refusal
	case <-timer.C:
	case <-ctx.Done():
		ended = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	select {
	case p := <-w.placed: // decided at the same time
		return p.lease, p.refusal
	default:
	}
	reason := ReasonFull
	switch {
	case w.atColdLimit:
		reason = ReasonCold
	case w.blockedBy != "":
		reason = w.blockedBy
	}
	if ended { // not for want of a place
		return nil, &Refusal{reason, b.retryAfter(q, w.job)}
	}
	return nil, b.refuse(q, w.job, reason, b.quietLeft(w.job, reason))
}

// dispatchAll gives free places to the waiting requests of all services. The caller holds the lock.
func (b *Balancer) dispatchAll() {
	for _, q := range b.queues {
		b.dispatchQueue(q)
	}
}

// demand is what decides, for a request that no target has failed, whether a target of its service takes it.
type demand struct {
	service  *routetable.Service
	eventGap time.Duration
	rank     contention.Rank
	limit    string // Job.Limit
}

// dispatchQueue gives free places to the requests of one queue in their order until no place is left. It skips requests
// that are blocked, so that they do not delay others, and refuses those whose targets are all evacuated. While a group is
// closed, hundreds of callers may be blocked, and each report of a peer or a group comes here, so that requests with the same
// demand are assessed once.
func (b *Balancer) dispatchQueue(q *queue) {
	blocked := map[demand]Reason{}
	for i := 0; i < len(q.waiting); {
		w := q.waiting[i]
		d := demand{w.job.Service, w.job.EventGap, w.job.rank, w.job.Limit}
		shared := len(w.job.Exclude) == 0
		if reason := blocked[d]; shared && reason != "" {
			w.block(reason)
			i++
			continue
		}
		lease, reason := b.pick(w.job)
		if lease != nil {
			clear(blocked)
			b.decided(q, w.job, contention.Waited)
			w.placed <- waitResult{lease: lease}
			q.waiting = slices.Delete(q.waiting, i, i+1)
			continue
		}
		w.block(reason)
		if reason == ReasonEvacuated { // which lasts longer than a request may wait
			w.placed <- waitResult{refusal: b.refuse(q, w.job, reason, 0)}
			q.waiting = slices.Delete(q.waiting, i, i+1)
			continue
		}
		if w.blockedBy == "" && reason != ReasonKept {
			return
		}
		if shared {
			blocked[d] = reason
		}
		i++
	}
}
