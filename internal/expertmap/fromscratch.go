package expertmap

import (
	"container/heap"
	"sort"

	"github.com/camphorbank/camphorbank/internal/port"
)

// RoundRobin returns the map that fills the slots with the experts in order, starting again after the last one, without
// regard to their load.
func RoundRobin(s Shape) port.ExpertMap {
	m := port.ExpertMap{Slots: make([][][]int, s.Layers)}
	for l := range m.Slots {
		m.Slots[l] = make([][]int, s.Ranks)
		for r := range m.Slots[l] {
			for i := range s.SlotsPerRank {
				m.Slots[l][r] = append(m.Slots[l][r], (r*s.SlotsPerRank+i)%s.Experts)
			}
		}
	}
	return m
}

// FromScratch plans a map from the loads alone. Each spare slot goes to the expert with the heaviest replicas, and the
// replicas are placed by the longest-processing-time rule: the heaviest first, each on the least loaded rank.
func FromScratch(s Shape, loads [][]float64) port.ExpertMap {
	m := port.ExpertMap{Slots: make([][][]int, s.Layers)}
	for l := range m.Slots {
		m.Slots[l] = placeLongestFirst(s, loads[l], replicaCounts(s, loads[l]))
	}
	return m
}

// replicaHeap is a heap of experts that is ordered by the load of one replica, heaviest first.
type replicaHeap struct {
	expert   []int
	load     []float64
	replicas []int
}

func (h *replicaHeap) replicaLoad(i int) float64 {
	e := h.expert[i]
	return h.load[e] / float64(h.replicas[e])
}
func (h *replicaHeap) Len() int           { return len(h.expert) }
func (h *replicaHeap) Less(i, j int) bool { return h.replicaLoad(i) > h.replicaLoad(j) }
func (h *replicaHeap) Swap(i, j int)      { h.expert[i], h.expert[j] = h.expert[j], h.expert[i] }
func (h *replicaHeap) Push(any)           {}
func (h *replicaHeap) Pop() any {
	last := h.expert[len(h.expert)-1]
	h.expert = h.expert[:len(h.expert)-1]
	return last
}

// replicaCounts returns the number of replicas that each expert gets for its load.
func replicaCounts(s Shape, load []float64) []int {
	h := &replicaHeap{load: load, replicas: make([]int, s.Experts)}
	for e := range s.Experts {
		h.expert = append(h.expert, e)
		h.replicas[e] = 1
	}
	heap.Init(h)
	for spare := s.spareSlots(); spare > 0; spare-- {
		for h.Len() > 0 && h.replicas[h.expert[0]] == s.Ranks {
			heap.Pop(h)
		}
		h.replicas[h.expert[0]]++
		heap.Fix(h, 0)
	}
	return h.replicas
}

// placeLongestFirst places the experts with the heaviest replicas first, each replica on the least loaded rank that has
// a free slot. It places all replicas of an expert together and, where possible, keeps enough ranks with free slots for
// the experts that follow, so that the replicas of one expert go to different ranks.
func placeLongestFirst(s Shape, load []float64, replicas []int) [][]int {
	order := make([]int, s.Experts)
	for e := range order {
		order[e] = e
	}
	share := func(e int) float64 { return load[e] / float64(replicas[e]) }
	sort.SliceStable(order, func(i, j int) bool { return share(order[i]) > share(order[j]) })
	p := &placer{shape: s, rankLoad: make([]float64, s.Ranks), placement: make([][]int, s.Ranks)}
	for i, e := range order {
		p.place(e, replicas[e], share(e), maxReplicas(order[i+1:], replicas))
	}
	p.fillFreeSlots(order)
	return p.placement
}

// fillFreeSlots fills the slots that are still free with the experts of the heaviest replicas that the rank does not
// hold. A slot stays free if every rank with a free slot already held the expert to place.
func (p *placer) fillFreeSlots(order []int) {
	for r := range p.placement {
		for _, e := range order {
			if p.freeSlots(r) == 0 {
				break
			}
			if !contains(p.placement[r], e) {
				p.placement[r] = append(p.placement[r], e)
			}
		}
	}
}

func maxReplicas(order, replicas []int) int {
	most := 0
	for _, e := range order {
		most = max(most, replicas[e])
	}
	return most
}

// placer builds the placement of one layer.
type placer struct {
	shape     Shape
	rankLoad  []float64
	placement [][]int
}

func (p *placer) freeSlots(r int) int { return p.shape.SlotsPerRank - len(p.placement[r]) }

// place puts n replicas of e on different ranks so that, where possible, at least reserve ranks keep a free slot.
func (p *placer) place(e, n int, share float64, reserve int) {
	var withRoom []int
	for r := range p.shape.Ranks {
		if p.freeSlots(r) > 0 {
			withRoom = append(withRoom, r)
		}
	}
	sort.SliceStable(withRoom, func(i, j int) bool { return p.rankLoad[withRoom[i]] < p.rankLoad[withRoom[j]] })
	mayFill := len(withRoom) - reserve // ranks that may give away their last free slot
	var chosen []int
	for _, r := range withRoom {
		if len(chosen) == n {
			break
		}
		if p.freeSlots(r) == 1 {
			if mayFill <= 0 {
				continue
			}
			mayFill--
		}
		chosen = append(chosen, r)
	}
	for _, r := range withRoom {
		if len(chosen) < n && !contains(chosen, r) {
			chosen = append(chosen, r)
		}
	}
	for _, r := range chosen {
		p.placement[r] = append(p.placement[r], e)
		p.rankLoad[r] += share
	}
}
