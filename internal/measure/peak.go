package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
)

// The peak: demand at 0.7 of the capacity, then four times the capacity for 10 s, then 0.7 again.
const (
	peakTargets  = 16
	peakStart    = 10 * time.Second
	peakLength   = 10 * time.Second
	peakTail     = 5 * time.Second
	peakFactor   = 4.0
	ordinaryLoad = 0.7

	goodputBound       = 0.95
	refusalBoundMillis = 50
)

var peakEngine = fakeEngine{slots: 16, rate: 40, prefill: 25, chunk: 8}

var peakPolicy = admission.Policy{
	ShortMaxTokens: 200, ReservedShare: 0.25, AdmitLongDrafts: true,
	MaxWait: [2]time.Duration{admission.Short: 500 * time.Millisecond, admission.Long: 4 * time.Second},
}

func runPeak(seed int64) (ours, naive []*job) {
	r := rand.New(rand.NewPCG(uint64(seed), 1))
	capacity := float64(peakTargets*peakEngine.slots) * peakEngine.rate / cardWording.meanCost(peakEngine)
	jobs := cardWording.arrivals(r, 0, peakStart, ordinaryLoad*capacity)
	jobs = append(jobs, cardWording.arrivals(r, peakStart, peakStart+peakLength, peakFactor*capacity)...)
	jobs = append(jobs, cardWording.arrivals(r, peakStart+peakLength, peakStart+peakLength+peakTail, ordinaryLoad*capacity)...)
	ours, naive = copyJobs(jobs), copyJobs(jobs)
	runOurs(peakEngine, peakTargets, peakPolicy, ours, seed)
	runNaive(peakEngine, peakTargets, naive)
	return ours, naive
}

// crestGoodput is the share of what the targets could serve during the peak that they did serve, whole and in time.
// It is counted in responses of the offered mix and in work, and the lesser of the two is the figure: counting
// responses alone would reward refusing long work, and counting work alone would reward refusing short work.
func crestGoodput(_ context.Context, seed int64) (Result, error) {
	ours, naive := runPeak(seed)
	cancelling := copyJobs(ours)
	for _, j := range cancelling {
		j.state, j.started, j.finished, j.refused = waiting, 0, 0, 0
	}
	runFIFO(peakEngine, peakTargets, cancelling, true)
	a, b, c := goodput(ours), goodput(naive), goodput(cancelling)
	note := fmt.Sprintf("responses=%.3f work=%.3f naive_responses=%.3f naive_work=%.3f cancelling_fifo=%.3f",
		a.responses, a.work, b.responses, b.work, c.least())
	return Result{Ours: a.least(), Naive: b.least(), Bound: goodputBound, Note: note}, nil
}

// served is a share of what the targets could serve.
type served struct{ responses, work float64 }

func (s served) least() float64 { return min(s.responses, s.work) }

func goodput(jobs []*job) (s served) {
	for _, j := range jobs {
		if !j.inTime() {
			continue
		}
		from, to := max(j.started, peakStart), min(j.finished, peakStart+peakLength)
		if to > from {
			s.work += (to - from).Seconds()
			s.responses += (to - from).Seconds() / (j.finished - j.started).Seconds()
		}
	}
	slotTime := float64(peakTargets*peakEngine.slots) * peakLength.Seconds()
	s.work /= slotTime
	s.responses /= slotTime * peakEngine.rate / cardWording.meanCost(peakEngine)
	return s
}

// crestRefusal is the 95th percentile of the time after which a caller learns that its request is refused. On the
// naive side that is when the caller's deadline passes.
func crestRefusal(_ context.Context, seed int64) (Result, error) {
	ours, naive := runPeak(seed)
	return Result{Ours: refusalP95(ours), Naive: refusalP95(naive), Bound: refusalBoundMillis}, nil
}

func refusalP95(jobs []*job) float64 {
	var after []time.Duration
	for _, j := range jobs {
		if j.refused > 0 {
			after = append(after, j.refused-j.arrive)
		}
	}
	return 1000 * quantile(after, 0.95)
}
