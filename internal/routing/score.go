package routing

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/placement"
)

const (
	// otherDataCentreDelay is the time of a round trip to another data centre of the region, at 1.5 ms one way.
	otherDataCentreDelay = 3 * time.Millisecond
	// fullBatchDelay is the additional time to the first token at a target whose slots are all taken.
	fullBatchDelay = 10 * time.Millisecond
)

// estimate returns the prediction for a target without the time for processing the prompt. The wait consists of the reported
// one, less the time since the report, and of the wait for the router's own dispatches that the report does not include.
func (t *target) estimate(lane int, now time.Duration) placement.Estimate {
	e := placement.Estimate{Slot: t.pendingWait()}
	if t.otherDataCentre {
		e.Network = otherDataCentreDelay
	}
	if age := now - t.reportAt; age < maxReportAge {
		e.Slot += max(0, t.wait[lane]-age)
		e.Step = t.slotDelay
	}
	return e
}

// pendingWait returns the wait that the router's own dispatches since the last report add.
func (t *target) pendingWait() time.Duration {
	if t.perToken > 0 && t.pendingTokens > 0 {
		return t.perToken * time.Duration(t.pendingTokens)
	}
	return defaultRequestTime * time.Duration(t.pending) / time.Duration(t.slots)
}
