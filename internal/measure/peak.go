package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
)

// Sizes of the peak figures. The demand is 0.7 of the capacity, then four times the capacity for 10 s, then 0.7 again.
const (
	peakTargets  = 16
	peakStart    = 10 * time.Second
	peakLength   = 10 * time.Second
	peakTail     = 5 * time.Second
	peakFactor   = 4.0
	ordinaryLoad = 0.7

	goodputBound   = 0.95
	refusalBoundMS = 50
)

var peakEngine = fakeEngine{slots: 16, tokensPerSecond: 40, prefillRatio: 25, chunkTokens: 8}

var peakPolicy = admission.Policy{
	ShortMaxTokens: 200, ReservedShare: 0.25, AdmitLongDrafts: true,
	MaxWait: [2]time.Duration{admission.Short: 500 * time.Millisecond, admission.Long: 4 * time.Second},
}

func runPeak(seed int64) (ours, naive []*job) {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	capacity := float64(peakTargets*peakEngine.slots) * peakEngine.tokensPerSecond / priceCardMix.meanCost(peakEngine)
	jobs := priceCardMix.arrivals(r, 0, peakStart, ordinaryLoad*capacity)
	jobs = append(jobs, priceCardMix.arrivals(r, peakStart, peakStart+peakLength, peakFactor*capacity)...)
	jobs = append(jobs, priceCardMix.arrivals(r, peakStart+peakLength, peakStart+peakLength+peakTail, ordinaryLoad*capacity)...)
	ours, naive = copyJobs(jobs), copyJobs(jobs)
	runOurs(peakEngine, peakTargets, peakPolicy, ours, seed)
	runNaive(peakEngine, peakTargets, naive)
	return ours, naive
}

// crestGoodput measures the goodput during the peak: the share of the capacity that went into responses that were
// complete and in time. It is computed once in responses of the offered mix and once in work, and the lesser is the
// figure: counting responses alone would reward refusing long work, and counting work alone would reward refusing short
// work.
func crestGoodput(_ context.Context, seed int64) (Result, error) {
	ours, naive := runPeak(seed)
	cancelling := copyJobs(ours)
	for _, j := range cancelling {
		j.state, j.startedAt, j.finishedAt, j.refusedAt = stateWaiting, 0, 0, 0
	}
	runFIFO(peakEngine, peakTargets, cancelling, true)
	a, b, c := goodput(ours), goodput(naive), goodput(cancelling)
	note := fmt.Sprintf("responses=%.3f work=%.3f naive_responses=%.3f naive_work=%.3f cancelling_fifo=%.3f",
		a.responses, a.work, b.responses, b.work, c.lesser())
	return Result{Ours: a.lesser(), Naive: b.lesser(), Bound: goodputBound, Note: note}, nil
}

// servedShares holds the share of the capacity that was used, by number of responses and by work.
type servedShares struct{ responses, work float64 }

func (s servedShares) lesser() float64 { return min(s.responses, s.work) }

func goodput(jobs []*job) (s servedShares) {
	for _, j := range jobs {
		if !j.inTime() {
			continue
		}
		from, to := max(j.startedAt, peakStart), min(j.finishedAt, peakStart+peakLength)
		if to > from {
			s.work += (to - from).Seconds()
			s.responses += (to - from).Seconds() / (j.finishedAt - j.startedAt).Seconds()
		}
	}
	slotTime := float64(peakTargets*peakEngine.slots) * peakLength.Seconds()
	s.work /= slotTime
	s.responses /= slotTime * peakEngine.tokensPerSecond / priceCardMix.meanCost(peakEngine)
	return s
}

// crestRefusal measures the 95th percentile of the time in milliseconds after which a caller learns that its request is
// refused. The naive version tells callers nothing, so that its time lasts until the caller leaves the queue or its
// deadline passes.
func crestRefusal(_ context.Context, seed int64) (Result, error) {
	ours, naive := runPeak(seed)
	return Result{Ours: refusalP95(ours), Naive: refusalP95(naive), Bound: refusalBoundMS}, nil
}

func refusalP95(jobs []*job) float64 {
	var after []time.Duration
	for _, j := range jobs {
		if j.refusedAt > 0 {
			after = append(after, j.refusedAt-j.arrivesAt)
		}
	}
	return 1000 * quantile(after, 0.95)
}
