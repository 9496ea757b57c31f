package expertmap

// change is one candidate change of a layer's placement: an exchange of the experts of two slots, or another expert for
// one slot.
type change struct {
	slotA, slotB int     // slotB is -1 when only slotA changes
	in           int32   // expert that enters slotA when slotB is -1
	peak         float64 // highest load, after the change, among the ranks whose load it alters
	value        float64 // reduction of the most loaded rank's load for each expert loaded
}

// searchState is the state of a layer after some changes.
type searchState struct {
	maxLoad     float64 // load of the most loaded rank
	newReplicas int     // experts that ranks have to load
}

// searcher lowers the load of the most loaded rank of one layer step by step. Every change lowers the load of that rank
// and raises no other rank to the former maximum, so the search ends.
type searcher struct {
	*layer
	goal          float64 // the search stops when no rank has more load than this
	peakLimit     float64 // load that the peak of a change must stay below; set by bestChange
	busiestHolder []int32 // per expert: its most loaded holder
	secondHolder  []int32 // per expert: its second most loaded holder, or -1
}

func newSearcher(y *layer, goal float64) *searcher {
	return &searcher{layer: y, goal: goal, busiestHolder: make([]int32, y.experts), secondHolder: make([]int32, y.experts)}
}

// run applies up to limit changes and returns them with the states that they reach.
func (s *searcher) run(limit int) (changes []change, states []searchState) {
	for range limit {
		busiest := s.mostLoadedRank()
		if s.rankLoad[busiest] <= s.goal {
			break
		}
		best, ok := s.bestChange(busiest)
		if !ok {
			break
		}
		s.apply(best)
		changes = append(changes, best)
		states = append(states, searchState{maxLoad: s.rankLoad[s.mostLoadedRank()], newReplicas: s.newReplicas})
	}
	return changes, states
}

func (y *layer) apply(c change) {
	if c.slotB >= 0 {
		y.swap(c.slotA, c.slotB)
		return
	}
	y.replace(c.slotA, c.in)
}

// bestChange returns the change that lowers the load of busiest, the most loaded rank, most for each expert loaded. It
// returns false if no change lowers it.
func (s *searcher) bestChange(busiest int) (change, bool) {
	s.findBusiestHolders()
	s.peakLimit = s.rankLoad[busiest] * (1 - minRelativeGain)
	var best change
	ok := false
	consider := func(c change, loads int) {
		if c.peak >= s.peakLimit {
			return
		}
		c.value = (s.rankLoad[busiest] - max(c.peak, s.goal)) / float64(loads)
		if !ok || c.value > best.value || (c.value == best.value && c.peak < best.peak) {
			best, ok = c, true
		}
	}
	s.considerSwaps(busiest, consider)
	s.considerAdditions(busiest, consider)
	s.considerReplacements(busiest, consider)
	return best, ok
}

// minRelativeGain is the least relative reduction of the load for which a change is made. It is far above rounding
// errors, which would otherwise make the search alternate between equal placements without end.
const minRelativeGain = 1e-6

// findBusiestHolders finds the two most loaded holders of every expert.
func (s *searcher) findBusiestHolders() {
	for e, holders := range s.holders {
		a, b := int32(-1), int32(-1)
		for _, q := range holders {
			switch {
			case a < 0 || s.rankLoad[q] > s.rankLoad[a]:
				a, b = q, a
			case b < 0 || s.rankLoad[q] > s.rankLoad[b]:
				b = q
			}
		}
		s.busiestHolder[e], s.secondHolder[e] = a, b
	}
}

// peakWithoutReplica returns the highest load among the other holders of e after the replica on rank q is removed.
func (s *searcher) peakWithoutReplica(e int32, q int) float64 {
	n := float64(s.replicaCount(e))
	rise := s.replicaLoad[e]*n/(n-1) - s.replicaLoad[e]
	h := s.busiestHolder[e]
	if int(h) == q {
		h = s.secondHolder[e]
	}
	return s.rankLoad[h] + rise
}

// considerSwaps considers the exchange of an expert of the most loaded rank for a lighter one of another rank.
func (s *searcher) considerSwaps(busiest int, consider func(change, int)) {
	for i, a := range s.expertsOn(busiest) {
		for q := range s.ranks {
			if q == busiest || s.holds(q, a) {
				continue
			}
			for j, b := range s.expertsOn(q) {
				diff := s.replicaLoad[a] - s.replicaLoad[b]
				if diff <= 0 || s.holds(busiest, b) {
					continue
				}
				peak := max(s.rankLoad[busiest]-diff, s.rankLoad[q]+diff)
				if peak >= s.peakLimit {
					continue
				}
				consider(change{slotA: busiest*s.slotsPerRank + i, slotB: q*s.slotsPerRank + j, peak: peak}, 2)
			}
		}
	}
}

// considerAdditions considers another replica for an expert of the most loaded rank, in place of a redundant replica on
// another rank. A replica is redundant if its expert has others.
func (s *searcher) considerAdditions(busiest int, consider func(change, int)) {
	for _, a := range s.expertsOn(busiest) {
		n := float64(s.replicaCount(a))
		share := s.replicaLoad[a] * n / (n + 1)
		for q := range s.ranks {
			if s.holds(q, a) {
				continue
			}
			for j, c := range s.expertsOn(q) {
				if s.replicaCount(c) < 2 {
					continue
				}
				peak := max(s.rankLoad[q]-s.replicaLoad[c]+share, s.rankLoad[busiest]-s.replicaLoad[a]+share)
				if peak >= s.peakLimit {
					continue
				}
				if s.holds(busiest, c) {
					peak = max(peak, s.rankLoad[busiest]-s.replicaLoad[a]+share+s.replicaLoad[c]/float64(s.replicaCount(c)-1))
				}
				peak = max(peak, s.peakWithoutReplicaExcept(c, q, busiest))
				consider(change{slotA: q*s.slotsPerRank + j, slotB: -1, in: a, peak: peak}, 1)
			}
		}
	}
}

// peakWithoutReplicaExcept is peakWithoutReplica without the most loaded rank, whose load the caller computes.
func (s *searcher) peakWithoutReplicaExcept(e int32, q, busiest int) float64 {
	if !s.holds(busiest, e) {
		return s.peakWithoutReplica(e, q)
	}
	n := float64(s.replicaCount(e))
	rise := s.replicaLoad[e] / (n - 1)
	peak := 0.0
	for _, h := range s.holders[e] {
		if int(h) != q && int(h) != busiest {
			peak = max(peak, s.rankLoad[h]+rise)
		}
	}
	return peak
}

// considerReplacements considers another expert in place of a redundant replica on the most loaded rank.
func (s *searcher) considerReplacements(busiest int, consider func(change, int)) {
	for i, a := range s.expertsOn(busiest) {
		if s.replicaCount(a) < 2 {
			continue
		}
		others := s.peakWithoutReplica(a, busiest)
		for x := range int32(s.experts) {
			if s.holds(busiest, x) {
				continue
			}
			n := float64(s.replicaCount(x))
			peak := max(others, s.rankLoad[busiest]-s.replicaLoad[a]+s.replicaLoad[x]*n/(n+1))
			consider(change{slotA: busiest*s.slotsPerRank + i, slotB: -1, in: x, peak: peak}, 1)
		}
	}
}
