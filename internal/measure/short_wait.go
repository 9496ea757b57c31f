package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
)

// Sizes of the mixed workload, in which short work, such as proof notes and checks, competes with long summaries. The
// total demand is close to the capacity but below it, so that all work could be served.
const (
	mixedTargets   = 16
	mixedLength    = 200 * time.Second
	mixedWarmUp    = 60 * time.Second
	mixedShortLoad = 0.15 // of the capacity
	mixedLongLoad  = 0.75 // of the capacity

	// maxShortWaitRatio is the largest permitted wait of short work as a ratio of the wait in the naive version.
	maxShortWaitRatio = 0.2
)

var mixedEngine = fakeEngine{slots: 16, tokensPerSecond: 40, prefillRatio: 25, chunkTokens: 8}

// summaryMix is a workload of long summaries of venue briefs and short notes. mixedWorkload sets the share of long work
// from the two loads.
var summaryMix = workloadMix{
	shortDeadline: 5 * time.Second, longDeadline: 120 * time.Second,
	shortMaxTokens: 120, longMaxTokens: 3000, shortPromptBytes: 160, longPromptBytes: 16000,
	shortTokens: [2]int{20, 100}, longTokens: [2]int{600, 2400},
	accounts: 10, bigAccounts: 2, bigAccountsRequestShare: 0.6,
}

// mixedPolicy reserves the same share of slots for short work as the example preset. With a share of 0.1875, over 5% of
// short work is refused when long work fills the other slots.
var mixedPolicy = admission.Policy{
	ShortMaxTokens: 200, ReservedShare: 0.25, AdmitLongDrafts: true,
	MaxWait: [2]time.Duration{admission.Short: 500 * time.Millisecond, admission.Long: 20 * time.Second},
}

func mixedWorkload(r *rand.Rand) []*job {
	mixed := summaryMix
	short, long := mixed, mixed
	short.longShare, long.longShare = 0, 1
	capacity := float64(mixedTargets*mixedEngine.slots) * mixedEngine.tokensPerSecond
	shortRate := mixedShortLoad * capacity / short.meanCost(mixedEngine)
	longRate := mixedLongLoad * capacity / long.meanCost(mixedEngine)
	mixed.longShare = longRate / (shortRate + longRate)
	return mixed.arrivals(r, 0, mixedLength, shortRate+longRate)
}

// shortWait measures the 95th percentile of the time in seconds from the arrival of short work until the target starts
// it. The note states the loss of throughput of long work relative to the naive version, which may be at most 0.1.
func shortWait(_ context.Context, seed int64) (Result, error) {
	r := rand.New(rand.NewPCG(uint64(seed), 2))
	jobs := mixedWorkload(r)
	ours, naive := copyJobs(jobs), copyJobs(jobs)
	runOurs(mixedEngine, mixedTargets, mixedPolicy, ours, seed)
	runNaive(mixedEngine, mixedTargets, naive)
	loss := 1 - longSlotSeconds(ours)/longSlotSeconds(naive)
	base := shortWaitP95(naive)
	return Result{Ours: shortWaitP95(ours), Naive: base, Bound: maxShortWaitRatio * base, Note: fmt.Sprintf("long_loss=%.3f", loss)}, nil
}

func shortWaitP95(jobs []*job) float64 {
	var waits []time.Duration
	for _, j := range jobs {
		switch {
		case j.long || j.arrivesAt < mixedWarmUp:
		case j.startedAt > 0:
			waits = append(waits, j.startedAt-j.arrivesAt)
		default:
			// A refused or abandoned request counts with the longest wait, so that refusing short work does not lower
			// the figure.
			waits = append(waits, j.deadline-j.arrivesAt)
		}
	}
	return quantile(waits, 0.95)
}

// longSlotSeconds returns the slot time in seconds, after the warm-up, that went into completed long responses.
func longSlotSeconds(jobs []*job) float64 {
	total := 0.0
	for _, j := range jobs {
		if j.long && j.state == stateCompleted {
			total += max(0, min(j.finishedAt, mixedLength)-max(j.startedAt, mixedWarmUp)).Seconds()
		}
	}
	return total
}
