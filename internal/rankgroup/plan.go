package rankgroup

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

const (
	// loadBudget limits how long a rank loads experts for one change. The map cannot be changed again during that time.
	loadBudget = 100 * time.Millisecond
	// minImbalance is the imbalance below which the map is not changed. The imbalance is the ratio of the most loaded
	// rank's work to the mean, see expertmap.Imbalance.
	minImbalance = 1.08
	// minSummedGainPerBudget is the smallest relative reduction of the imbalance, summed over the layers, for which a
	// rank loads experts for the whole budget.
	minSummedGainPerBudget = 0.04
	// minGainPerBudget is the smallest reduction of the imbalance for a change that loads for the whole budget. Steps
	// take 15 % longer while experts are loaded, and the gain lasts until popularity shifts again, after about two
	// seconds.
	minGainPerBudget = 0.02
	// minGain is the smallest reduction of the imbalance for any change. Smaller gains are within the noise of the
	// estimate.
	minGain = 0.04
)

// plan is a planned change of the map.
type plan struct {
	increment expertmap.IncrementResult
}

// proposePlan plans a change of the map. It returns false if no change is worth its cost.
func (c *Coordinator) proposePlan() (plan, bool) {
	loads, ok := c.estimate.loads()
	if !ok {
		return plan{}, false
	}
	if !c.estimate.settled() {
		c.urgent = true // no shift is noticed while a map is loaded, so the next reading decides first
		return plan{}, false
	}
	shape, paces := c.shape(), c.paces()
	if expertmap.Imbalance(shape, c.currentMap, loads, paces) < minImbalance {
		return plan{}, false
	}
	share := c.expertBudgetShare()
	next := expertmap.Increment{
		Shape: shape, Loads: loads, Current: c.currentMap, Pace: paces, MaxLoadsPerRank: max(1, int(1/share)),
		MaxLoadsPerLayer: max(1, c.engine.Experts.NewPerLayer), MinGain: minSummedGainPerBudget * share,
	}.Make()
	if next.Before-next.After < max(minGain, minGainPerBudget*share*float64(next.MaxPerRank)) {
		return plan{}, false
	}
	return plan{next}, true
}

// paces returns the pace of each rank. A step lasts as long as the slowest rank takes, so a slow rank should have less
// of the work.
func (c *Coordinator) paces() []float64 {
	out := make([]float64, c.opt.Size)
	for rank, s := range c.status {
		out[rank] = max(1, s.Pace)
	}
	return out
}

// expertBudgetShare returns the share of loadBudget that a rank needs to load one expert.
func (c *Coordinator) expertBudgetShare() float64 {
	return min(1, max(minExpertBudgetShare, float64(c.engine.Experts.LoadTime())/float64(loadBudget)))
}

// minExpertBudgetShare limits the number of experts that a rank loads for one change of a model with small weights.
const minExpertBudgetShare = 0.125

// nextMap returns the map after the change.
func (p plan) nextMap() port.ExpertMap { return p.increment.Map }
