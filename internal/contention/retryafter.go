package contention

import "time"

const (
	// earliestReturn is the share of the longest retry-after time at which refused callers of the most urgent class
	// begin to return, and earliestReturnLeastUrgent is that of the least urgent one.
	earliestReturn            = 0.25
	earliestReturnLeastUrgent = 0.6
	// minReturnSpread is the share of the time between the earliest and the latest return over which callers are spread
	// under the lightest overload. At severeOverload, the share of refused requests, they are spread over all of it.
	minReturnSpread = 0.6
	severeOverload  = 0.2
)

// RetryAfter returns the time after which a refused caller should return. latest is the longest time that the caller
// honours, and random is a random number from 0 to 1.
func (s *Service) RetryAfter(r Request, latest time.Duration, random float64, now time.Time) time.Duration {
	earliest := earliestReturn + (earliestReturnLeastUrgent-earliestReturn)*s.demand.shareAbove(r.Class)
	spread := (1 - earliest) * min(1, minReturnSpread+(1-minReturnSpread)*s.overload(now)/severeOverload)
	return time.Duration(float64(latest) * (earliest + spread*random))
}

// overload returns the share of recent requests that were refused.
func (s *Service) overload(now time.Time) float64 {
	offered := s.offered.perSecond(now)
	if offered <= 0 {
		return 0
	}
	return min(1, s.refused.perSecond(now)/offered)
}
