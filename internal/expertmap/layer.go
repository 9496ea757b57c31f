package expertmap

// layer is the placement of one layer while it is being planned. Slots are numbered rank*slotsPerRank+index.
type layer struct {
	ranks, slotsPerRank, experts int

	expertLoad  []float64 // per expert
	replicaLoad []float64 // per expert: load of one replica
	slotExpert  []int32   // per slot: expert that it holds
	holders     [][]int32 // per expert: ranks that hold it
	held        []bool    // whether a rank holds an expert, at rank*experts+expert
	rankLoad    []float64 // per rank

	heldInitially []bool // held before the first change
	newReplicas   int    // replicas on ranks that did not hold the expert before the first change
}

func newLayer(s Shape, load []float64, ranks [][]int) *layer {
	y := &layer{ranks: s.Ranks, slotsPerRank: s.SlotsPerRank, experts: s.Experts, expertLoad: load}
	y.replicaLoad = make([]float64, s.Experts)
	y.slotExpert = make([]int32, s.Ranks*s.SlotsPerRank)
	y.holders = make([][]int32, s.Experts)
	y.held = make([]bool, s.Ranks*s.Experts)
	y.rankLoad = make([]float64, s.Ranks)
	for r, experts := range ranks {
		for i, e := range experts {
			y.slotExpert[r*y.slotsPerRank+i] = int32(e)
			y.holders[e] = append(y.holders[e], int32(r))
			y.held[r*y.experts+e] = true
		}
	}
	for e := range y.replicaLoad {
		y.replicaLoad[e] = load[e] / float64(max(1, len(y.holders[e])))
	}
	y.sumRankLoads()
	y.heldInitially = append([]bool(nil), y.held...)
	return y
}

// sumRankLoads recomputes the load of every rank, which also removes the rounding errors of many changes.
func (y *layer) sumRankLoads() {
	for r := range y.rankLoad {
		y.rankLoad[r] = 0
		for _, e := range y.expertsOn(r) {
			y.rankLoad[r] += y.replicaLoad[e]
		}
	}
}

func (y *layer) expertsOn(r int) []int32 {
	return y.slotExpert[r*y.slotsPerRank : (r+1)*y.slotsPerRank]
}

func (y *layer) holds(r int, e int32) bool { return y.held[r*y.experts+int(e)] }

func (y *layer) replicaCount(e int32) int { return len(y.holders[e]) }

func (y *layer) meanRankLoad() float64 { return sum(y.expertLoad) / float64(y.ranks) }

func (y *layer) mostLoadedRank() int {
	busiest := 0
	for r, s := range y.rankLoad {
		if s > y.rankLoad[busiest] {
			busiest = r
		}
	}
	return busiest
}

// replace puts the expert in into a slot, in place of the expert that is there.
func (y *layer) replace(slot int, in int32) {
	r := slot / y.slotsPerRank
	out := y.slotExpert[slot]
	y.drop(r, out)
	y.slotExpert[slot] = in
	y.add(r, in)
}

func (y *layer) drop(r int, e int32) {
	h := y.holders[e]
	for i, q := range h {
		if int(q) == r {
			h[i] = h[len(h)-1]
			y.holders[e] = h[:len(h)-1]
			break
		}
	}
	at := r*y.experts + int(e)
	y.held[at] = false
	if !y.heldInitially[at] {
		y.newReplicas--
	}
	y.rankLoad[r] -= y.replicaLoad[e]
	y.updateReplicaLoad(e)
}

func (y *layer) add(r int, e int32) {
	y.holders[e] = append(y.holders[e], int32(r))
	at := r*y.experts + int(e)
	y.held[at] = true
	if !y.heldInitially[at] {
		y.newReplicas++
	}
	y.rankLoad[r] += y.replicaLoad[e]
	y.updateReplicaLoad(e)
}

// updateReplicaLoad divides the expert's load evenly over its present holders.
func (y *layer) updateReplicaLoad(e int32) {
	share := y.expertLoad[e] / float64(max(1, len(y.holders[e])))
	diff := share - y.replicaLoad[e]
	for _, q := range y.holders[e] {
		y.rankLoad[q] += diff
	}
	y.replicaLoad[e] = share
}

// swap exchanges the experts of two slots on different ranks.
func (y *layer) swap(a, b int) {
	ea, eb := y.slotExpert[a], y.slotExpert[b]
	y.replace(a, eb)
	y.replace(b, ea)
}

// placement returns the experts of each rank. An expert that stays on its rank keeps its position.
func (y *layer) placement() [][]int {
	out := make([][]int, y.ranks)
	flat := make([]int, len(y.slotExpert))
	for i, e := range y.slotExpert {
		flat[i] = int(e)
	}
	for r := range out {
		out[r] = flat[r*y.slotsPerRank : (r+1)*y.slotsPerRank : (r+1)*y.slotsPerRank]
	}
	return out
}
