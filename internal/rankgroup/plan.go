package rankgroup

import (
	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

const (
	// newPerRank bounds the experts that a rank loads for one change, over all layers.
	newPerRank = 1
	// minImbalance is the imbalance below which the map stays.
	minImbalance = 1.08
	// minLoadGain is the least drop of the sum of the layers' imbalance for which one expert is loaded.
	minLoadGain = 0.04
	// minRoundGain is the least drop of the imbalance for each expert that the busiest rank loads. Passes take 0.15 longer
	// while an expert is loaded, for 0.15 s; the gain lasts until popularity shifts again, after some two seconds.
	minRoundGain = 0.02
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
	shape := c.shape()
	if expertmap.Imbalance(shape, c.current, loads) < minImbalance {
		return plan{}, false
	}
	next := expertmap.Increment{
		Shape: shape, Loads: loads, Current: c.current, NewPerRank: newPerRank,
		NewPerLayer: max(1, c.engine.Experts.NewPerLayer), MinGain: minLoadGain,
	}.Make()
	if next.Before-next.After < max(minLoadGain, minRoundGain*float64(next.Most)) {
		return plan{}, false
	}
	return plan{next}, true
}

func (p plan) experts() port.ExpertMap { return p.next.Map }
