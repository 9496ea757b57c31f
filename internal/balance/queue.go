package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rateWindow is the time over which the rate of places that come free is averaged.
	rateWindow = 500 * time.Millisecond
	// retryAfterJitter is the part of the time until a refused caller may come back that is drawn at random, so that callers
	// refused together do not come back together.
	retryAfterJitter = 0.4
)

// RetryAfterShare is the part of its remaining time for which a caller honours the time to come back, less a margin for the
// way.
const RetryAfterShare = 0.32

// queue holds the requests of one service that wait for a place in this process, the most urgent first and those of one
// urgency in the order of their arrival.
type queue struct {
	waiting        []*waiter
	freedPerSecond float64 // places that come free in a second
	rateUpdated    time.Time
	lastServed     time.Time // last success, or the first request
}

type waiter struct {
	job   *Job
	lease chan *Lease // receives the place
	// blocked says that its targets are closed, or that it may not use those that are open, so that others go first.
	blocked bool
}

func (b *Balancer) queueOf(service string) *queue {
	q := b.queues[service]
	if q == nil {
		q = &queue{lastServed: b.now()}
		b.queues[service] = q
	}
	return q
}

// placeFreed counts a place that came free.
func (q *queue) placeFreed(now time.Time) {
	q.decayRate(now)
	q.freedPerSecond += 1 / rateWindow.Seconds()
}

func (q *queue) decayRate(now time.Time) {
	if !q.rateUpdated.IsZero() {
		q.freedPerSecond *= max(0, 1-now.Sub(q.rateUpdated).Seconds()/rateWindow.Seconds())
	}
	q.rateUpdated = now
}

// expectedWait predicts the time until a request with n others before it gets a place.
func (q *queue) expectedWait(n int, now time.Time) time.Duration {
	q.decayRate(now)
	if q.freedPerSecond <= 0 {
		return time.Hour
	}
	return time.Duration(float64(n+1) / q.freedPerSecond * float64(time.Second))
}

// Acquire takes a place for a job at one of its targets. It waits for one if it is likely to come free in time, and
// refuses at once otherwise.
func (b *Balancer) Acquire(ctx context.Context, job *Job) (*Lease, *Refusal) {
	b.mu.Lock()
	q := b.queueOf(job.Name)
	reason := ReasonFull
	if q.countAhead(job) == 0 {
		var lease *Lease
		if lease, reason = b.pick(job); lease != nil {
			b.mu.Unlock()
			return lease, nil
		}
	}
	if !q.worthWaiting(job, reason, b.now()) {
		b.mu.Unlock()
		return nil, newRefusal(job, reason)
	}
	w := &waiter{job: job, lease: make(chan *Lease, 1), blocked: reason == ReasonClosed}
	q.insert(w)
	b.mu.Unlock()
	return b.awaitPlace(ctx, q, w)
}

// worthWaiting says whether a job may get a place in time. Groups that are closed open again, but nobody knows when, so that
// only callers wait for it who are lost if they are refused again.
func (q *queue) worthWaiting(job *Job, reason Reason, now time.Time) bool {
	switch reason {
	case ReasonFull:
		return q.expectedWait(q.countAhead(job), now) <= job.MaxWait
	case ReasonClosed:
		return job.Returning && now.Sub(q.lastServed) < maxClosedOutage
	}
	return false
}

// maxClosedOutage is the time without any answer from a service after which nobody waits for its targets to open. A loss of
// power and the forming of groups after it take less.
const maxClosedOutage = 5 * time.Second

// GroupReformTime is the time in which a group that lost a rank forms anew: callers that found targets closed, or that targets
// refused, may come back by then.
const GroupReformTime = time.Second

func newRefusal(job *Job, reason Reason) *Refusal {
	r := &Refusal{reason, retryAfter(job)}
	if reason == ReasonClosed {
		r.RetryAfter = min(r.RetryAfter, time.Duration(float64(GroupReformTime)*(1-retryAfterJitter*rand.Float64())))
	}
	return r
}

// retryAfter returns when a refused caller may come back. A demand swing lasts longer than callers honour the time, so they
// return as late as they accept, spread over the time before it.
func retryAfter(job *Job) time.Duration {
	latest := min(maxRetryAfter, time.Duration(RetryAfterShare*float64(job.Remaining)))
	return time.Duration(float64(latest) * (1 - retryAfterJitter*rand.Float64()))
}

// countAhead returns the number of requests that are served countAhead a job, as far as they can be.
func (q *queue) countAhead(job *Job) int {
	n := 0
	for _, w := range q.waiting {
		if !w.blocked && !w.job.yieldsTo(job) {
			n++
		}
	}
	return n
}

// yieldsTo says whether a job waits behind another one that arrives later.
func (j *Job) yieldsTo(other *Job) bool {
	if j.Priority != other.Priority {
		return j.Priority > other.Priority
	}
	return other.Returning && !j.Returning
}

func (q *queue) insert(w *waiter) {
	i := slices.IndexFunc(q.waiting, func(other *waiter) bool { return other.job.yieldsTo(w.job) })
	if i < 0 {
		i = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

// awaitPlace waits for a place.
func (b *Balancer) awaitPlace(ctx context.Context, q *queue, w *waiter) (*Lease, *Refusal) {
	timer := time.NewTimer(w.job.MaxWait)
	defer timer.Stop()
	select {
	case l := <-w.lease:
		return l, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	select {
	case l := <-w.lease: // the place came at the same time
		return l, nil
	default:
	}
	if w.blocked {
		return nil, newRefusal(w.job, ReasonClosed)
	}
	return nil, newRefusal(w.job, ReasonFull)
}

// dispatchAll gives free places to waiting requests. The caller holds the lock.
func (b *Balancer) dispatchAll() {
	for _, q := range b.queues {
		b.dispatchQueue(q)
	}
}

// dispatchQueue gives free places to the requests of one queue in their order, until there is none. A request whose targets are
// closed to it holds up nobody.
func (b *Balancer) dispatchQueue(q *queue) {
	for i := 0; i < len(q.waiting); {
		w := q.waiting[i]
		lease, reason := b.pick(w.job)
		if lease != nil {
			w.lease <- lease
			q.waiting = slices.Delete(q.waiting, i, i+1)
			continue
		}
		if reason == ReasonFull {
			w.blocked = false
			return
		}
		w.blocked = true
		i++
	}
}
