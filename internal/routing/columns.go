package routing

import "time"

// never is a time, or a score, beyond all others. A target with this score is not eligible.
const never = time.Duration(1) << 61

// columns hold what a decision reads of all targets, in one slice for each value so that a scan is short. The score of
// target i at a time is max(0, ready[lane][i]-time) + delay[i] + prefill[i]*tokens of the prompt. Times are offsets from the
// router's start.
type columns struct {
	ready   [laneCount][]time.Duration // end of the reported wait
	delay   []time.Duration            // rest of the score; never if the target is not eligible
	prefill []time.Duration            // time for processing one prompt token
	hashes  []uint64                   // of the names, for rendezvous hashing
	scores  []time.Duration            // of the latest decision

	eligible int
	open     int // targets with an open circuit
	// typicalPrefill is the latest known value of prefill. It is assumed for targets that have not reported their speed.
	typicalPrefill time.Duration
	nextChange     time.Duration // earliest time at which the columns of a target change without an event
}

func newColumns(n int) columns {
	c := columns{delay: make([]time.Duration, n), prefill: make([]time.Duration, n), hashes: make([]uint64, n), scores: make([]time.Duration, n), nextChange: never}
	for lane := range c.ready {
		c.ready[lane] = make([]time.Duration, n)
	}
	for i := range c.delay {
		c.delay[i] = never
	}
	return c
}

// score computes the scores of all targets for a prompt of which they hold nothing, and returns the lowest one.
func (c *columns) score(lane int, tokens int, now time.Duration) time.Duration {
	scores, n := c.scores, time.Duration(tokens)
	ready, delay, prefill := c.ready[lane][:len(scores)], c.delay[:len(scores)], c.prefill[:len(scores)]
	best := never
	for i := range scores {
		s := max(ready[i]-now, 0) + delay[i] + prefill[i]*n
		scores[i] = s
		best = min(best, s)
	}
	return best
}

// exclude makes a target ineligible until its columns are derived again.
func (c *columns) exclude(i int) {
	if c.delay[i] < never {
		c.delay[i] = never
		c.eligible--
	}
}

// refresh derives the columns of a target from its state.
func (p *pool) refresh(i int, now time.Duration) {
	t := &p.targets[i]
	p.exclude(i)
	if open := t.breaker.open(); open != t.countedOpen {
		t.countedOpen = open
		if open {
			p.open++
		} else {
			p.open--
		}
	}
	blockedUntil := t.blockedUntil()
	if now < blockedUntil {
		p.nextChange = min(p.nextChange, blockedUntil)
	}
	if now < blockedUntil || t.breaker.open() {
		return
	}
	p.eligible++
	fresh := now-t.reportAt < maxReportAge
	if fresh {
		p.nextChange = min(p.nextChange, t.reportAt+maxReportAge)
	}
	for lane := range p.ready {
		p.ready[lane][i] = 0
		if fresh {
			p.ready[lane][i] = t.reportAt + t.wait[lane]
		}
	}
	p.prefill[i] = t.speed().PerToken
	if p.prefill[i] == 0 {
		p.prefill[i] = p.typicalPrefill
	}
	p.typicalPrefill = p.prefill[i]
	e := t.estimate(laneShort, now)
	p.delay[i] = e.FirstToken() - max(0, p.ready[laneShort][i]-now)
}

// refreshDue derives the columns of all targets again if time alone has changed one of them.
func (p *pool) refreshDue(now time.Duration) {
	if now < p.nextChange {
		return
	}
	p.nextChange = never
	for i := range p.targets {
		p.refresh(i, now)
	}
}
