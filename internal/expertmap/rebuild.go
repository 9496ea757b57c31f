package expertmap

import "sort"

// rebuild changes the number of replicas of each expert to the given number. Replicas stay where they are as far as
// these numbers allow. The missing ones are placed into the slots that become free, the heaviest first.
func (y *layer) rebuild(replicas []int) {
	free := y.dropRedundant(replicas)
	for _, e := range y.byReplicaLoad(replicas) {
		for y.replicaCount(e) < replicas[e] {
			at := y.leastLoadedSlot(free, e)
			if at < 0 {
				break
			}
			y.slotExpert[free[at]] = e
			y.add(free[at]/y.slotsPerRank, e)
			free = append(free[:at], free[at+1:]...)
		}
	}
	y.fillFreeSlots(free)
	y.sumRankLoads()
}

// dropRedundant removes surplus replicas, each from the most loaded holder, and returns the slots that become free.
func (y *layer) dropRedundant(replicas []int) []int {
	var free []int
	for e := range int32(y.experts) {
		for y.replicaCount(e) > replicas[e] {
			busiest := int(y.holders[e][0])
			for _, q := range y.holders[e] {
				if y.rankLoad[q] > y.rankLoad[busiest] {
					busiest = int(q)
				}
			}
			for i, x := range y.expertsOn(busiest) {
				if x == e {
					free = append(free, busiest*y.slotsPerRank+i)
				}
			}
			y.drop(busiest, e)
		}
	}
	return free
}

// byReplicaLoad returns the experts with the heaviest replicas first.
func (y *layer) byReplicaLoad(replicas []int) []int32 {
	order := make([]int32, y.experts)
	for e := range order {
		order[e] = int32(e)
	}
	share := func(e int32) float64 { return y.expertLoad[e] / float64(replicas[e]) }
	sort.SliceStable(order, func(i, j int) bool { return share(order[i]) > share(order[j]) })
	return order
}

// leastLoadedSlot returns the index of the free slot on the least loaded rank that does not hold e, or -1.
func (y *layer) leastLoadedSlot(free []int, e int32) int {
	best := -1
	for i, slot := range free {
		r := slot / y.slotsPerRank
		if !y.holds(r, e) && (best < 0 || y.rankLoad[r] < y.rankLoad[free[best]/y.slotsPerRank]) {
			best = i
		}
	}
	return best
}

// fillFreeSlots fills the slots into which no missing replica fits with experts that the ranks do not hold.
func (y *layer) fillFreeSlots(free []int) {
	for _, slot := range free {
		r := slot / y.slotsPerRank
		for e := range int32(y.experts) {
			if !y.holds(r, e) {
				y.slotExpert[slot] = e
				y.add(r, e)
				break
			}
		}
	}
}
