package rankgroup

import (
	"math"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
)

// popularityAge is the time in which the weight of earlier choices falls to a third. Popularity shifts within a few
// seconds; a shorter time follows the noise of single requests.
const popularityAge = 600 * time.Millisecond

// popularity estimates how often each expert is chosen now, from the counts of all ranks.
type popularity struct {
	shape  expertmap.Shape
	recent []float64
	at     time.Time
}

func newPopularity(s expertmap.Shape) *popularity {
	return &popularity{shape: s, recent: make([]float64, s.Layers*s.Experts)}
}

// age lowers the weight of earlier choices.
func (p *popularity) age(now time.Time) {
	if !p.at.IsZero() {
		keep := math.Exp(-float64(now.Sub(p.at)) / float64(popularityAge))
		for i := range p.recent {
			p.recent[i] *= keep
		}
	}
	p.at = now
}

// add takes in the choices of all ranks' requests since the last reading. If they differ much from the estimate, the
// popularity has shifted, and what was known before says nothing any more. It says whether that was so.
func (p *popularity) add(chosen []float64) (shifted bool) {
	if p.differs(chosen) {
		clear(p.recent)
		shifted = true
	}
	for i, n := range chosen {
		p.recent[i] += n
	}
	return shifted
}

const (
	// minChoices is the number of choices in a layer below which its popularity says nothing.
	minChoices = 200
	// minOverlap is the common part of two distributions below which they count as different. Readings of unchanged
	// popularity have more than four fifths in common.
	minOverlap = 0.72
)

// differs says whether new choices contradict the estimate.
func (p *popularity) differs(chosen []float64) bool {
	sum, layers := 0.0, 0
	for l := range p.shape.Layers {
		from, to := l*p.shape.Experts, (l+1)*p.shape.Experts
		if common, ok := overlap(p.recent[from:to], chosen[from:to]); ok {
			sum += common
			layers++
		}
	}
	return layers > 0 && sum/float64(layers) < minOverlap
}

// overlap returns the common part of two distributions, from 0 to 1. ok is false if one of them has too few choices.
func overlap(a, b []float64) (common float64, ok bool) {
	totalA, totalB := total(a), total(b)
	if totalA < minChoices || totalB < minChoices {
		return 0, false
	}
	for i := range a {
		common += min(a[i]/totalA, b[i]/totalB)
	}
	return common, true
}

func total(list []float64) float64 {
	sum := 0.0
	for _, n := range list {
		sum += n
	}
	return sum
}

// loads returns the share of each expert in its layer's work. ok is false if too few choices are known.
func (p *popularity) loads() (loads [][]float64, ok bool) {
	for l := range p.shape.Layers {
		row := p.recent[l*p.shape.Experts : (l+1)*p.shape.Experts]
		all := total(row)
		if all < minChoices {
			return nil, false
		}
		out := make([]float64, len(row))
		for e, n := range row {
			out[e] = n / all
		}
		loads = append(loads, out)
	}
	return loads, true
}
