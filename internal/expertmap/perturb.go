package expertmap

import (
	"math/rand/v2"
	"slices"
)

const (
	// maxPerturbedSlots bounds the attempts to leave a local optimum of one layer: their number times the slots of the
	// layer. It limits the planning time for groups of up to 128 ranks.
	maxPerturbedSlots = 4096
	maxPerturbations  = 64
	// perturbAboveRatio is the ratio of load to goal above which a search tries to leave a local optimum. Below it, the
	// difference to the goal is within the noise of the reports.
	perturbAboveRatio = 1.02
	// perturbationSeed is fixed, so that plans depend on their input only.
	perturbationSeed = 1
)

// escapeLocalOptimum tries to leave a local optimum: it makes a random change and searches again, and keeps the result
// if the load of the most loaded rank becomes lower.
func (s *searcher) escapeLocalOptimum(c *searchTrace) {
	rng := rand.New(rand.NewPCG(perturbationSeed, uint64(len(s.slotExpert))))
	for range min(maxPerturbations, maxPerturbedSlots/len(s.slotExpert)+1) {
		if c.finalLoad() <= s.goal*perturbAboveRatio {
			return
		}
		saved := s.layer.clone()
		perturbation, ok := s.randomChange(rng)
		if !ok {
			return
		}
		s.apply(perturbation)
		first := searchState{maxLoad: s.rankLoad[s.mostLoadedRank()], newReplicas: s.newReplicas}
		changes, states := s.run(len(s.slotExpert))
		if len(states) == 0 || states[len(states)-1].maxLoad >= c.finalLoad()*(1-minRelativeGain) {
			s.layer = saved
			continue
		}
		c.changes = append(append(c.changes, perturbation), changes...)
		c.states = append(append(c.states, first), states...)
	}
}

// randomChange draws a change at random: an exchange between the most loaded rank and another one, or another expert in
// place of a redundant replica on any rank. It returns false if it draws no possible change.
func (s *searcher) randomChange(rng *rand.Rand) (change, bool) {
	const maxDraws = 64
	busiest := s.mostLoadedRank()
	for range maxDraws {
		a, b := busiest*s.slotsPerRank+rng.IntN(s.slotsPerRank), rng.IntN(len(s.slotExpert))
		ea, eb := s.slotExpert[a], s.slotExpert[b]
		if rng.IntN(2) == 0 {
			if b/s.slotsPerRank != busiest && !s.holds(busiest, eb) && !s.holds(b/s.slotsPerRank, ea) {
				return change{slotA: a, slotB: b}, true
			}
			continue
		}
		in := int32(rng.IntN(s.experts))
		if s.replicaCount(eb) > 1 && !s.holds(b/s.slotsPerRank, in) {
			return change{slotA: b, slotB: -1, in: in}, true
		}
	}
	return change{}, false
}

// clone copies the placement. The copy shares expertLoad and heldInitially, which do not change.
func (y *layer) clone() *layer {
	c := *y
	c.replicaLoad, c.slotExpert, c.held, c.rankLoad =
		slices.Clone(y.replicaLoad), slices.Clone(y.slotExpert), slices.Clone(y.held), slices.Clone(y.rankLoad)
	c.holders = make([][]int32, len(y.holders))
	for e, h := range y.holders {
		c.holders[e] = slices.Clone(h)
	}
	return &c
}
