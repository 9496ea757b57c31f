package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
)

// excluded marks a target that the filter removed.
const excluded = time.Duration(-1)

// maxRecorded bounds the number of targets that a decision record names.
const maxRecorded = 4

// scan is the result of one pass over the targets of a pool.
type scan struct {
	bestScore time.Duration // lowest score, or excluded
	eligible  int
	inFlight  int       // own dispatches in flight at the eligible targets
	probe     int       // a target whose open period is over, or -1
	pref      preferred // targets preferred for the prefix of the prompt
	bestIndex int       // a target with the lowest score, or -1
	drawn     [2]int    // the random candidates, -1 if none were drawn
}

// scan filters and scores the targets. A target is eligible if it is live, is not draining, was not tried, and its
// circuit admits a dispatch.
func (p *pool) scan(q *Query, now time.Duration) scan {
	s := scan{bestScore: excluded, probe: -1, pref: newPreferred(), bestIndex: -1, drawn: [2]int{-1, -1}}
	lane := q.lane()
	for i := range p.scanned {
		t := &p.scanned[i]
		p.scores[i] = excluded
		if now < t.blockedUntil || (len(q.Tried) > 0 && slices.Contains(q.Tried, p.list[i].Name)) {
			continue
		}
		if t.open {
			s.probe = i
			continue
		}
		score := t.score(lane, now)
		p.scores[i] = score
		s.eligible++
		s.inFlight += int(t.inFlight)
		if s.bestScore < 0 || score < s.bestScore {
			s.bestScore, s.bestIndex = score, i
		}
		if q.Prefix != 0 {
			s.pref.offer(i, rendezvousWeight(q.Prefix, t.hash))
		}
	}
	if s.probe >= 0 {
		p.scores[s.probe] = p.scanned[s.probe].score(lane, now)
	}
	return s
}

// choose returns the index of the chosen target, or -1.
func (p *pool) choose(q *Query, s *scan, rng *rand.Rand) int {
	if s.probe >= 0 && (s.eligible == 0 || q.MayProbe) {
		return s.probe
	}
	if s.eligible == 0 {
		return -1
	}
	if s.probe >= 0 {
		p.scores[s.probe] = excluded
	}
	if i := p.pickPreferred(&s.pref, s.bestScore, s.inFlight, s.eligible); i >= 0 {
		return i
	}
	return p.pickOfTwo(s, rng)
}

// considered lists the chosen target and the others that it was compared with, for the decision record.
func (p *pool) considered(chosen int, s *scan) []decision.Candidate {
	out := make([]decision.Candidate, 0, maxRecorded)
	compared := [...]int{chosen, s.drawn[0], s.drawn[1], s.pref.index[0], s.pref.index[1], s.bestIndex}
	for k, i := range compared {
		if i < 0 || slices.Contains(compared[:k], i) || len(out) == maxRecorded {
			continue
		}
		out = append(out, decision.Candidate{
			Target: p.list[i].Name, Score: p.scores[i], Probe: p.scanned[i].open,
		})
	}
	return out
}
