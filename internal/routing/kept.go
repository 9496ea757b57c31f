package routing

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/promptcache"
)

// speed returns how fast the target processes a prompt in one slot.
func (t *target) speed() placement.Speed {
	if t.perToken <= 0 {
		return placement.Speed{}
	}
	perSlot := float64(time.Second) / float64(t.perToken) / float64(t.slots)
	return placement.PerSecond(perSlot*placement.PromptTokensPerGenerated, 0)
}

// holder is a target that is believed to hold a prefix of the prompt.
type holder struct {
	index  int // -1 if there is none
	tokens int // length of the prefix
	saving time.Duration
}

// bestHolder returns the holder whose first token is expected first.
func (r *Router) bestHolder(p *pool, q *Query) holder {
	best, bestScore := holder{index: -1}, never
	if len(q.Prompt.Prefixes) == 0 {
		return best
	}
	for _, kept := range r.prompts.Kept(&q.Prompt) {
		i := p.indexOf(kept.Engine)
		if i < 0 || p.scores[i] >= never {
			continue
		}
		saving := p.targets[i].speed().Saving(kept.Tokens)
		if score := p.scores[i] - saving; best.index < 0 || score < bestScore {
			best, bestScore = holder{i, kept.Tokens, saving}, score
		}
	}
	return best
}

// pays reports whether the first token is expected at the holder no later than at the target with the lowest score. If
// the speed of the holder is not known, it only has to be near the best.
func (p *pool) pays(h holder, s *scan) bool {
	if h.index < 0 {
		return false
	}
	if h.saving == 0 {
		return p.scores[h.index] <= s.nearBest()
	}
	return p.scores[h.index]-h.saving <= s.bestScore
}

// mixFactor1 and mixFactor2 are the multipliers of the hash in rendezvousWeight. Odd ones with irregular bits spread each bit of
// the input over the higher bits of the weight.
const (
	mixFactor1 = 0x9e3779b97f4a7c15
	mixFactor2 = 0xd6e8feb86659fd93
)

// rendezvousWeight returns the weight of a target for a prefix in rendezvous hashing, from the hashes of both.
func rendezvousWeight(prefix, name uint64) uint64 {
	x := (prefix ^ name) * mixFactor1
	x ^= x >> 32
	return x * mixFactor2
}

// pickNewHolder returns the target with the highest rendezvous weight for the prompt's shortest prefix of those whose
// score is near the best one. Entry processes thus send a prefix that none of them has sent before to the same target.
func (p *pool) pickNewHolder(q *Query, s *scan) int {
	prefix, limit := q.Prompt.Prefixes[0].Hash, s.nearBest()
	best, bestWeight := -1, uint64(0)
	for i, score := range p.scores {
		if score > limit {
			continue
		}
		if w := rendezvousWeight(prefix, p.hashes[i]); best < 0 || w > bestWeight {
			best, bestWeight = i, w
		}
	}
	return best
}

// recordPrompt records that the prompt of a query was sent to a target. It returns nil for a prompt without prefixes.
func (r *Router) recordPrompt(p *pool, q *Query, i int) *promptcache.Use[string] {
	if len(q.Prompt.Prefixes) == 0 {
		return nil
	}
	t := &p.targets[i]
	state := promptcache.Engine{Memory: t.cacheTokens, Share: t.ownShare()}
	return r.prompts.Sent(p.list[i].Name, state, &q.Prompt)
}

// ownShare returns the share of the router's dispatches in the requests at the target, or 0 if it is unknown.
func (t *target) ownShare() float64 {
	own := float64(t.inFlight) + 1
	return own / max(own, float64(t.reportedRequests))
}
