package rankgroup

import (
	"context"
	"testing"
	"time"
)

// TestNoExpertLostFromOldLists guards against a map that leaves out an expert: a coordinator that has just started puts the map in
// use together from the lists of the ranks, and those read from another VM may be of a time before the last switch.
func TestNoExpertLostFromOldLists(t *testing.T) {
	t.Parallel()
	const seeds = 10
	checkSeeds(t, agedSize(smallSize, 200*time.Millisecond), false, seeds, func(f *testFleet, seed uint64) {
		f.g.Late = lateShareOfRestarts(seed)
		ctx, cancel := context.WithCancel(context.Background())
		go f.checkExpertsHeld(ctx, seed)
		f.runRestarts(seed, restartSpan)
		cancel()
		time.Sleep(time.Second) // until the check has ended
	})
}

// checkExpertsHeld fails the test if no rank holds one of the experts, until ctx ends.
func (f *testFleet) checkExpertsHeld(ctx context.Context, seed uint64) {
	for ; ctx.Err() == nil; time.Sleep(7 * time.Millisecond) {
		step := f.g.Step()
		held := f.heldExperts()
		if f.g.Step() != step {
			continue // the ranks were read in two steps
		}
		for layer, experts := range held {
			if len(experts) < f.size.shape.Experts {
				f.t.Errorf("seed %d: step %d: the ranks hold %d of %d experts of layer %d", seed, step, len(experts), f.size.shape.Experts, layer)
				return
			}
		}
	}
}

// heldExperts returns the experts that any rank holds, by layer.
func (f *testFleet) heldExperts() []map[int]bool {
	out := make([]map[int]bool, f.size.shape.Layers)
	for layer := range out {
		out[layer] = map[int]bool{}
		for _, r := range f.g.Ranks {
			for _, e := range r.Experts()[layer] {
				out[layer][e] = true
			}
		}
	}
	return out
}
