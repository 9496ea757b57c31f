package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// waitTolerance is the difference of predicted waits that is not significant, given the age of the reports.
	waitTolerance = 5 * time.Millisecond
	// maxRandomDraws bounds the random draws of a target near the best score before the targets are listed.
	maxRandomDraws = 8
)

// nearBest returns the highest score that is not significantly above the best one.
func (s *scan) nearBest() time.Duration { return s.bestScore + max(waitTolerance, s.bestScore/4) }

// pickOfTwo draws two of the targets whose score is near the best one and returns the better of them. If the best one
// were always chosen, all entry processes with the same reports would send their requests to the same target.
func (p *pool) pickOfTwo(s *scan, rng *rand.Rand) int {
	first := p.drawNear(s.nearBest(), -1, rng)
	second := p.drawNear(s.nearBest(), first, rng)
	if second < 0 {
		return first
	}
	s.drawn = [2]int{first, second}
	if p.better(second, first) {
		return second
	}
	return first
}

// drawNear draws a target other than the excluded one with a score of at most limit. It returns -1 if there is none.
func (p *pool) drawNear(limit time.Duration, excluded int, rng *rand.Rand) int {
	near := func(i int) bool { return i != excluded && p.scores[i] <= limit }
	for range maxRandomDraws {
		if i := rng.IntN(len(p.scores)); near(i) {
			return i
		}
	}
	p.drawList = p.drawList[:0]
	for i := range p.scores {
		if near(i) {
			p.drawList = append(p.drawList, int32(i))
		}
	}
	if len(p.drawList) == 0 {
		return -1
	}
	return int(p.drawList[rng.IntN(len(p.drawList))])
}

func (p *pool) better(a, b int) bool {
	if p.scores[a] != p.scores[b] {
		return p.scores[a] < p.scores[b]
	}
	return p.targets[a].inFlight < p.targets[b].inFlight
}
