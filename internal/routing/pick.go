package routing

import (
	"math/rand/v2"
	"time"
)

// waitTolerance is the difference of predicted waits that is not significant, given the age of the reports.
const waitTolerance = 5 * time.Millisecond

// pickOfTwo draws two of the targets whose score is near the best one and returns the better of them. If the best one
// were always chosen, all entry processes with the same reports would send their requests to the same target.
func (p *pool) pickOfTwo(s *scan, rng *rand.Rand) int {
	limit := s.bestScore + max(waitTolerance, s.bestScore/4)
	p.nearBest = p.nearBest[:0]
	for i, score := range p.scores {
		if score >= 0 && score <= limit {
			p.nearBest = append(p.nearBest, int32(i))
		}
	}
	n := len(p.nearBest)
	first := int(p.nearBest[rng.IntN(n)])
	if n == 1 {
		return first
	}
	// The second draw excludes the first one, whose place the last target of the list takes.
	second := int(p.nearBest[rng.IntN(n-1)])
	if second == first {
		second = int(p.nearBest[n-1])
	}
	s.drawn = [2]int{first, second}
	if p.better(second, first) {
		return second
	}
	return first
}

func (p *pool) better(a, b int) bool {
	if p.scores[a] != p.scores[b] {
		return p.scores[a] < p.scores[b]
	}
	return p.scanned[a].inFlight < p.scanned[b].inFlight
}
