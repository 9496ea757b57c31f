package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// Sizes of the drain figure. The VM of one target is marked as leaving while the fleet is overloaded, and is shut down
// after a notice period.
const (
	drainTargets      = 8
	drainLoad         = 1.2 // demand as a ratio of the capacity; above 1, so that the leaving target has a queue
	drainAt           = 10 * time.Second
	drainNotice       = 20 * time.Second // the naive version notices nothing before the VM is shut down
	drainPhases       = 5                // runs, each with other phases at which the processes read the VM list
	drainBoundSeconds = 5                // the design asks for "a few seconds"
	vmListInterval    = time.Second      // as in the daemon
	leavingTarget     = "target-0"
)

// drainNewWork measures the longest time in seconds from the mark in the VM list until the leaving target starts its
// last work. The time that passes before the mark appears in the VM list is not included.
func drainNewWork(_ context.Context, seed int64) (Result, error) {
	worst := time.Duration(0)
	for phase := range int64(drainPhases) {
		worst = max(worst, simulateDrain(seed+1000*phase))
	}
	r := rand.New(rand.NewPCG(uint64(seed), 3))
	jobs := drainWorkload(r)
	runNaive(peakEngine, drainTargets, jobs)
	naive := time.Duration(0)
	for i, j := range jobs {
		if i%drainTargets == 0 && j.startedAt > 0 && j.startedAt < drainAt+drainNotice {
			naive = max(naive, j.startedAt-drainAt)
		}
	}
	return Result{Ours: worst.Seconds(), Naive: naive.Seconds(), Bound: drainBoundSeconds}, nil
}

func drainWorkload(r *rand.Rand) []*job {
	capacity := float64(drainTargets*peakEngine.slots) * peakEngine.tokensPerSecond / priceCardMix.meanCost(peakEngine)
	return priceCardMix.arrivals(r, 0, drainAt+drainNotice, drainLoad*capacity)
}

// simulateDrain returns the time from the mark in the VM list until the leaving target starts its last work.
func simulateDrain(seed int64) time.Duration {
	r := rand.New(rand.NewPCG(uint64(seed), 3))
	f := newSimFleet(peakEngine, drainTargets, peakPolicy, seed)
	published := f.entries[0].vms
	marked := slices.Clone(published)
	marked[0].State = wire.StateLeaving
	f.sim.after(drainAt, func() { published = marked })
	for _, e := range f.entries {
		f.readVMList(r, func() { e.vms = published })
	}
	f.readVMList(r, func() {
		f.targets[leavingTarget].table.SetDraining(published[0].State == wire.StateLeaving)
	})
	f.run(drainWorkload(r))
	return f.targets[leavingTarget].lastStart - drainAt
}

// readVMList schedules reads of the VM list at vmListInterval, beginning at a random phase.
func (f *simFleet) readVMList(r *rand.Rand, read func()) {
	phase := time.Duration(r.Int64N(int64(vmListInterval)))
	for at := phase; at < drainAt+drainNotice; at += vmListInterval {
		f.sim.after(at, read)
	}
}
