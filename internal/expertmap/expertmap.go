// Package expertmap plans which rank of a group holds which experts of a mixture-of-experts model.
//
// The ranks of a group serve one model together. In every layer, each rank holds some of the experts in its slots, and
// an expert may have replicas on several ranks. In every layer the ranks exchange tokens and wait for each other, so a
// layer takes as long as its most loaded rank. The tokens of an expert are split evenly over its replicas.
//
// Make plans a change of a whole map and weighs its gain against its cost. Increment plans a small change that is
// bounded by the experts that each rank loads. Estimator derives the load of the experts from popularity reports.
package expertmap

import (
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Shape holds the dimensions of a group and of the model that it serves.
type Shape struct {
	Ranks        int
	Layers       int
	Experts      int // in each layer
	SlotsPerRank int // experts that one rank holds in each layer
}

// Check returns an error if no map can exist for the shape.
func (s Shape) Check() error {
	switch {
	case s.Ranks < 1 || s.Layers < 1 || s.Experts < 1 || s.SlotsPerRank < 1:
		return fmt.Errorf("ranks, layers, experts and slots per rank must be positive")
	case s.Ranks*s.SlotsPerRank < s.Experts:
		return fmt.Errorf("%d slots in a layer cannot hold %d experts", s.Ranks*s.SlotsPerRank, s.Experts)
	case s.SlotsPerRank > s.Experts:
		return fmt.Errorf("%d slots per rank exceed the %d experts of a layer", s.SlotsPerRank, s.Experts)
	}
	return nil
}

// spareSlots returns the number of slots of a layer that remain when every expert has one.
func (s Shape) spareSlots() int { return s.Ranks*s.SlotsPerRank - s.Experts }

// MaxReplicas returns the largest number of replicas that one expert can have.
func (s Shape) MaxReplicas() int { return min(s.Ranks, s.spareSlots()+1) }

// CheckMap returns an error if the map is not valid for the shape. In a valid map every expert of a layer has at least
// one slot, and a rank holds each expert at most once and fills all of its slots.
func CheckMap(s Shape, m port.ExpertMap) error {
	if len(m.Slots) != s.Layers {
		return fmt.Errorf("map has %d layers, want %d", len(m.Slots), s.Layers)
	}
	for l, ranks := range m.Slots {
		if err := checkLayer(s, ranks); err != nil {
			return fmt.Errorf("layer %d: %w", l, err)
		}
	}
	return nil
}

func checkLayer(s Shape, ranks [][]int) error {
	if len(ranks) != s.Ranks {
		return fmt.Errorf("%d ranks, want %d", len(ranks), s.Ranks)
	}
	lastHolder := make([]int, s.Experts) // by expert: last rank found that holds it, counted from 1; 0 for none
	for r, experts := range ranks {
		if len(experts) != s.SlotsPerRank {
			return fmt.Errorf("rank %d holds %d experts, want %d", r, len(experts), s.SlotsPerRank)
		}
		for _, e := range experts {
			if e < 0 || e >= s.Experts {
				return fmt.Errorf("rank %d holds expert %d of %d", r, e, s.Experts)
			}
			if lastHolder[e] == r+1 {
				return fmt.Errorf("rank %d holds expert %d twice", r, e)
			}
			lastHolder[e] = r + 1
		}
	}
	for e, r := range lastHolder {
		if r == 0 {
			return fmt.Errorf("expert %d has no slot", e)
		}
	}
	return nil
}

// Policy is the part of a configuration preset that governs map changes.
type Policy struct {
	Skew     float64       // no change while the predicted skew is below this ratio; 0 turns rebalancing off
	Interval time.Duration // shortest time between two changes
	Horizon  time.Duration // time over which the gain of a change must exceed its cost
}

// Costs describes what a change of the map costs.
type Costs struct {
	ExpertBytes    int64
	BytesPerSecond int64         // the group's fixed share of the weight store's read rate
	Pause          time.Duration // step time lost when the ranks switch to the new map
	LoadSlowdown   float64       // share of step time lost while experts are loaded
}

// loadTime returns the time that the weight store takes to deliver n experts.
func (c Costs) loadTime(n int) time.Duration {
	if c.BytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) * float64(c.ExpertBytes) / float64(c.BytesPerSecond) * float64(time.Second))
}

// Move is one expert that a rank has to load.
type Move struct {
	Layer  int `json:"layer"`
	Rank   int `json:"rank"`
	Expert int `json:"expert"`
}

// Moves lists the experts that ranks have to load to change from one map to the other.
func Moves(from, to port.ExpertMap) []Move {
	var out []Move
	for l := range to.Slots {
		for r, experts := range to.Slots[l] {
			for _, e := range experts {
				if !contains(from.Slots[l][r], e) {
					out = append(out, Move{Layer: l, Rank: r, Expert: e})
				}
			}
		}
	}
	return out
}

func contains(list []int, e int) bool {
	for _, x := range list {
		if x == e {
			return true
		}
	}
	return false
}
