package contention

import "time"

// calmTime is the time without a wait or a refusal after which contention has ended.
const calmTime = 3 * time.Second

// Counts are the decisions of an episode of contention.
type Counts struct{ Admitted, Waited, Refused int }

// episode is a period in which requests had to wait or were refused.
type episode struct {
	active   bool
	started  time.Time
	lastSeen time.Time // last wait or refusal
	counts   Counts
}

// decided records a decision and reports whether an episode begins with it.
func (e *episode) decided(d Decision, now time.Time) (begins bool) {
	if d == Closed {
		return false
	}
	if d != Admitted {
		begins = !e.active
		if begins {
			*e = episode{active: true, started: now}
		}
		e.lastSeen = now
	}
	switch {
	case d.isRefusal():
		e.counts.Refused++
	case d == Waited:
		e.counts.Waited++
	default:
		e.counts.Admitted++
	}
	return begins
}

// Sweep drops outdated reports of peers. It reports whether contention has ended, and then how long it lasted and what
// was decided in it.
func (s *Service) Sweep(now time.Time) (ended bool, lasted time.Duration, counts Counts) {
	s.demand.expire(now)
	e := &s.episode
	if !e.active || now.Sub(e.lastSeen) < calmTime {
		return false, 0, Counts{}
	}
	e.active = false
	return true, e.lastSeen.Sub(e.started), e.counts
}
