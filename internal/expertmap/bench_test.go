package expertmap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// randomLoads draws log-normal loads, which resemble the usual popularity of experts.
func randomLoads(s Shape, sigma float64, rng *rand.Rand) [][]float64 {
	loads := make([][]float64, s.Layers)
	for l := range loads {
		for range s.Experts {
			loads[l] = append(loads[l], math.Exp(sigma*rng.NormFloat64()))
		}
	}
	return loads
}

// BenchmarkMake measures how the planning time grows with the number of ranks. It starts from the even map, from which
// the search takes longest.
func BenchmarkMake(b *testing.B) {
	for _, slots := range []int{2, 3} {
		for _, ranks := range []int{32, 64, 128} {
			s := Shape{Ranks: ranks, Layers: 60, Experts: ranks, SlotsPerRank: slots}
			b.Run(fmt.Sprintf("%dx%dx%d-%dslots", s.Ranks, s.Experts, s.Layers, slots), func(b *testing.B) {
				in := Input{Shape: s, Current: RoundRobin(s), Loads: randomLoads(s, 1, rand.New(rand.NewPCG(1, 1))),
					Policy: Policy{Skew: 1.02, Horizon: 10 * time.Minute}}
				for b.Loop() {
					if _, err := Make(in); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
