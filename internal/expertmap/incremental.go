package expertmap

import (
	"math"
	"slices"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Increment describes one small change of a map. Loading weights takes most of the time of a change, and all ranks load
// at the same time, so the change is bounded by what each rank loads.
type Increment struct {
	Shape       Shape
	Loads       [][]float64 // of each layer and expert; layers sum up to the same total
	Current     port.ExpertMap
	Pace        []float64 // of each rank, above 1 for one that takes longer for the same work; nil if all are alike
	NewPerRank  int       // experts that one rank may load, over all layers
	NewPerLayer int       // experts that one rank may load in one layer
	MinGain     float64   // least relative gain of the sum over the layers for which a rank loads one expert
}

// IncrementResult is the map after an increment.
type IncrementResult struct {
	Map    port.ExpertMap
	Loads  int     // experts that are loaded, over all ranks
	Most   int     // experts that the rank loads that loads most
	Before float64 // mean over the layers of the most loaded rank's work, times its pace, against the mean
	After  float64
}

const (
	// norm approximates the most loaded rank by a sum of powers, so that a change which lowers one of several equally
	// loaded ranks counts as progress.
	norm = 16
	// hotExperts is the number of experts of the most loaded rank that are considered.
	hotExperts = 5
	// coldExperts is the number of experts of a full rank that are considered for removal.
	coldExperts = 2
)

// Make searches greedily for the changes that lower the work of the most loaded ranks most.
func (in Increment) Make() IncrementResult {
	s := &incrementSearch{in: in, left: make([]int, in.Shape.Ranks)}
	for r := range s.left {
		s.left[r] = in.NewPerRank
	}
	for l := range in.Shape.Layers {
		s.layers = append(s.layers, newLayerState(in.Shape, in.Current.Slots[l], in.Loads[l], in.Pace))
	}
	out := IncrementResult{Before: s.imbalance()}
	s.run()
	out.After = s.imbalance()
	for r := range s.left {
		used := in.NewPerRank - s.left[r]
		out.Loads += used
		out.Most = max(out.Most, used)
	}
	for _, l := range s.layers {
		out.Map.Slots = append(out.Map.Slots, l.experts)
	}
	return out
}

// Imbalance returns the work of the most loaded rank, times its pace, against the mean work, averaged over the layers. pace
// may be nil.
func Imbalance(shape Shape, m port.ExpertMap, loads [][]float64, pace []float64) float64 {
	s := &incrementSearch{in: Increment{Shape: shape}}
	for l := range shape.Layers {
		s.layers = append(s.layers, newLayerState(shape, m.Slots[l], loads[l], pace))
	}
	return s.imbalance()
}

type incrementSearch struct {
	in     Increment
	left   []int // experts that each rank may still load
	layers []*layerState
}

func (s *incrementSearch) imbalance() float64 {
	sum := 0.0
	for _, l := range s.layers {
		if l.total > 0 {
			sum += slices.Max(l.work) * float64(s.in.Shape.Ranks) / l.total
		} else {
			sum++
		}
	}
	return sum / float64(max(1, len(s.layers)))
}

func (s *incrementSearch) run() {
	best := make([]replicaChange, len(s.layers))
	for l := range s.layers {
		best[l] = s.search(l)
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
		best[pick] = s.search(pick)
		if c.add < 0 || s.left[c.rank] > 0 {
			continue
		}
		for l := range best {
			if best[l].add >= 0 && best[l].rank == c.rank {
				best[l] = s.search(l)
			}
		}
	}
}

// replicaChange adds an expert to a rank, drops one from it, or both. It may drop the added expert from the rank that it
// relieves.
type replicaChange struct {
	gain float64
	rank int
	add  int // expert; -1 for none
	drop int // expert dropped from the rank; -1 for none
	from int // rank that the added expert is dropped from; -1 for none
}

// search returns the best change of a layer, with a gain of 0 if none is worth it.
func (s *incrementSearch) search(l int) replicaChange {
	layer := s.layers[l]
	none := replicaChange{add: -1, drop: -1, from: -1}
	if layer.total <= 0 {
		return none
	}
	hot := layer.hottest()
	sum := layer.powerSum()
	start := root(sum)
	best := none
	consider := func(c replicaChange, price float64) {
		c.gain = (start-root(sum+layer.powerDelta(c)))*float64(s.in.Shape.Ranks)/layer.total - price
		if c.gain > best.gain {
			best = c
		}
	}
	experts := layer.byWork(hot)
	experts = experts[:min(hotExperts, len(experts))]
	for _, e := range experts {
		if layer.replicas[e] > 1 {
			consider(replicaChange{rank: hot, add: -1, drop: e, from: -1}, minFreeGain)
		}
	}
	for r := range s.left {
		if r == hot || s.left[r] == 0 || layer.loaded[r] >= s.in.NewPerLayer {
			continue
		}
		room := layer.room(r, s.in.Shape.SlotsPerRank)
		for _, e := range experts {
			if layer.holds(r, e) {
				continue
			}
			for _, drop := range room {
				consider(replicaChange{rank: r, add: e, drop: drop, from: -1}, s.in.MinGain)
				consider(replicaChange{rank: r, add: e, drop: drop, from: hot}, s.in.MinGain)
			}
		}
	}
	return best
}

// minFreeGain keeps changes that load nothing from being made for gains within the noise of the estimate.
const minFreeGain = 0.002

func (s *incrementSearch) apply(l int, c replicaChange) {
	layer := s.layers[l]
	layer.apply(c)
	if c.add >= 0 {
		s.left[c.rank]--
		layer.loaded[c.rank]++
	}
}

// layerState is one layer of a map with its work.
type layerState struct {
	loads    []float64
	total    float64
	experts  [][]int   // by rank
	pace     []float64 // by rank; nil if all are alike
	holders  [][]int   // ranks, by expert
	replicas []int     // by expert
	work     []float64 // by rank, times the pace
	loaded   []int     // experts newly loaded, by rank
	original [][]int
	by       []float64 // scratch of powerDelta, by rank
	changed  []int     // ranks in by that are not 0
}

func newLayerState(shape Shape, ranks [][]int, loads, pace []float64) *layerState {
	l := &layerState{loads: loads, pace: pace, replicas: make([]int, shape.Experts), work: make([]float64, shape.Ranks),
		loaded: make([]int, shape.Ranks), original: ranks, by: make([]float64, shape.Ranks),
		holders: make([][]int, shape.Experts)}
	for _, w := range loads {
		l.total += w
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
			l.work[r] += l.time(r, loads[e]/float64(l.replicas[e]))
		}
	}
	return l
}

