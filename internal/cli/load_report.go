package cli

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/camphorbank/camphorbank/internal/loadgen"
)

// loadReport is the JSON form of a loadgen.Result.
type loadReport struct {
	Seed        uint64            `json:"seed"`
	ElapsedS    float64           `json:"elapsed_s"`
	LateUS      int64             `json:"late_us"` // longest time by which the generator sent a request later than due
	MaxInFlight int               `json:"max_in_flight"`
	Wrong       []string          `json:"wrong"` // descriptions of the first wrong answers
	Classes     []loadClassReport `json:"classes"`
}

// loadClassReport is the JSON form of a loadgen.ClassResult.
type loadClassReport struct {
	Class      loadgen.Class    `json:"class"`
	Arrived    int64            `json:"arrived"`
	Dropped    int64            `json:"dropped"`
	Completed  int64            `json:"completed"`
	NotRun     int64            `json:"not_run"`
	Unknown    int64            `json:"unknown"`
	NoAnswer   int64            `json:"no_answer"`
	Wrong      int64            `json:"wrong"`
	Reasons    map[string]int64 `json:"reasons"`
	FirstToken loadPercentiles  `json:"first_token_us"`
	Gap        loadPercentiles  `json:"token_gap_us"`
	Duration   loadPercentiles  `json:"duration_us"`
	Refusal    loadPercentiles  `json:"refusal_us"`
}

// loadPercentiles summarizes a histogram of times in microseconds.
type loadPercentiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func percentilesOf(h *hdrhistogram.Histogram) loadPercentiles {
	return loadPercentiles{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

func newLoadReport(o *loadgen.Options, res *loadgen.Result) loadReport {
	out := loadReport{Seed: o.Seed, ElapsedS: res.Elapsed.Seconds(), LateUS: res.MaxSendDelay.Microseconds(), MaxInFlight: res.MaxInFlight,
		Wrong: append([]string{}, res.WrongExamples...)}
	for _, c := range res.Classes {
		out.Classes = append(out.Classes, loadClassReport{
			Class: c.Class, Arrived: c.Arrived, Dropped: c.Dropped, Completed: c.Completed, NotRun: c.NotRun,
			Unknown: c.Unknown, NoAnswer: c.NoAnswer, Wrong: c.Wrong, Reasons: c.Reasons,
			FirstToken: percentilesOf(c.FirstToken), Gap: percentilesOf(c.TokenGap), Duration: percentilesOf(c.Duration), Refusal: percentilesOf(c.Refusal),
		})
	}
	return out
}

// formatHistogram formats the median and the 95th and 99th percentiles of a histogram of microseconds.
func formatHistogram(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	var out []string
	t := percentilesOf(h)
	for _, us := range []int64{t.P50, t.P95, t.P99} {
		out = append(out, (time.Duration(us) * time.Microsecond).Round(10*time.Microsecond).String())
	}
	return strings.Join(out, "/")
}

// formatCounts formats counts as NAME=COUNT, sorted by name.
func formatCounts(counts map[string]int64) string {
	if len(counts) == 0 {
		return "-"
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s=%d", name, counts[name]))
	}
	return strings.Join(out, " ")
}
