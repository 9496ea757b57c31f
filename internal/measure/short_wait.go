package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
)

// Short work beside long work: proof notes and checks beside brief summaries, near the
// capacity but below it, so that all work could be served.
const (
	mixedTargets   = 16
	mixedLength    = 200 * time.Second
	mixedWarmUp    = 60 * time.Second
	mixedShortLoad = 0.15 // of the capacity
	mixedLongLoad  = 0.75 // of the capacity

	// shortWaitShare is the largest wait of short work as a share of the naive wait.
	shortWaitShare = 0.2
)

var mixedEngine = fakeEngine{slots: 16, rate: 40, prefill: 25, chunk: 8}

// briefSummaries holds long summaries of venue briefs and short notes. The long share is set from the two loads.
var briefSummaries = mix{
	shortDeadline: 5 * time.Second, longDeadline: 120 * time.Second,
	shortMax: 120, longMax: 3000, shortPrompt: 160, longPrompt: 16000,
	shortTokens: [2]int{20, 100}, longTokens: [2]int{600, 2400},
	accounts: 10, bigAccounts: 2, bigAccountsShareOfTraffic: 0.6,
}

// mixedPolicy keeps the share of the example preset. A share of 0.1875 refuses over 5% of short work when long work
// fills the other slots.
var mixedPolicy = admission.Policy{
	ShortMaxTokens: 200, ReservedShare: 0.25, AdmitLongDrafts: true,
	MaxWait: [2]time.Duration{admission.Short: 500 * time.Millisecond, admission.Long: 20 * time.Second},
}

func mixedWorkload(r *rand.Rand) []*job {
	work := briefSummaries
	short, long := work, work
	short.longShare, long.longShare = 0, 1
	capacity := float64(mixedTargets*mixedEngine.slots) * mixedEngine.rate
	shortRate := mixedShortLoad * capacity / short.meanCost(mixedEngine)
	longRate := mixedLongLoad * capacity / long.meanCost(mixedEngine)
	work.longShare = longRate / (shortRate + longRate)
	return work.arrivals(r, 0, mixedLength, shortRate+longRate)
}

// shortWait is the 95th percentile of the time from the arrival of short work until the target begins it, in seconds.
// The note states the loss of long work's throughput against the naive side, which may be at most 0.1.
func shortWait(_ context.Context, seed int64) (Result, error) {
	r := rand.New(rand.NewPCG(uint64(seed), 2))
	jobs := mixedWorkload(r)
	ours, naive := copyJobs(jobs), copyJobs(jobs)
	runOurs(mixedEngine, mixedTargets, mixedPolicy, ours, seed)
	runNaive(mixedEngine, mixedTargets, naive)
	loss := 1 - longWork(ours)/longWork(naive)
	base := shortWaitP95(naive)
	return Result{Ours: shortWaitP95(ours), Naive: base, Bound: shortWaitShare * base, Note: fmt.Sprintf("long_loss=%.3f", loss)}, nil
}

func shortWaitP95(jobs []*job) float64 {
	var waits []time.Duration
	for _, j := range jobs {
		switch {
		case j.long || j.arrive < mixedWarmUp:
		case j.started > 0:
			waits = append(waits, j.started-j.arrive)
		default:
			// Refused or given up: it counts as the longest wait, so that refusing short work does not lower the figure.
			waits = append(waits, j.deadline-j.arrive)
		}
	}
	return quantile(waits, 0.95)
}

// longWork returns the slot seconds after the warm-up that went into whole long responses.
func longWork(jobs []*job) float64 {
	total := 0.0
	for _, j := range jobs {
		if j.long && j.state == whole {
			total += max(0, min(j.finished, mixedLength)-max(j.started, mixedWarmUp)).Seconds()
		}
	}
	return total
}
