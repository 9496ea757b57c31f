package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// prefixBytes is the length of the leading part of a prompt that requests have in common if an engine can reuse its
	// cache for them.
	prefixBytes = 256
	// cachedPrefixGain is the additional wait that is accepted at a target that is likely to have the prefix in its
	// cache.
	cachedPrefixGain = 40 * time.Millisecond
	// maxLoadRatio is the ratio to the mean number of dispatches in flight above which a preferred target is not chosen
	// for its cached prefix.
	maxLoadRatio = 1.25
)

// PrefixHash returns the hash of the leading part of a prompt, or 0 if the prompt is too short for prefix affinity.
func PrefixHash(model, adapter, prompt string) uint64 {
	if len(prompt) < prefixBytes {
		return 0
	}
	d := xxhash.New()
	for _, s := range [...]string{model, "\x00", adapter, "\x00", prompt[:prefixBytes]} {
		_, _ = d.WriteString(s)
	}
	return d.Sum64() | 1
}

// rendezvousWeight returns the weight of a target for a prefix in rendezvous hashing.
func rendezvousWeight(prefix, name uint64) uint64 {
	x := (prefix ^ name) * 0x9e3779b97f4a7c15
	x ^= x >> 32
	return x * 0xd6e8feb86659fd93
}

// preferred holds the two targets with the highest rendezvous weights.
type preferred struct {
	index  [2]int
	weight [2]uint64
}

func newPreferred() preferred { return preferred{index: [2]int{-1, -1}} }

// offer adds the target if its weight is one of the two highest so far.
func (p *preferred) offer(i int, w uint64) {
	switch {
	case p.index[0] < 0 || w > p.weight[0]:
		p.index[1], p.weight[1] = p.index[0], p.weight[0]
		p.index[0], p.weight[0] = i, w
	case p.index[1] < 0 || w > p.weight[1]:
		p.index[1], p.weight[1] = i, w
	}
}

// pickPreferred returns the first preferred target whose wait and load are low enough, or -1.
func (p *pool) pickPreferred(pref *preferred, best time.Duration, inFlight, eligible int) int {
	bound := int(maxLoadRatio*float64(inFlight+1)/float64(eligible)) + 1
	for _, i := range pref.index {
		if i >= 0 && p.scores[i] <= best+cachedPrefixGain && int(p.scanned[i].inFlight) < bound {
			return i
		}
	}
	return -1
}
