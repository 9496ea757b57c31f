package rankgroup

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
)

// Links of VMs beside engines carry a few megabits in a second, and a coordinator speaks with all ranks at once, so that
// counts and maps are sent in few bytes.

const (
	// countLevels is the number of values that an encoded count can have. Counts are relative to the largest of their
	// layer and rounded at random, so that the sum over the ranks stays right on average.
	countLevels = 16
	// bytesOfScale is the size of the value of one level, which stands before each layer's counts.
	bytesOfScale = 4
)

var errCounts = errors.New("counts are malformed")

// encodeCounts encodes the growth of counts, layer by layer. It returns nothing if a count went down, since the engine
// then counts anew, or if the layers are unknown.
func encodeCounts(now, before []int64, layers int) []byte {
	if layers <= 0 || len(now)%layers != 0 {
		return nil
	}
	experts := len(now) / layers
	out := make([]byte, 0, layers*(bytesOfScale+(experts+1)/2))
	for l := range layers {
		grown := make([]float64, experts)
		most := 0.0
		for e := range experts {
			i := l*experts + e
			if now[i] < before[i] {
				return nil
			}
			grown[e] = float64(now[i] - before[i])
			most = max(most, grown[e])
		}
		out = appendLayer(out, grown, most/(countLevels-1))
	}
	return out
}

func appendLayer(out []byte, grown []float64, level float64) []byte {
	bits := math.Float32bits(float32(level))
	out = append(out, byte(bits>>24), byte(bits>>16), byte(bits>>8), byte(bits))
	for e := 0; e < len(grown); e += 2 {
		b := quantize(grown[e], level) << 4
		if e+1 < len(grown) {
			b |= quantize(grown[e+1], level)
		}
		out = append(out, b)
	}
	return out
}

func quantize(n, level float64) byte {
	if level <= 0 {
		return 0
	}
	return byte(min(countLevels-1, math.Floor(n/level+rand.Float64())))
}

// decodeCounts decodes the growth of the counts of all layers.
func decodeCounts(data []byte, layers, experts int) ([]float64, error) {
	size := bytesOfScale + (experts+1)/2
	if len(data) != layers*size {
		return nil, errCounts
	}
	out := make([]float64, 0, layers*experts)
	for l := range layers {
		row := data[l*size : (l+1)*size]
		level := float64(math.Float32frombits(uint32(row[0])<<24 | uint32(row[1])<<16 | uint32(row[2])<<8 | uint32(row[3])))
		if !(level >= 0) || math.IsInf(level, 1) {
			return nil, errCounts
		}
		for e := range experts {
			b := row[bytesOfScale+e/2]
			if e%2 == 0 {
				b >>= 4
			}
			out = append(out, level*float64(b&(countLevels-1)))
		}
	}
	return out, nil
}

var errMap = errors.New("map is malformed")

// maxMapBytes bounds a decoded map: 128 ranks with 128 places in 64 layers.
const maxMapBytes = 2 << 20

// encodeMap encodes a map: the number of layers and ranks, and for each the number of experts and the experts, all in two
// bytes, compressed.
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

// decodeMap decodes a map.
func decodeMap(data []byte) ([][][]int, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMapBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMap, err)
	}
	short := false
	next := func() int {
		if len(raw) < 2 {
			short = true
			return 0
		}
		n := int(raw[0])<<8 | int(raw[1])
		raw = raw[2:]
		return n
	}
	layers, ranks := next(), next()
	var m [][][]int
	for l := 0; l < layers && !short; l++ {
		var layer [][]int
		for r := 0; r < ranks && !short; r++ {
			experts := []int{}
			for n := next(); n > 0 && !short; n-- {
				experts = append(experts, next())
			}
			layer = append(layer, experts)
		}
		m = append(m, layer)
	}
	if short || len(raw) > 0 {
		return nil, errMap
	}
	return m, nil
}
