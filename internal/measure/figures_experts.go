package measure

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
)

// expertFigures lists the figures of expert maps and their switching.
func expertFigures() []Figure {
	return []Figure{
		{"step_time_skew", stepTimeSkew},
		{"rebalance_bytes", rebalanceBytes},
		{"rebalance_pause_steps", pauseSteps},
		{"plan_ms_128x128", planMilliseconds},
	}
}

// driftTrials are a group of today's size and one of the size expected in two years, the latter with fewer layers and
// reports to keep the run short. Layers are planned apart, so their number does not change the skew.
func driftTrials() []drift {
	today := groupDrift(expertmap.Shape{Ranks: 16, Layers: 4, Experts: 64, SlotsPerRank: 5})
	later := groupDrift(expertmap.Shape{Ranks: 128, Layers: 2, Experts: 128, SlotsPerRank: 3})
	later.reports = today.reports / 2
	return []drift{today, later}
}

const (
	// skewOverBound is the required ratio of the skew to its lower bound.
	skewOverBound = 1.05
	// skewLimit is the required skew wherever the lower bound allows it.
	skewLimit = 1.10
	// bytesOverScratch is the required ratio of the bytes moved to those of a new map from scratch at each report.
	bytesOverScratch = 0.25
)

// stepTimeSkew compares the mean skew over drifting popularity with that of a static map, for the trial that comes
// closest to its bound or exceeds it most.
func stepTimeSkew(_ context.Context, seed int64) (Result, error) {
	var out Result
	for _, d := range driftTrials() {
		r, err := d.run(seed)
		if err != nil {
			return Result{}, err
		}
		bound := skewOverBound * r.bound
		if r.bound <= skewLimit {
			bound = min(bound, skewLimit)
		}
		if out.Bound == 0 || r.ours/bound > out.Ours/out.Bound {
			out = Result{Ours: r.ours, Naive: r.static, Bound: bound}
		}
	}
	return out, nil
}

// rebalanceBytes compares the bytes moved with those of planning from scratch at each report, for the trial with the
// larger ratio.
func rebalanceBytes(_ context.Context, seed int64) (Result, error) {
	var out Result
	for _, d := range driftTrials() {
		r, err := d.run(seed)
		if err != nil {
			return Result{}, err
		}
		ours, scratch := float64(r.bytes), float64(r.scratchBytes)
		if out.Naive == 0 || ours/scratch > out.Ours/out.Naive {
			out = Result{Ours: ours, Naive: scratch, Bound: bytesOverScratch * scratch}
		}
	}
	return out, nil
}

// planMilliseconds compares the time of one plan for 128 ranks, 128 experts and 60 layers with that of a map from
// scratch. The plan starts from the even map under strongly uneven load, from which the search is longest.
func planMilliseconds(_ context.Context, seed int64) (Result, error) {
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
