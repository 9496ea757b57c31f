package routing

import "time"

const (
	// otherDataCentreDelay is the time of a round trip to another data centre of the region, at 1.5 ms one way.
	otherDataCentreDelay = 3 * time.Millisecond
	// fullBatchDelay is the additional time to the first token at a target whose slots are all taken.
	fullBatchDelay = 10 * time.Millisecond
)

// score returns the predicted wait of a request at the target: the reported wait less the time since the report, plus
// delays for the slots that are taken, for the router's own dispatches that the report does not include, and for the
// distance.
func (s *scanEntry) score(lane int, now time.Duration) time.Duration {
	age := now - s.reportAt
	if age >= maxReportAge {
		return s.extraDelay
	}
	return max(0, s.wait[lane]-age) + s.slotDelay + s.extraDelay
}

// pendingWait returns the wait that the router's own dispatches since the last report add.
func (t *target) pendingWait() time.Duration {
	if t.perToken > 0 && t.pendingTokens > 0 {
		return t.perToken * time.Duration(t.pendingTokens)
	}
	return defaultRequestTime * time.Duration(t.pending) / time.Duration(t.slots)
}
