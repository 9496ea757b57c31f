package rankgroup

import (
	"math"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
)

// popularityDecayTime is the time in which the weight of earlier choices falls to 1/e, about a third. Popularity shifts
// within a few seconds; with a shorter decay time the estimate follows the noise of single requests.
const popularityDecayTime = 600 * time.Millisecond

// popularity estimates how often each expert is chosen at present, from the counts of all ranks.
type popularity struct {
	shape          expertmap.Shape
	weightedCounts []float64 // choices of each expert, layer by layer, with the weights of earlier ones reduced
	updatedAt      time.Time
	usualDistance  float64 // mean distance of a reading from the estimate while the popularity does not shift
	unsettled      bool    // the last reading differs more than usual, but did not count as a shift; see settled
}

// newPopularity returns an estimate that knows no choices.
func newPopularity(s expertmap.Shape) *popularity {
	return &popularity{shape: s, weightedCounts: make([]float64, s.Layers*s.Experts), usualDistance: initialDistance}
}

// decay reduces the weight of earlier choices by the time since the last call.
func (p *popularity) decay(now time.Time) {
	if !p.updatedAt.IsZero() {
		keep := math.Exp(-float64(now.Sub(p.updatedAt)) / float64(popularityDecayTime))
		for i := range p.weightedCounts {
			p.weightedCounts[i] *= keep
		}
	}
	p.updatedAt = now
}

// add adds the choices of all ranks' requests since the last reading. If they differ much from the estimate, the
// popularity has shifted: add then discards the earlier choices and returns true. It also discards the new ones, since
// some of them were made before the shift.
func (p *popularity) add(chosen []float64) (shifted bool) {
	distance, known := p.distance(chosen)
	shifted = known && distance > shiftDistanceFactor*p.usualDistance+minShiftDistance
	differs := known && !shifted && distance > unsettledFactor*p.usualDistance
	p.unsettled = differs && !p.unsettled // noise puts off a plan by one reading at most
	if shifted {
		clear(p.weightedCounts)
		return true
	}
	if known {
		p.usualDistance += distanceWeight * (distance - p.usualDistance)
	}
	for i, n := range chosen {
		p.weightedCounts[i] += n
	}
	return false
}

const (
	// minChoices is the number of choices in a layer below which the popularity of its experts cannot be estimated.
	minChoices = 200
	// initialDistance is assumed as the usual distance between two readings before any have been compared. It is that
	// of a small group with few requests.
	initialDistance = 0.12
	// A reading whose distance from the estimate exceeds shiftDistanceFactor times the usual distance by more than
	// minShiftDistance counts as a shift. The usual distance is the noise of the readings, which is lower the more
	// requests a group serves.
	shiftDistanceFactor = 2
	minShiftDistance    = 0.04
	// A reading whose distance exceeds unsettledFactor times the usual distance may be partly of a new popularity.
	unsettledFactor = 1.5
	// distanceWeight is the weight of one reading in the usual distance.
	distanceWeight = 0.1
)

// distance returns the mean distance of new choices from the estimate over the layers, from 0 to 1. known is false if no layer has
// enough choices to tell.
func (p *popularity) distance(chosen []float64) (mean float64, known bool) {
	sum, layers := 0.0, 0
	for l := range p.shape.Layers {
		from, to := l*p.shape.Experts, (l+1)*p.shape.Experts
		if common, ok := overlap(p.weightedCounts[from:to], chosen[from:to]); ok {
			sum += 1 - common
			layers++
		}
	}
	if layers == 0 {
		return 0, false
	}
	return sum / float64(layers), true
}

// overlap returns the sum over all experts of the smaller of their two shares, from 0 to 1. ok is false if one of the
// distributions has fewer than minChoices choices.
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

// settled reports whether the estimate is one of a single popularity. A reading that ends shortly after a shift holds only a few
// choices of the new popularity, too few to count as a shift; the next reading tells.
func (p *popularity) settled() bool { return !p.unsettled }

func total(list []float64) float64 {
	sum := 0.0
	for _, n := range list {
		sum += n
	}
	return sum
}

// loads returns the share of each expert in the work of its layer. ok is false if a layer has fewer than minChoices
// choices.
func (p *popularity) loads() (loads [][]float64, ok bool) {
	for l := range p.shape.Layers {
		row := p.weightedCounts[l*p.shape.Experts : (l+1)*p.shape.Experts]
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
