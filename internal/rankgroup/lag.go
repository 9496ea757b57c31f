package rankgroup

import (
	"context"
	"slices"
	"time"
)

const (
	// defaultReportLag is the report lag of engines whose configuration does not state it.
	defaultReportLag = 500 * time.Millisecond
	// reportLagFactor and reportLagMargin bound the age of a report, given the stated lag. The lag is approximate: engines may
	// take samples at intervals of that length, and the answer needs time itself.
	reportLagFactor = 2
	reportLagMargin = 50 * time.Millisecond
	// maxLagPause limits the time between two readings while a coordinator waits for newer reports. Other ranks take over
	// the group if they are not read for a longer time.
	maxLagPause = 500 * time.Millisecond
)

// maxReportAge returns the greatest age of the status of a lagged rank.
func (c *Coordinator) maxReportAge() time.Duration {
	lag := defaultReportLag
	if c.engine != nil && c.engine.ReportLag > 0 {
		lag = c.engine.ReportLag
	}
	return reportLagFactor*lag + reportLagMargin
}

// readSince reads all ranks until every status is of a time after start. It reports whether all ranks answered and the
// group is open.
func (c *Coordinator) readSince(ctx context.Context, start time.Time) bool {
	for {
		asked := c.opt.Now()
		if !c.readAll(ctx) {
			return false
		}
		wait := c.maxReportAge() - asked.Sub(start)
		if wait <= 0 || !slices.Contains(c.lagged, true) {
			return true
		}
		c.opt.Notify(Event{Kind: EventReportsLagged, Epoch: c.epoch, Rank: slices.Index(c.lagged, true), Took: wait})
		c.sleep(ctx, min(wait, maxLagPause))
		if ctx.Err() != nil {
			return false
		}
	}
}
