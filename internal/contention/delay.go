package contention

import "time"

const (
	// delayWeight is the weight of the latest sample in the average of a delay.
	delayWeight = 0.08
	// delayMaxAge is the age of the latest sample from which a delay is unknown.
	delayMaxAge = 2 * time.Second
	// cautiousDeviations is the number of mean deviations added to the mean delay, so that most requests that are
	// admitted meet their objective.
	cautiousDeviations = 0.7
	// minBudgetShare is the share of the objective for which a request may wait even if the delay leaves less.
	// Admission holds the load at a level that leaves more, so that a longer delay is temporary.
	minBudgetShare = 0.1
	// unknownBudgetShare is the wait as a share of the objective while the delay is unknown.
	unknownBudgetShare = 0.45
)

// delay is a moving average of a delay and of its deviation.
type delay struct {
	mean, deviation float64 // seconds
	updated         time.Time
}

func (d *delay) add(sample time.Duration, now time.Time) {
	x := sample.Seconds()
	if d.updated.IsZero() || now.Sub(d.updated) > delayMaxAge {
		d.mean, d.deviation = x, 0
	}
	diff := x - d.mean
	d.mean += delayWeight * diff
	d.deviation += delayWeight * (max(diff, -diff) - d.deviation)
	d.updated = now
}

// FirstEvent records the time from the start of an attempt to the first event of the answer.
func (s *Service) FirstEvent(took time.Duration, now time.Time) { s.firstEvent.add(took, now) }

// WaitBudget returns the longest time for which a request may wait so that it can meet its objective.
func (s *Service) WaitBudget(objective time.Duration, now time.Time) time.Duration {
	share := func(f float64) time.Duration { return time.Duration(f * float64(objective)) }
	if s.firstEvent.updated.IsZero() || now.Sub(s.firstEvent.updated) > delayMaxAge {
		return share(unknownBudgetShare)
	}
	answer := time.Duration((s.firstEvent.mean + cautiousDeviations*s.firstEvent.deviation) * float64(time.Second))
	return max(share(minBudgetShare), objective-answer)
}
