package balance

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// Leaves records that the target has said that it leaves. The target must already be excluded from Job.Targets.
func (l *Lease) Leaves() {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	l.b.notify(Event{Kind: EventLeaves, Target: l.Target.ID})
}

// KeepQuiet records that the target wants no request from this process for a time.
func (l *Lease) KeepQuiet(d time.Duration) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	if until := l.b.now().Add(d); until.After(l.s.quietUntil) {
		l.s.quietUntil = until
		l.b.notify(Event{Kind: EventQuiet, Target: l.Target.ID, Backoff: d})
	}
}

// quiet reports whether the target wants no request now.
func (s *targetState) quiet(now time.Time) bool { return now.Before(s.quietUntil) }

// quietLeft returns the time that a refusal for a reason depends on: that of quietEnd for ReasonQuiet, and 0 for others.
// The caller holds the lock.
func (b *Balancer) quietLeft(job *Job, reason Reason) time.Duration {
	if reason != ReasonQuiet {
		return 0
	}
	return b.quietEnd(job, job.Targets())
}

// quietEnd returns the time until the first target of a job that wants no request now wants one again. It returns 0 if
// there is none. The caller holds the lock.
func (b *Balancer) quietEnd(job *Job, targets []*targetset.Target) time.Duration {
	first := time.Duration(0)
	now := b.now()
	for _, t := range targets {
		left := b.stateOf(t).quietUntil.Sub(now)
		if left > 0 && !job.Exclude[t.Incarnation()] && (first == 0 || left < first) {
			first = left
		}
	}
	return first
}

// quietSpread is the share of the time until the end of a quiet period over which callers return after it, so that
// they do not all return at its end.
const quietSpread = 0.5

// quietRetryAfter returns the retry-after time of a caller whose targets want no requests for at least the time left.
func (b *Balancer) quietRetryAfter(left time.Duration) time.Duration {
	return left + time.Duration(quietSpread*b.Random()*float64(left))
}
