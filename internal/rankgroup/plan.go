package rankgroup

import (
	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

const (
	// newPerRank bounds the experts that a rank loads for one change, over all layers.
	newPerRank = 2
	// minImbalance is the imbalance below which the map stays.
	minImbalance = 1.08
	// minLoadGain is the least drop of the sum of the layers' imbalance for which one expert is loaded.
	minLoadGain = 0.02
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
	if next.Loads == 0 && next.Before-next.After < minLoadGain {
		return plan{}, false
	}
	return plan{next}, true
}

func (p plan) experts() port.ExpertMap { return p.next.Map }
