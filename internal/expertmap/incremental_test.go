package expertmap

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/port"
)

// initialMap assigns the experts to the ranks round robin, as a group does when it forms.
func initialMap(s Shape) port.ExpertMap {
	var m port.ExpertMap
	for range s.Layers {
		ranks := make([][]int, s.Ranks)
		for e := range s.Experts {
			ranks[e%s.Ranks] = append(ranks[e%s.Ranks], e)
		}
		m.Slots = append(m.Slots, ranks)
	}
	return m
}

// zipfLoads returns loads that follow a Zipf distribution with the exponent 1.5, as the popularity of experts in the
// users' models does. In layer 0 the given expert is the most popular one; in each further layer the order starts seven
// experts later.
func zipfLoads(s Shape, first int) [][]float64 {
	out := make([][]float64, s.Layers)
	for l := range out {
		out[l] = make([]float64, s.Experts)
		for i := range s.Experts {
			out[l][(first+l*7+i)%s.Experts] = math.Pow(float64(i+1), -1.5)
		}
	}
	return out
}

// TestIncrementKeepsLimits guards against maps that an engine refuses, in which an expert has no rank, a rank holds too
// many experts, or a rank has to load more new ones than it may; and against a change that makes the work less even.
func TestIncrementKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Shape{Ranks: rapid.IntRange(2, 6).Draw(t, "ranks"), Layers: rapid.IntRange(1, 3).Draw(t, "layers"), Experts: 12}
		s.SlotsPerRank = 12/s.Ranks + 1 + rapid.IntRange(0, 3).Draw(t, "spare")
		current := initialMap(s)
		for range rapid.IntRange(1, 5).Draw(t, "rounds") {
			in := Increment{Shape: s, Current: current, MaxLoadsPerRank: rapid.IntRange(1, 3).Draw(t, "new"), MaxLoadsPerLayer: 1, MinGain: 0.01,
				Loads: zipfLoads(s, rapid.IntRange(0, 11).Draw(t, "first"))}
			got := in.Make()
			checkIncrement(t, in, got)
			current = got.Map
		}
	})
}

func checkIncrement(t *rapid.T, in Increment, got IncrementResult) {
	fresh := make([]int, in.Shape.Ranks)
	for l, ranks := range got.Map.Slots {
		holders := make([]int, in.Shape.Experts)
		for r, experts := range ranks {
			if len(experts) > in.Shape.SlotsPerRank {
				t.Fatalf("rank %d holds %d experts of layer %d", r, len(experts), l)
			}
			loaded := 0
			for i, e := range experts {
				holders[e]++
				if slices.Contains(experts[:i], e) {
					t.Fatalf("rank %d holds expert %d twice", r, e)
				}
				if !slices.Contains(in.Current.Slots[l][r], e) {
					loaded++
				}
			}
			if loaded > in.MaxLoadsPerLayer {
				t.Fatalf("rank %d loads %d experts of layer %d", r, loaded, l)
			}
			fresh[r] += loaded
		}
		if e := slices.Index(holders, 0); e >= 0 {
			t.Fatalf("no rank holds expert %d of layer %d", e, l)
		}
	}
	if m := slices.Max(fresh); m > in.MaxLoadsPerRank || m != got.MaxPerRank {
		t.Fatalf("a rank loads %d experts, the result says %d", m, got.MaxPerRank)
	}
	if got.After > got.Before+1e-9 || math.Abs(got.After-Imbalance(in.Shape, got.Map, in.Loads, nil)) > 1e-9 {
		t.Fatalf("imbalance from %v to %v, measured %v", got.Before, got.After, Imbalance(in.Shape, got.Map, in.Loads, nil))
	}
}

// TestIncrementsFollowShift guards against a planner that needs many changes after popularity has shifted. Load
// pattern: the most popular expert of every layer changes at once and gets three tenths of the load.
func TestIncrementsFollowShift(t *testing.T) {
	s := Shape{Ranks: 8, Layers: 6, Experts: 64, SlotsPerRank: 11}
	current := initialMap(s)
	for _, first := range []int{5, 30, 51, 12} {
		loads := zipfLoads(s, first)
		start, rounds := Imbalance(s, current, loads, nil), 0
		for ; Imbalance(s, current, loads, nil) > 1.25; rounds++ {
			if rounds == 5 {
				t.Fatalf("imbalance %.2f, at first %.2f, after %d changes", Imbalance(s, current, loads, nil), start, rounds)
			}
			current = Increment{Shape: s, Loads: loads, Current: current, MaxLoadsPerRank: 1, MaxLoadsPerLayer: 4, MinGain: 0.04}.Make().Map
		}
	}
}

// BenchmarkIncrement measures the planning of one change for a group of the size that deployments grow to.
func BenchmarkIncrement(b *testing.B) {
	s := Shape{Ranks: 32, Layers: 12, Experts: 128, SlotsPerRank: 5}
	in := Increment{Shape: s, Loads: zipfLoads(s, 9), Current: initialMap(s), MaxLoadsPerRank: 1, MaxLoadsPerLayer: 4, MinGain: 0.04}
	for b.Loop() {
		in.Make()
	}
}

// TestSlowRankGetsLessWork guards against a slow rank that keeps all of its experts, so that the whole group waits for
// it. Load pattern: one engine takes five times as long as the others.
func TestSlowRankGetsLessWork(t *testing.T) {
	s := Shape{Ranks: 32, Layers: 12, Experts: 128, SlotsPerRank: 5}
	loads := zipfLoads(s, 9)
	pace := make([]float64, s.Ranks)
	for r := range pace {
		pace[r] = 1
	}
	pace[7] = 5
	current := initialMap(s)
	start := Imbalance(s, current, loads, pace)
	for range 4 {
		current = Increment{Shape: s, Loads: loads, Current: current, Pace: pace, MaxLoadsPerRank: 3, MaxLoadsPerLayer: 2, MinGain: 0.01}.Make().Map
	}
	if got := Imbalance(s, current, loads, pace); got > 2 || start < 4 {
		t.Errorf("imbalance %.2f after four changes, at first %.2f", got, start)
	}
}
