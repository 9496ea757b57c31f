package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
)

// expertFigures lists the figures of planning and changing expert maps.
func expertFigures() []Figure {
	return []Figure{
		{"step_time_skew", stepTimeSkew},
		{"rebalance_bytes", rebalanceBytes},
		{"rebalance_pause_steps", pauseSteps},
		{"plan_ms_128x128", planMS},
	}
}

// driftTrials returns a trial of a group of today's size and one of the size expected in two years. The latter has
// fewer layers and reports to keep the run short. Layers are planned independently, so that their number does not
// change the skew.
func driftTrials() []driftTrial {
	today := groupDrift(expertmap.Shape{Ranks: 16, Layers: 4, Experts: 64, SlotsPerRank: 5})
	later := groupDrift(expertmap.Shape{Ranks: 128, Layers: 2, Experts: 128, SlotsPerRank: 3})
	later.reports = today.reports / 2
	return []driftTrial{today, later}
}

const (
	// maxSkewOverBound is the largest permitted ratio of the skew to its lower bound.
	maxSkewOverBound = 1.05
	// maxSkew is the largest permitted skew if the lower bound does not exceed it.
	maxSkew = 1.10
	// maxBytesOverScratch is the largest permitted ratio of the bytes moved to the bytes that a new map from scratch at
	// each report would move.
	maxBytesOverScratch = 0.25
)

// stepTimeSkew compares the mean skew under drifting popularity with that of a static map. It returns the trial with
// the largest ratio of the skew to its bound.
func stepTimeSkew(_ context.Context, seed int64) (Result, error) {
	var out Result
	for _, d := range driftTrials() {
		r, err := d.run(seed)
		if err != nil {
			return Result{}, err
		}
		bound := maxSkewOverBound * r.skewBound
		if r.skewBound <= maxSkew {
			bound = min(bound, maxSkew)
		}
		if out.Bound == 0 || r.oursSkew/bound > out.Ours/out.Bound {
			out = Result{Ours: r.oursSkew, Naive: r.staticSkew, Bound: bound}
		}
	}
	return out, nil
}

// rebalanceBytes compares the bytes moved with those that planning from scratch at each report moves. It returns the
// trial with the larger ratio.
func rebalanceBytes(_ context.Context, seed int64) (Result, error) {
	var out Result
	for _, d := range driftTrials() {
		r, err := d.run(seed)
		if err != nil {
			return Result{}, err
		}
		ours, scratch := float64(r.oursBytes), float64(r.scratchBytes)
		if out.Naive == 0 || ours/scratch > out.Ours/out.Naive {
			out = Result{Ours: ours, Naive: scratch, Bound: maxBytesOverScratch * scratch}
		}
	}
	return out, nil
}

// planMS compares the time to plan one change for 128 ranks, 128 experts and 60 layers with the time to plan a map from
// scratch. The current map is the round-robin map and the load is strongly uneven, which makes the search longest.
func planMS(_ context.Context, seed int64) (Result, error) {
	const boundMS = 1000
	d := groupDrift(expertmap.Shape{Ranks: 128, Layers: 60, Experts: 128, SlotsPerRank: 3})
	loads := newPopularity(d, rand.New(rand.NewPCG(uint64(seed), 9))).loads()
	start := time.Now()
	_, err := expertmap.Make(expertmap.Input{Shape: d.shape, Loads: loads, Current: expertmap.RoundRobin(d.shape),
		Policy: d.policy, Costs: d.costs, Since: d.policy.Interval})
	ours := time.Since(start)
	start = time.Now()
	expertmap.FromScratch(d.shape, loads)
	naive := time.Since(start)
	return Result{Ours: 1000 * ours.Seconds(), Naive: 1000 * naive.Seconds(), Bound: boundMS}, err
}