// time returns what work costs on a rank.
func (l *layerState) time(rank int, work float64) float64 {
	if l.pace == nil {
		return work
	}
	return work * max(1, l.pace[rank])
}

func (l *layerState) hottest() int {
	hot := 0
	for r, w := range l.work {
		if w > l.work[hot] {
			hot = r
		}
	}
	return hot
}

func (l *layerState) holds(r, e int) bool { return slices.Contains(l.experts[r], e) }

// byWork returns the experts of a rank, those with most work on it first.
func (l *layerState) byWork(r int) []int {
	out := slices.Clone(l.experts[r])
	slices.SortFunc(out, func(a, b int) int {
		d := l.loads[b]/float64(l.replicas[b]) - l.loads[a]/float64(l.replicas[a])
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

// room returns the experts that a rank could drop for a new one: -1 for a free place, or experts with other replicas
// and little work.
func (l *layerState) room(r, places int) []int {
	if len(l.experts[r]) < places {
		return []int{-1}
	}
	order := l.byWork(r)
	out := make([]int, 0, coldExperts)
	for i := len(order) - 1; i >= 0 && len(out) < coldExperts; i-- {
		if e := order[i]; l.replicas[e] > 1 && slices.Contains(l.original[r], e) {
			out = append(out, e)
		}
	}
	return out
}

// powerSum is the sum of powers that approximates the most loaded rank.
func (l *layerState) powerSum() float64 {
	sum := 0.0
	for _, w := range l.work {
		sum += power(w)
	}
	return sum
}

func power(w float64) float64 {
	w *= w
	w *= w
	w *= w
	return w * w
}

// root turns a sum of powers into work. Rounding may bring a sum that is nearly nothing below 0.
func root(sum float64) float64 { return math.Pow(max(0, sum), 1.0/norm) }

// powerDelta returns what a change adds to the sum of powers, without making the change. Only the ranks that hold one of
// its experts are looked at, since a change is tried for each pair of ranks.
func (l *layerState) powerDelta(c replicaChange) float64 {
	l.changed = l.changed[:0]
	l.shift(c, func(rank int, by float64) {
		if l.by[rank] == 0 {
			l.changed = append(l.changed, rank)
		}
		l.by[rank] += l.time(rank, by)
	})
	delta := 0.0
	for _, rank := range l.changed {
		delta += power(l.work[rank]+l.by[rank]) - power(l.work[rank])
		l.by[rank] = 0
	}
	return delta
}

// shift tells by how much a change changes the work of each rank. A rank may be told twice.
func (l *layerState) shift(c replicaChange, tell func(rank int, by float64)) {
	if c.drop >= 0 {
		before, after := l.loads[c.drop]/float64(l.replicas[c.drop]), l.loads[c.drop]/float64(l.replicas[c.drop]-1)
		for _, r := range l.holders[c.drop] {
			if r == c.rank {
				tell(r, -before)
			} else {
				tell(r, after-before)
			}
		}
	}
	if c.add < 0 {
		return
	}
	n := l.replicas[c.add] + 1
	if c.from >= 0 {
		n--
	}
	before, after := l.loads[c.add]/float64(l.replicas[c.add]), l.loads[c.add]/float64(n)
	tell(c.rank, after)
	for _, r := range l.holders[c.add] {
		if r == c.from {
			tell(r, -before)
		} else {
			tell(r, after-before)
		}
	}
}

func (l *layerState) apply(c replicaChange) {
	l.shift(c, func(rank int, by float64) { l.work[rank] += l.time(rank, by) })
	if c.drop >= 0 {
		l.remove(c.rank, c.drop)
	}
	if c.add < 0 {
		return
	}
	l.experts[c.rank] = append(l.experts[c.rank], c.add)
	l.holders[c.add] = append(l.holders[c.add], c.rank)
	l.replicas[c.add]++
	if c.from >= 0 {
		l.remove(c.from, c.add)
	}
}

func (l *layerState) remove(r, e int) {
	i := slices.Index(l.experts[r], e)
	l.experts[r] = slices.Delete(l.experts[r], i, i+1)
	h := slices.Index(l.holders[e], r)
	l.holders[e] = slices.Delete(l.holders[e], h, h+1)
	l.replicas[e]--
}
