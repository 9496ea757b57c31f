package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rateAge is the time over which the rate of places that come free is averaged.
	rateAge = 500 * time.Millisecond
	// returnSpread is the part of the time until a refused caller may come back that is drawn at random, so that callers
	// refused together do not come back together.
	returnSpread = 0.4
)

// HonouredShare is the part of its remaining time for which a caller honours the time to come back, less a margin for the
// way.
const HonouredShare = 0.32

// queue holds the requests of one service that wait for a place in this process, the most urgent first and those of one
// urgency in the order of their arrival.
type queue struct {
	waiting []*waiter
	rate    float64 // places that come free in a second
	last    time.Time
	served  time.Time // last success, or the first request
}

type waiter struct {
	job   *Job
	lease chan *Lease // receives the place
	// blocked says that its targets are closed, or that it may not use those that are open, so that others go first.
	blocked bool
}

func (b *Balancer) queue(service string) *queue {
	q := b.queues[service]
	if q == nil {
		q = &queue{served: b.now()}
		b.queues[service] = q
	}
	return q
}

// freed counts a place that came free.
func (q *queue) freed(now time.Time) {
	q.decay(now)
	q.rate += 1 / rateAge.Seconds()
}

func (q *queue) decay(now time.Time) {
	if !q.last.IsZero() {
		q.rate *= max(0, 1-now.Sub(q.last).Seconds()/rateAge.Seconds())
	}
	q.last = now
}

// wait predicts the time until a request with n others before it gets a place.
func (q *queue) wait(n int, now time.Time) time.Duration {
	q.decay(now)
	if q.rate <= 0 {
		return time.Hour
	}
	return time.Duration(float64(n+1) / q.rate * float64(time.Second))
}

// Acquire takes a place for a job at one of its targets. It waits for one if it is likely to come free in time, and
// refuses at once otherwise.
func (b *Balancer) Acquire(ctx context.Context, job *Job) (*Lease, *Refusal) {
	b.mu.Lock()
	q := b.queue(job.Name)
	reason := ReasonFull
	if q.before(job) == 0 {
		var lease *Lease
		if lease, reason = b.pick(job); lease != nil {
			b.mu.Unlock()
			return lease, nil
		}
	}
	if !q.worthWaiting(job, reason, b.now()) {
		b.mu.Unlock()
		return nil, refusal(job, reason)
	}
	w := &waiter{job: job, lease: make(chan *Lease, 1), blocked: reason == ReasonClosed}
	q.add(w)
	b.mu.Unlock()
	return b.await(ctx, q, w)
}

// worthWaiting says whether a job may get a place in time. Groups that are closed open again, but nobody knows when, so that
// only callers wait for it who are lost if they are refused again.
func (q *queue) worthWaiting(job *Job, reason Reason, now time.Time) bool {
	switch reason {
	case ReasonFull:
		return q.wait(q.before(job), now) <= job.MaxWait
	case ReasonClosed:
		return job.Returning && now.Sub(q.served) < closedPatience
	}
	return false
}

// closedPatience is the time without any answer from a service after which nobody waits for its targets to open. A loss of
// power and the forming of groups after it take less.
const closedPatience = 5 * time.Second

// ReopenTime is the time in which a group that lost a rank forms anew: callers that found targets closed, or that targets
// refused, may come back by then.
const ReopenTime = time.Second

func refusal(job *Job, reason Reason) *Refusal {
	r := &Refusal{reason, comeBack(job)}
	if reason == ReasonClosed {
		r.RetryAfter = min(r.RetryAfter, time.Duration(float64(ReopenTime)*(1-returnSpread*rand.Float64())))
	}
	return r
}

// comeBack returns when a refused caller may come back. A demand swing lasts longer than callers honour the time, so they
// return as late as they accept, spread over the time before it.
func comeBack(job *Job) time.Duration {
	latest := min(fullWait, time.Duration(HonouredShare*float64(job.Left)))
	return time.Duration(float64(latest) * (1 - returnSpread*rand.Float64()))
}

// before returns the number of requests that are served before a job, as far as they can be.
func (q *queue) before(job *Job) int {
	n := 0
	for _, w := range q.waiting {
		if !w.blocked && !w.job.after(job) {
			n++
		}
	}
	return n
}

// after says whether a job waits behind another one that arrives later.
func (j *Job) after(other *Job) bool {
	if j.Priority != other.Priority {
		return j.Priority > other.Priority
	}
	return other.Returning && !j.Returning
}

func (q *queue) add(w *waiter) {
	i := slices.IndexFunc(q.waiting, func(other *waiter) bool { return other.job.after(w.job) })
	if i < 0 {
		i = len(q.waiting)
	}
	q.waiting = slices.Insert(q.waiting, i, w)
}

// await waits for a place.
func (b *Balancer) await(ctx context.Context, q *queue, w *waiter) (*Lease, *Refusal) {
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
		return nil, refusal(w.job, ReasonClosed)
	}
	return nil, refusal(w.job, ReasonFull)
}

// dispatch gives free places to waiting requests. The caller holds the lock.
func (b *Balancer) dispatch() {
	for _, q := range b.queues {
		b.serve(q)
	}
}

// serve gives free places to the requests of one queue in their order, until there is none. A request whose targets are
// closed to it holds up nobody.
func (b *Balancer) serve(q *queue) {
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
