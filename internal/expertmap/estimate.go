package expertmap

import (
	"math"
	"slices"

	"github.com/camphorbank/camphorbank/internal/port"
)

// reportWeight is the weight of one report against all earlier ones. With smaller weights the estimate follows a drift
// of the popularity too late; with larger ones it follows the noise of single reports.
const reportWeight = 0.3

// Estimator estimates the load of each expert from popularity reports, which may come late or repeated, or be lost. It
// is not safe for concurrent use.
type Estimator struct {
	shape      Shape
	seq        int64       // of the latest report
	tokenShare [][]float64 // by layer and expert: share of the layer's tokens; nil before the layer's first report
	lastSeq    []int64     // per layer: seq of the last report that covered it
}

// NewEstimator returns an estimator that has received no reports.
func NewEstimator(s Shape) *Estimator {
	return &Estimator{shape: s, tokenShare: make([][]float64, s.Layers), lastSeq: make([]int64, s.Layers)}
}

// Seq returns the sequence number of the latest report.
func (e *Estimator) Seq() int64 { return e.seq }

// Ready returns whether every layer has been reported at least once.
func (e *Estimator) Ready() bool {
	return !slices.ContainsFunc(e.tokenShare, func(row []float64) bool { return row == nil })
}

// Add merges a report into the estimate and returns whether the report was new. It ignores reports that are not newer
// than the latest one, and layers that are missing, malformed or without tokens.
func (e *Estimator) Add(p port.Popularity) bool {
	if p.Seq <= e.seq {
		return false
	}
	e.seq = p.Seq
	for l := range min(len(p.Tokens), e.shape.Layers) {
		if total, ok := e.totalTokens(p.Tokens[l]); ok {
			e.blend(l, p.Tokens[l], total)
		}
	}
	return true
}

// totalTokens returns the tokens of a reported layer, and false if the layer is malformed or has none.
func (e *Estimator) totalTokens(row []float64) (float64, bool) {
	if len(row) != e.shape.Experts {
		return 0, false
	}
	for _, w := range row {
		if !(w >= 0) || math.IsInf(w, 1) {
			return 0, false
		}
	}
	total := sum(row)
	return total, total > 0
}

// blend merges a layer's report into the estimate. After missing reports the estimate is older, so the report has more
// weight.
func (e *Estimator) blend(l int, row []float64, total float64) {
	weight := 1 - math.Pow(1-reportWeight, float64(e.seq-e.lastSeq[l]))
	if e.tokenShare[l] == nil {
		e.tokenShare[l] = make([]float64, e.shape.Experts)
		weight = 1
	}
	e.lastSeq[l] = e.seq
	for i, w := range row {
		e.tokenShare[l][i] += weight * (w/total - e.tokenShare[l][i])
	}
}

// Loads returns the estimated load of each expert. The loads of a layer add up to 1, since every token passes every
// layer. The experts of a layer without a report have equal loads.
func (e *Estimator) Loads() [][]float64 {
	out := make([][]float64, e.shape.Layers)
	for l := range out {
		if e.tokenShare[l] != nil {
			out[l] = slices.Clone(e.tokenShare[l])
			continue
		}
		out[l] = slices.Repeat([]float64{1 / float64(e.shape.Experts)}, e.shape.Experts)
	}
	return out
}
