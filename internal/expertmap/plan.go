package expertmap

import (
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Input holds what a plan of a whole map depends on.
type Input struct {
	Shape   Shape
	Loads   [][]float64 // estimated share of the tokens, or number of tokens, by layer and expert
	Current port.ExpertMap
	Policy  Policy
	Costs   Costs
	Since   time.Duration // time since the last change
}

// Reason says why a plan moves experts or does not move any.
type Reason string

// Reasons of a plan.
const (
	ReasonMove     Reason = "gain-exceeds-cost"
	ReasonOff      Reason = "rebalancing-off"
	ReasonInterval Reason = "interval-not-over"
	ReasonSkew     Reason = "skew-below-threshold"
	ReasonCost     Reason = "cost-exceeds-gain"
)

// Plan is a proposed change of a group's map. Unless its reason is ReasonMove, it changes nothing.
type Plan struct {
	Reason     Reason         `json:"reason"`
	Map        port.ExpertMap `json:"-"` // the current map if there are no moves; its epoch is set at the switch
	Moves      []Move         `json:"moves"`
	Bytes      int64          `json:"bytes"`     // read from the weight store
	LoadTime   time.Duration  `json:"load_time"` // time to read the bytes at the group's share of the weight store's rate
	SkewBefore float64        `json:"skew_before"`
	SkewAfter  float64        `json:"skew_after"` // predicted
	Bound      float64        `json:"bound"`      // lower bound of the skew over all maps
	Gain       time.Duration  `json:"gain"`       // step time saved over the horizon
	Cost       time.Duration  `json:"cost"`       // step time lost by loading and by the switch
}

const (
	// goalRatio times the lower bound is the load at which a search stops. A map closer to the bound costs more loads
	// than its gain is worth, since the popularity of the experts drifts.
	goalRatio = 1.005
	// maxChangesPerSlot bounds the changes of a search in one layer, as a multiple of the slots of the layer.
	maxChangesPerSlot = 4
	// minGainOverCost is the ratio of gain to cost that a change must exceed. It is above 1 because the gain is
	// predicted from late and noisy reports.
	minGainOverCost = 1.5
)

// Make plans a change of the map. The result depends on the input only.
func Make(in Input) (Plan, error) {
	if err := in.check(); err != nil {
		return Plan{}, err
	}
	p := Plan{Map: in.Current, Bound: Bound(in.Shape, in.Loads), SkewBefore: Skew(in.Shape, in.Current, in.Loads)}
	p.SkewAfter = p.SkewBefore
	switch {
	case in.Policy.Skew <= 0:
		p.Reason = ReasonOff
	case in.Since < in.Policy.Interval:
		p.Reason = ReasonInterval
	case p.SkewBefore < in.Policy.Skew:
		p.Reason = ReasonSkew
	default:
		in.improve(&p)
	}
	return p, nil
}

func (in Input) check() error {
	if err := in.Shape.Check(); err != nil {
		return err
	}
	if len(in.Loads) != in.Shape.Layers {
		return fmt.Errorf("loads of %d layers, want %d", len(in.Loads), in.Shape.Layers)
	}
	for l, load := range in.Loads {
		if len(load) != in.Shape.Experts {
			return fmt.Errorf("layer %d: loads of %d experts, want %d", l, len(load), in.Shape.Experts)
		}
		for e, w := range load {
			if !(w >= 0) {
				return fmt.Errorf("layer %d: load %v of expert %d is not a positive number", l, w, e)
			}
		}
	}
	return CheckMap(in.Shape, in.Current)
}

// improve searches every layer for changes whose gain exceeds their cost, and fills the plan with them.
func (in Input) improve(p *Plan) {
	searches := make([]layerSearch, in.Shape.Layers)
	total, saving := 0.0, 0.0
	for l := range searches {
		searches[l] = in.searchLayer(l)
		total += searches[l].initialLoad
		saving += searches[l].initialLoad - searches[l].minLoad()
	}
	if total <= 0 || saving <= 0 {
		p.Reason = ReasonCost
		return
	}
	// Loading one more expert costs step time while it is loaded, and delays the whole gain by the same time.
	costPerExpert := in.Costs.loadTime(1).Seconds() * (in.Costs.LoadSlowdown + saving/total)
	price := minGainOverCost * costPerExpert * total / in.Policy.Horizon.Seconds()
	next := port.ExpertMap{Slots: make([][][]int, in.Shape.Layers)}
	for l := range searches {
		next.Slots[l] = in.bestPlacement(l, searches[l], price)
	}
	in.assess(p, next)
}

// assess keeps the next map in the plan if its gain exceeds its cost.
func (in Input) assess(p *Plan, next port.ExpertMap) {
	moves := Moves(in.Current, next)
	after := Skew(in.Shape, next, in.Loads)
	load := in.Costs.loadTime(len(moves))
	saved := 1 - after/p.SkewBefore
	useful := max(0, in.Policy.Horizon-load)
	p.Gain = time.Duration(saved * float64(useful))
	p.Cost = in.Costs.Pause + time.Duration(in.Costs.LoadSlowdown*float64(load))
	if len(moves) == 0 || float64(p.Gain) <= minGainOverCost*float64(p.Cost) {
		p.Reason = ReasonCost
		return
	}
	p.Reason, p.Map, p.Moves, p.SkewAfter = ReasonMove, next, moves, after
	p.Bytes, p.LoadTime = int64(len(moves))*in.Costs.ExpertBytes, load
}
