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

// add takes in the choices of one rank's requests since its last report.
func (p *popularity) add(chosen []float64) {
	for i, n := range chosen {
		p.recent[i] += n
	}
}

// minChoices is the weight of choices in a layer below which its popularity says nothing.
const minChoices = 200

// loads returns the share of each expert in its layer's work. ok is false if too few choices are known.
func (p *popularity) loads() (loads [][]float64, ok bool) {
	for l := range p.shape.Layers {
		row := p.recent[l*p.shape.Experts : (l+1)*p.shape.Experts]
		total := 0.0
		for _, n := range row {
			total += n
		}
		if total < minChoices {
			return nil, false
		}
		out := make([]float64, len(row))
		for e, n := range row {
			out[e] = n / total
		}
		loads = append(loads, out)
	}
	return loads, true
}
