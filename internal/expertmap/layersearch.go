package expertmap

// rebuildAboveRatio is the ratio of load to goal above which the first search of a layer is followed by a second one,
// from a rebuilt placement.
const rebuildAboveRatio = 1.02

// layerSearch holds the results of the searches in one layer.
type layerSearch struct {
	initialLoad float64     // load of the most loaded rank before the first change
	local       searchTrace // from the current placement
	rebuilt     searchTrace // from the rebuilt placement; empty if that search was not made
}

// searchTrace records the changes of one search and the states that they lead to.
type searchTrace struct {
	from    [][]int // placement before the first change
	changes []change
	states  []searchState // before the first change, and after each
}

// finalLoad returns the load of the most loaded rank after the last change, which is the lowest of the search.
func (c searchTrace) finalLoad() float64 { return c.states[len(c.states)-1].maxLoad }

// bestPrefix returns how many of the changes to keep so that the load saved, less the price of the experts loaded, is
// greatest.
func (c searchTrace) bestPrefix(start, price float64) (changes int, value float64) {
	for i, s := range c.states {
		if v := start - s.maxLoad - price*float64(s.newReplicas); i == 0 || v > value {
			changes, value = i, v
		}
	}
	return changes, value
}

func (p layerSearch) minLoad() float64 {
	if p.rebuilt.states == nil {
		return p.local.finalLoad()
	}
	return min(p.local.finalLoad(), p.rebuilt.finalLoad())
}

// searchLayer looks for better placements of the layer. The second search finds placements that differ much from the
// current one. The first search cannot reach them, and they are needed when the load has shifted far since the map was
// made.
func (in Input) searchLayer(l int) layerSearch {
	y := newLayer(in.Shape, in.Loads[l], in.Current.Slots[l])
	goal := layerBound(in.Shape, in.Loads[l]) * goalRatio
	p := layerSearch{initialLoad: y.rankLoad[y.mostLoadedRank()]}
	s := newSearcher(y, goal)
	p.local = s.explore()
	if p.local.finalLoad() <= goal*rebuildAboveRatio {
		s.escapeLocalOptimum(&p.local)
		return p
	}
	y = newLayer(in.Shape, in.Loads[l], in.Current.Slots[l])
	y.rebuild(replicaCounts(in.Shape, in.Loads[l]))
	rebuilt := newSearcher(y, goal)
	p.rebuilt = rebuilt.explore()
	if p.rebuilt.finalLoad() < p.local.finalLoad() {
		rebuilt.escapeLocalOptimum(&p.rebuilt)
	} else {
		s.escapeLocalOptimum(&p.local)
	}
	return p
}

// explore searches from the present placement and returns the changes made.
func (s *searcher) explore() searchTrace {
	c := searchTrace{from: s.placement()}
	first := searchState{maxLoad: s.rankLoad[s.mostLoadedRank()], newReplicas: s.newReplicas}
	changes, states := s.run(maxChangesPerSlot * len(s.slotExpert))
	c.changes, c.states = changes, append([]searchState{first}, states...)
	return c
}

// bestPlacement returns the placement of the layer that has the greatest value at the price of one loaded expert.
func (in Input) bestPlacement(l int, p layerSearch, price float64) [][]int {
	best := p.local
	changes, value := best.bestPrefix(p.initialLoad, price)
	if p.rebuilt.states != nil {
		if n, v := p.rebuilt.bestPrefix(p.initialLoad, price); v > value {
			best, changes = p.rebuilt, n
		}
	}
	y := newLayer(in.Shape, in.Loads[l], best.from)
	for _, c := range best.changes[:changes] {
		y.apply(c)
	}
	return y.placement()
}
