package rankgroup

import (
	"encoding/binary"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

// The links of the VMs beside engines carry only a few megabits per second. Counts are therefore encoded compactly, and
// so are maps (see MapUpdate).

const (
	// countLevels is the number of values that an encoded count can have. Counts are scaled to the largest count of
	// their layer at the rank and rounded at random, so that the sum over the ranks is correct on average.
	countLevels = 16
	// scaleBytes is the size of the scale, the count that one level stands for, which precedes the counts of each
	// layer.
	scaleBytes = 4
)

var errMalformedCounts = errors.New("counts are malformed")

// encodeGrowth encodes the growth of counts, layer by layer. It returns nil if the number of layers is unknown or if a
// count has decreased, which means that the engine has started to count from zero.
func encodeGrowth(now, before []int64, layers int) []byte {
	growth := make([]float64, len(now))
	for i := range now {
		if now[i] < before[i] {
			return nil
		}
		growth[i] = float64(now[i] - before[i])
	}
	return encodeCounts(growth, layers)
}

// encodeCounts encodes counts, layer by layer. It returns nil if there are none or the number of layers is unknown.
func encodeCounts(counts []float64, layers int) []byte {
	if layers <= 0 || len(counts) == 0 || len(counts)%layers != 0 {
		return nil
	}
	experts := len(counts) / layers
	out := make([]byte, 0, layers*(scaleBytes+(experts+1)/2))
	for row := range slices.Chunk(counts, experts) {
		out = appendLayer(out, row, slices.Max(row)/(countLevels-1))
	}
	return out
}

// appendLayer appends the scale of a layer and its counts, four bits each.
func appendLayer(out []byte, growth []float64, level float64) []byte {
	out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(level)))
	for e := 0; e < len(growth); e += 2 {
		b := quantize(growth[e], level) << 4
		if e+1 < len(growth) {
			b |= quantize(growth[e+1], level)
		}
		out = append(out, b)
	}
	return out
}

// quantize returns the level of a count, rounded up or down at random.
func quantize(n, level float64) byte {
	if level <= 0 {
		return 0
	}
	return byte(min(countLevels-1, math.Floor(n/level+rand.Float64())))
}

// decodeCounts decodes the growth of the counts of all layers.
func decodeCounts(data []byte, layers, experts int) ([]float64, error) {
	size := scaleBytes + (experts+1)/2
	if layers <= 0 || len(data) != layers*size {
		return nil, errMalformedCounts
	}
	out := make([]float64, 0, layers*experts)
	for l := range layers {
		row := data[l*size : (l+1)*size]
		level, err := decodeLevel(row)
		if err != nil {
			return nil, err
		}
		for e := range experts {
			b := row[scaleBytes+e/2]
			if e%2 == 0 {
				b >>= 4
			}
			out = append(out, level*float64(b&(countLevels-1)))
		}
	}
	return out, nil
}

// decodeLevel decodes the count that one level of a row stands for.
func decodeLevel(row []byte) (float64, error) {
	level := float64(math.Float32frombits(binary.BigEndian.Uint32(row)))
	if !(level >= 0) || math.IsInf(level, 1) {
		return 0, errMalformedCounts
	}
	return level, nil
}
