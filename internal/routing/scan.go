package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
)

// maxRecorded bounds the number of targets that a decision record names.
const maxRecorded = 4

// scan is the result of one pass over the targets of a pool.
type scan struct {
	bestScore time.Duration // lowest score, or never
	eligible  int
	probe     int    // a target whose open period is over, or -1
	drawn     [2]int // the random candidates, -1 if none were drawn
	holder    holder // the best target that holds a prefix of the prompt
}

func newScan() scan {
	return scan{bestScore: never, probe: -1, drawn: [2]int{-1, -1}, holder: holder{index: -1}}
}

// scan filters and scores the targets. A target is eligible if it is live, is not draining, was not tried, and its
// circuit admits a dispatch.
func (p *pool) scan(q *Query, now time.Duration) scan {
	p.refreshDue(now)
	s := newScan()
	for _, name := range q.Tried {
		if i := p.indexOf(name); i >= 0 {
			p.exclude(i)
			defer p.refresh(i, now)
		}
	}
	s.bestScore, s.eligible = p.score(q.lane(), q.Prompt.Tokens, now), p.eligible
	s.probe = p.probe(q, now)
	return s
}

// probe returns a target whose circuit admits a dispatch that tests it, or -1.
func (p *pool) probe(q *Query, now time.Duration) int {
	if p.open == 0 {
		return -1
	}
	for i := range p.targets {
		t := &p.targets[i]
		if t.breaker.open() && now >= t.blockedUntil() && !slices.Contains(q.Tried, p.list[i].Name) {
			return i
		}
	}
	return -1
}

// choose returns the index of the chosen target, or -1.
func (r *Router) choose(p *pool, q *Query, s *scan, now time.Duration, rng *rand.Rand) int {
	if s.probe >= 0 && (s.eligible == 0 || q.MayProbe) {
		p.scores[s.probe] = p.targets[s.probe].estimate(q.lane(), now).FirstToken()
		return s.probe
	}
	if s.eligible == 0 {
		return -1
	}
	if len(q.Prompt.Prefixes) == 0 {
		return p.pickOfTwo(s, rng)
	}
	s.holder = r.bestHolder(p, q)
	if p.pays(s.holder, s) {
		return s.holder.index
	}
	return p.pickNewHolder(q, s)
}

// considered lists the chosen target and the others that it was compared with, for the decision record.
func (p *pool) considered(chosen int, s *scan) []decision.Candidate {
	out := make([]decision.Candidate, 0, maxRecorded)
	compared := [...]int{chosen, s.drawn[0], s.drawn[1], s.holder.index}
	for k, i := range compared {
		if i < 0 || slices.Contains(compared[:k], i) || len(out) == maxRecorded {
			continue
		}
		out = append(out, decision.Candidate{
			Target: p.list[i].Name, Score: p.scores[i], Probe: p.targets[i].breaker.open(),
		})
	}
	return out
}
