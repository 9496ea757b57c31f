package rankgroup

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

const (
	// loadBudget bounds the time for which a rank loads experts for one change: while it loads, the map stays as it is.
	loadBudget = 150 * time.Millisecond
	// minImbalance is the imbalance below which the map stays.
	minImbalance = 1.08
	// minLoadGain is the least drop of the sum of the layers' imbalance for which a rank loads for the whole budget.
	minLoadGain = 0.04
	// minRoundGain is the least drop of the imbalance for a change that loads for the whole budget. Passes take 0.15 longer
	// while experts are loaded; the gain lasts until popularity shifts again, after some two seconds.
	minRoundGain = 0.02
	// minGain keeps changes from being made for gains within the noise of the estimate.
	minGain = 0.04
)

// plan is a change of the map.
type plan struct {
	next expertmap.IncrementResult
}

// plan proposes a change of the map, if one pays.
func (c *Coordinator) plan() (plan, bool) {
	loads, ok := c.pop.loads()
	if !ok {
		return plan{}, false
	}
	shape, paces := c.shape(), c.paces()
	if expertmap.Imbalance(shape, c.current, loads, paces) < minImbalance {
		return plan{}, false
	}
	part := c.loadPart()
	next := expertmap.Increment{
		Shape: shape, Loads: loads, Current: c.current, Pace: paces, NewPerRank: max(1, int(1/part)),
		NewPerLayer: max(1, c.engine.Experts.NewPerLayer), MinGain: minLoadGain * part,
	}.Make()
	if next.Before-next.After < max(minGain, minRoundGain*part*float64(next.Most)) {
		return plan{}, false
	}
	return plan{next}, true
}

// paces returns the pace of each rank. A pass lasts as long as the most loaded rank takes, so that a slow rank should have
// less of the work.
func (c *Coordinator) paces() []float64 {
	out := make([]float64, c.opt.Size)
	for rank, s := range c.status {
		out[rank] = max(1, s.Pace)
	}
	return out
}

// loadPart is the part of the budget in which a rank loads one expert.
func (c *Coordinator) loadPart() float64 {
	return min(1, max(minLoadPart, float64(c.engine.Experts.LoadTime())/float64(loadBudget)))
}

// minLoadPart bounds the experts that a rank loads for one change where weights are small.
const minLoadPart = 0.125

func (p plan) experts() port.ExpertMap { return p.next.Map }
