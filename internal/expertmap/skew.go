package expertmap

import "github.com/camphorbank/camphorbank/internal/port"

// Skew returns the step time under the map relative to that of a perfectly even distribution: the sum over the layers
// of the most loaded rank's load, divided by the sum of the mean loads. Without load it is 1.
func Skew(s Shape, m port.ExpertMap, loads [][]float64) float64 {
	maxLoad, mean := 0.0, 0.0
	for l := range m.Slots {
		y := newLayer(s, loads[l], m.Slots[l])
		maxLoad += y.rankLoad[y.mostLoadedRank()]
		mean += y.meanRankLoad()
	}
	return ratio(maxLoad, mean)
}

// Bound returns a lower bound of Skew over all maps. In each layer the most loaded rank has at least the mean load, and
// at least the load of one replica of the most popular expert when that has as many replicas as possible.
func Bound(s Shape, loads [][]float64) float64 {
	maxLoad, mean := 0.0, 0.0
	for _, load := range loads {
		maxLoad += layerBound(s, load)
		mean += sum(load) / float64(s.Ranks)
	}
	return ratio(maxLoad, mean)
}

func layerBound(s Shape, load []float64) float64 {
	heaviest := 0.0
	for _, w := range load {
		heaviest = max(heaviest, w)
	}
	return max(sum(load)/float64(s.Ranks), heaviest/float64(s.MaxReplicas()))
}

func sum(load []float64) float64 {
	total := 0.0
	for _, w := range load {
		total += w
	}
	return total
}

func ratio(maxLoad, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return maxLoad / mean
}
