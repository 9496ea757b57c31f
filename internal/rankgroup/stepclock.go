package rankgroup

import "time"

// stepDurationWeight is the weight of one observation in the estimated duration of a step.
const stepDurationWeight = 0.25

// stepClock estimates when a group begins its next step, from readings of one rank.
type stepClock struct {
	step      int64
	lastRead  time.Time     // start of the last reading, which showed step
	firstSeen time.Time     // end of the first reading that showed step
	earliest  time.Time     // the step began after this time; zero if unknown
	duration  time.Duration // estimated duration of a step; 0 if unknown
}

// observe adds a reading that took from start to end and showed a step.
func (c *stepClock) observe(step int64, start, end time.Time) {
	if step < c.step || c.lastRead.IsZero() {
		*c = stepClock{step: step, lastRead: start, firstSeen: end}
		return
	}
	if steps := step - c.step; steps > 0 {
		c.addDuration(end.Sub(c.firstSeen) / time.Duration(steps))
		c.step, c.earliest, c.firstSeen = step, c.lastRead, end
	}
	c.lastRead = start
}

func (c *stepClock) addDuration(d time.Duration) {
	if c.duration == 0 {
		c.duration = d
	}
	c.duration += time.Duration(stepDurationWeight * float64(d-c.duration))
}

// untilNext returns a time that the group needs at least until it begins the next step, or 0 if it is unknown.
func (c *stepClock) untilNext(now time.Time) time.Duration {
	if c.duration == 0 || c.earliest.IsZero() {
		return 0
	}
	return max(0, c.earliest.Add(c.duration).Sub(now))
}
