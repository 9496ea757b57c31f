package rankgroup

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
)

// The links of the VMs beside engines carry only a few megabits per second, and a coordinator communicates with all
// ranks at once. Counts and maps are therefore encoded compactly.

const (
	// countLevels is the number of values that an encoded count can have. Counts are scaled to the largest count of
	// their layer at the rank and rounded at random, so that the sum over the ranks is correct on average.
	countLevels = 16
	// scaleBytes is the size of the scale, the count that one level stands for, which precedes the counts of each
	// layer.
	scaleBytes = 4
)

var errMalformedCounts = errors.New("counts are malformed")

// encodeCounts encodes the growth of counts, layer by layer. It returns nil if the number of layers is unknown or if a
// count has decreased, which means that the engine has started to count from zero.
func encodeCounts(now, before []int64, layers int) []byte {
	if layers <= 0 || len(now)%layers != 0 {
		return nil
	}
	experts := len(now) / layers
	out := make([]byte, 0, layers*(scaleBytes+(experts+1)/2))
	for l := range layers {
		growth := make([]float64, experts)
		most := 0.0
		for e := range experts {
			i := l*experts + e
			if now[i] < before[i] {
				return nil
			}
			growth[e] = float64(now[i] - before[i])
			most = max(most, growth[e])
		}
		out = appendLayer(out, growth, most/(countLevels-1))
	}
	return out
}

// appendLayer appends the scale of a layer and its counts, four bits each.
func appendLayer(out []byte, growth []float64, level float64) []byte {
	out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(level)))
	for e := 0; e < len(growth); e += 2 {
		b := quantize(growth[e], level, countLevels) << 4
		if e+1 < len(growth) {
			b |= quantize(growth[e+1], level, countLevels)
		}
		out = append(out, b)
	}
	return out
}

// quantize returns the level of a count, rounded up or down at random.
func quantize(n, level float64, levels int) byte {
	if level <= 0 {
		return 0
	}
	return byte(min(float64(levels-1), math.Floor(n/level+rand.Float64())))
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

// sumLevels is the number of values that an encoded sum of counts can have. It is larger than countLevels because the
// rounding errors of a sum are not averaged out over the ranks of its branch.
const sumLevels = 256

// encodeSums encodes counts that were added up over several ranks, layer by layer. It returns nil if there are none.
func encodeSums(sums []float64, layers int) []byte {
	if layers <= 0 || len(sums) == 0 || len(sums)%layers != 0 {
		return nil
	}
	experts := len(sums) / layers
	out := make([]byte, 0, layers*(scaleBytes+experts))
	for l := range layers {
		row := sums[l*experts : (l+1)*experts]
		level := slices.Max(row) / (sumLevels - 1)
		out = binary.BigEndian.AppendUint32(out, math.Float32bits(float32(level)))
		for _, n := range row {
			out = append(out, quantize(n, level, sumLevels))
		}
	}
	return out
}

// decodeSums decodes the result of encodeSums.
func decodeSums(data []byte, layers, experts int) ([]float64, error) {
	size := scaleBytes + experts
	if layers <= 0 || len(data) != layers*size {
		return nil, errMalformedCounts
	}
	out := make([]float64, 0, layers*experts)
	for row := range slices.Chunk(data, size) {
		level, err := decodeLevel(row)
		if err != nil {
			return nil, err
		}
		for _, b := range row[scaleBytes:] {
			out = append(out, level*float64(b))
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

var errMalformedMap = errors.New("map is malformed")

// maxMapBytes limits a decoded map. It is enough for 128 ranks with 128 slots in each of 64 layers.
const maxMapBytes = 2 << 20

// encodeMap encodes a map as numbers of two bytes each and compresses the result. The numbers are the number of layers,
// the number of ranks, and for each rank of each layer the number of experts followed by the experts.
func encodeMap(m [][][]int) ([]byte, error) {
	ranks := 0
	if len(m) > 0 {
		ranks = len(m[0])
	}
	raw := appendNumber(appendNumber(nil, len(m)), ranks)
	for _, layer := range m {
		for _, experts := range layer {
			raw = appendNumber(raw, len(experts))
			for _, e := range experts {
				raw = appendNumber(raw, e)
			}
		}
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func appendNumber(out []byte, n int) []byte { return append(out, byte(n>>8), byte(n)) }

// decodeMap decodes the result of encodeMap.
func decodeMap(data []byte) ([][][]int, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMapBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedMap, err)
	}
	truncated := false
	next := func() int {
		if len(raw) < 2 {
			truncated = true
			return 0
		}
		n := int(raw[0])<<8 | int(raw[1])
		raw = raw[2:]
		return n
	}
	layers, ranks := next(), next()
	var m [][][]int
	for l := 0; l < layers && !truncated; l++ {
		var layer [][]int
		for r := 0; r < ranks && !truncated; r++ {
			experts := []int{}
			for n := next(); n > 0 && !truncated; n-- {
				experts = append(experts, next())
			}
			layer = append(layer, experts)
		}
		m = append(m, layer)
	}
	if truncated || len(raw) > 0 {
		return nil, errMalformedMap
	}
	return m, nil
}
