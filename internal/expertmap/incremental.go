package expertmap

import (
	"math"
	"slices"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Increment describes one small change of a map that is to be planned. Loading weights takes most of the time of a
// change, and all ranks load at the same time, so the change is bounded by the number of experts that each rank loads.
type Increment struct {
	Shape            Shape
	Loads            [][]float64 // by layer and expert; every layer has the same total
	Current          port.ExpertMap
	Pace             []float64 // by rank: relative time for the same work, above 1 for slow ranks; nil if it is 1 for all ranks
	MaxLoadsPerRank  int       // experts that one rank may load, over all layers
	MaxLoadsPerLayer int       // experts that one rank may load in one layer
	MinGain          float64   // least reduction of a layer's maximum work, relative to the mean, per expert loaded
}

// IncrementResult is the map after an increment.
type IncrementResult struct {
	Map        port.ExpertMap
	Loaded     int     // experts that are loaded, over all ranks
	MaxPerRank int     // largest number of experts that one rank loads
	Before     float64 // imbalance of the current map, as returned by Imbalance
	After      float64 // imbalance of the new map
}

const (
	// normExponent is the exponent of the norm that approximates the work of the most loaded rank: a sum of powers, in
	// which a change that relieves one of several equally loaded ranks counts as progress.
	normExponent = 16
	// heaviestExperts is the number of experts of the most loaded rank that are considered for a change, those with
	// most work first.
	heaviestExperts = 5
	// lightestExperts is the number of experts of a rank without free slots that are considered for removal, those with
	// least work first.
	lightestExperts = 2
)

// Make searches greedily for the changes that most reduce the work of the most loaded ranks.
func (in Increment) Make() IncrementResult {
	s := &incrementSearch{in: in, loadBudget: make([]int, in.Shape.Ranks)}
	for r := range s.loadBudget {
		s.loadBudget[r] = in.MaxLoadsPerRank
	}
	for l := range in.Shape.Layers {
		s.layers = append(s.layers, newLayerState(in.Shape, in.Current.Slots[l], in.Loads[l], in.Pace))
	}
	out := IncrementResult{Before: s.imbalance()}
	s.run()
	out.After = s.imbalance()
	if out.After > out.Before { // the search follows an approximation of the imbalance
		return IncrementResult{Map: in.Current, Before: out.Before, After: out.Before}
	}
	for r := range in.Shape.Ranks {
		loaded := s.loadedBy(r)
		out.Loaded += loaded
		out.MaxPerRank = max(out.MaxPerRank, loaded)
	}
	for _, l := range s.layers {
		out.Map.Slots = append(out.Map.Slots, l.experts)
	}
	return out
}

// Imbalance returns the most loaded rank's work, times its pace, relative to the mean work, averaged over the layers.
// pace may be nil.
func Imbalance(shape Shape, m port.ExpertMap, loads [][]float64, pace []float64) float64 {
	s := &incrementSearch{in: Increment{Shape: shape}}
	for l := range shape.Layers {
		s.layers = append(s.layers, newLayerState(shape, m.Slots[l], loads[l], pace))
	}
	return s.imbalance()
}

// loadedBy returns the number of experts that a rank loads for the changes. One that was added and dropped again is not loaded.
func (s *incrementSearch) loadedBy(rank int) int {
	n := 0
	for _, l := range s.layers {
		for _, e := range l.experts[rank] {
			if !slices.Contains(l.initial[rank], e) {
				n++
			}
		}
	}
	return n
}

type incrementSearch struct {
	in         Increment
	loadBudget []int // number of experts that each rank may still load
	layers     []*layerState
}

func (s *incrementSearch) imbalance() float64 {
	sum := 0.0
	for _, l := range s.layers {
		if l.totalLoad > 0 {
			sum += slices.Max(l.work) * float64(s.in.Shape.Ranks) / l.totalLoad
		} else {
			sum++
		}
	}
	return sum / float64(max(1, len(s.layers)))
}

func (s *incrementSearch) run() {
	best := make([]replicaChange, len(s.layers))
	for l := range s.layers {
		best[l] = s.bestChange(l)
	}
	for {
		pick := -1
		for l := range best {
			if best[l].gain > 0 && (pick < 0 || best[l].gain > best[pick].gain) {
				pick = l
			}
		}
		if pick < 0 {
			return
		}
		c := best[pick]
		s.apply(pick, c)
		best[pick] = s.bestChange(pick)
		if c.add < 0 || s.loadBudget[c.rank] > 0 {
			continue
		}
		for l := range best {
			if best[l].add >= 0 && best[l].rank == c.rank {
				best[l] = s.bestChange(l)
			}
		}
	}
}

// replicaChange adds an expert to a rank, drops one from it, or both. It may also remove the added expert from the most
// loaded rank, which moves it.
type replicaChange struct {
	gain   float64
	rank   int
	add    int // expert; -1 for none
	drop   int // expert dropped from the rank; -1 for none
	source int // rank that the added expert is removed from; -1 for none
}

// bestChange returns the best change of a layer. Its gain is 0 if no change is worth its price.
func (s *incrementSearch) bestChange(l int) replicaChange {
	layer := s.layers[l]
	none := replicaChange{add: -1, drop: -1, source: -1}
	if layer.totalLoad <= 0 {
		return none
	}
	busiest := layer.mostLoadedRank()
	sum := layer.powerSum()
	start := normRoot(sum)
	best := none
	consider := func(c replicaChange, price float64) {
		c.gain = (start-normRoot(sum+layer.powerDelta(c)))*float64(s.in.Shape.Ranks)/layer.totalLoad - price
		if c.gain > best.gain {
			best = c
		}
	}
	experts := layer.byWork(busiest)
	experts = experts[:min(heaviestExperts, len(experts))]
	for _, e := range experts {
		if layer.replicas[e] > 1 {
			consider(replicaChange{rank: busiest, add: -1, drop: e, source: -1}, minDropGain)
		}
	}
	for r := range s.loadBudget {
		if r == busiest || s.loadBudget[r] == 0 || layer.newExperts[r] >= s.in.MaxLoadsPerLayer {
			continue
		}
		drops := layer.droppable(r, s.in.Shape.SlotsPerRank)
		for _, e := range experts {
			if layer.holds(r, e) {
				continue
			}
			for _, drop := range drops {
				consider(replicaChange{rank: r, add: e, drop: drop, source: -1}, s.in.MinGain)
				consider(replicaChange{rank: r, add: e, drop: drop, source: busiest}, s.in.MinGain)
			}
		}
	}
	return best
}

// minDropGain is the gain that a change without loads must exceed. Smaller gains are within the noise of the estimate.
const minDropGain = 0.002

func (s *incrementSearch) apply(l int, c replicaChange) {
	layer := s.layers[l]
	layer.apply(c)
	if c.add >= 0 {
		s.loadBudget[c.rank]--
		layer.newExperts[c.rank]++
	}
}

// layerState is one layer of a map and the work of its ranks.
type layerState struct {
	expertLoad   []float64
	totalLoad    float64
	experts      [][]int   // by rank
	pace         []float64 // by rank; nil if it is 1 for all ranks
	holders      [][]int   // by expert: ranks that hold it
	replicas     []int     // by expert
	work         []float64 // by rank, times the pace
	newExperts   []int     // experts newly loaded, by rank
	initial      [][]int   // by rank: experts before the first change
	workDelta    []float64 // by rank: scratch space of powerDelta
	changedRanks []int     // ranks whose workDelta is not 0
}

func newLayerState(shape Shape, ranks [][]int, loads, pace []float64) *layerState {
	l := &layerState{expertLoad: loads, pace: pace, replicas: make([]int, shape.Experts), work: make([]float64, shape.Ranks),
		newExperts: make([]int, shape.Ranks), initial: ranks, workDelta: make([]float64, shape.Ranks),
		holders: make([][]int, shape.Experts)}
	for _, w := range loads {
		l.totalLoad += w
	}
	for r, experts := range ranks {
		l.experts = append(l.experts, slices.Clone(experts))
		for _, e := range experts {
			l.replicas[e]++
			l.holders[e] = append(l.holders[e], r)
		}
	}
	for r, experts := range l.experts {
		for _, e := range experts {
			l.work[r] += l.scaledWork(r, loads[e]/float64(l.replicas[e]))
		}
	}
	return l
}

// scaledWork returns the work times the rank's pace.
func (l *layerState) scaledWork(rank int, work float64) float64 {
	if l.pace == nil {
		return work
	}
	return work * max(1, l.pace[rank])
}

func (l *layerState) mostLoadedRank() int {
	busiest := 0
	for r, w := range l.work {
		if w > l.work[busiest] {
			busiest = r
		}
	}
	return busiest
}

func (l *layerState) holds(r, e int) bool { return slices.Contains(l.experts[r], e) }

// byWork returns the experts of a rank, those with most work on it first.
func (l *layerState) byWork(r int) []int {
	out := slices.Clone(l.experts[r])
	slices.SortFunc(out, func(a, b int) int {
		d := l.expertLoad[b]/float64(l.replicas[b]) - l.expertLoad[a]/float64(l.replicas[a])
		switch {
		case d < 0:
			return -1
		case d > 0:
			return 1
		}
		return a - b
	})
	return out
}

// droppable returns the experts that a rank could drop for a new one: only -1 if it has a free slot, otherwise experts
// with replicas on other ranks and little work. It leaves out the experts that the increment added.
func (l *layerState) droppable(r, slots int) []int {
	if len(l.experts[r]) < slots {
		return []int{-1}
	}
	order := l.byWork(r)
	out := make([]int, 0, lightestExperts)
	for i := len(order) - 1; i >= 0 && len(out) < lightestExperts; i-- {
		if e := order[i]; l.replicas[e] > 1 && slices.Contains(l.initial[r], e) {
			out = append(out, e)
		}
	}
	return out
}

// powerSum returns the sum of powers whose root approximates the work of the most loaded rank.
func (l *layerState) powerSum() float64 {
	sum := 0.0
	for _, w := range l.work {
		sum += normPower(w)
	}
	return sum
}

// normPower returns w to the power of normExponent.
func normPower(w float64) float64 {
	w *= w
	w *= w
	w *= w
	return w * w
}

// normRoot converts a sum of powers to work. Rounding errors may make a sum near 0 negative.
func normRoot(sum float64) float64 { return math.Pow(max(0, sum), 1.0/normExponent) }

// powerDelta returns what a change adds to the sum of powers, without making the change. It computes only the ranks
// that hold one of the experts concerned, since a change is tried for each pair of ranks.
func (l *layerState) powerDelta(c replicaChange) float64 {
	l.changedRanks = l.changedRanks[:0]
	l.eachWorkDelta(c, func(rank int, by float64) {
		if l.workDelta[rank] == 0 {
			l.changedRanks = append(l.changedRanks, rank)
		}
		l.workDelta[rank] += l.scaledWork(rank, by)
	})
	delta := 0.0
	for _, rank := range l.changedRanks {
		delta += normPower(l.work[rank]+l.workDelta[rank]) - normPower(l.work[rank])
		l.workDelta[rank] = 0
	}
	return delta
}

// eachWorkDelta reports the difference that a change makes to the work of each rank. It may report a rank twice.
func (l *layerState) eachWorkDelta(c replicaChange, report func(rank int, by float64)) {
	if c.drop >= 0 {
		before, after := l.expertLoad[c.drop]/float64(l.replicas[c.drop]), l.expertLoad[c.drop]/float64(l.replicas[c.drop]-1)
		for _, r := range l.holders[c.drop] {
			if r == c.rank {
				report(r, -before)
			} else {
				report(r, after-before)
			}
		}
	}
	if c.add < 0 {
		return
	}
	n := l.replicas[c.add] + 1
	if c.source >= 0 {
		n--
	}
	before, after := l.expertLoad[c.add]/float64(l.replicas[c.add]), l.expertLoad[c.add]/float64(n)
	report(c.rank, after)
	for _, r := range l.holders[c.add] {
		if r == c.source {
			report(r, -before)
		} else {
			report(r, after-before)
		}
	}
}

func (l *layerState) apply(c replicaChange) {
	l.eachWorkDelta(c, func(rank int, by float64) { l.work[rank] += l.scaledWork(rank, by) })
	if c.drop >= 0 {
		l.remove(c.rank, c.drop)
	}
	if c.add < 0 {
		return
	}
	l.experts[c.rank] = append(l.experts[c.rank], c.add)
	l.holders[c.add] = append(l.holders[c.add], c.rank)
	l.replicas[c.add]++
	if c.source >= 0 {
		l.remove(c.source, c.add)
	}
}

func (l *layerState) remove(r, e int) {
	i := slices.Index(l.experts[r], e)
	l.experts[r] = slices.Delete(l.experts[r], i, i+1)
	h := slices.Index(l.holders[e], r)
	l.holders[e] = slices.Delete(l.holders[e], h, h+1)
	l.replicas[e]--
}
