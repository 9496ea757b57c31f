package rankgroup

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// MapUpdate is a map in a compact form: either complete, or as the changes of a map that the receiver has.
type MapUpdate struct {
	Data    []byte `json:"d"`           // complete map; noRows in an update that holds changes
	Changes []byte `json:"c,omitempty"` // changes of the map with the version Base
	Base    int64  `json:"b"`           // completeMap if Data is the complete map
	Hash    uint64 `json:"h"`           // of the complete map, so that changes of another map are detected
}

// noRows is what processes of earlier releases, which expect changes in MapUpdate.Data, read as no changes. The hash then
// tells them that they lack the map, so that they get a complete one.
var noRows = []byte{1, 0, 0, 0xff, 0xff}

// completeMap is the Base of an update that holds a complete map.
const completeMap = -1

var (
	errMalformedMap = errors.New("map is malformed")
	errNoBaseMap    = errors.New("the map that the update changes is not known")
)

// maxMapBytes limits a decoded map. It is enough for 128 ranks with 128 slots in each of 64 layers.
const maxMapBytes = 2 << 20

// completeUpdate returns an update that holds the complete map.
func completeUpdate(m [][][]int) (MapUpdate, error) {
	raw := appendMap(nil, m)
	data, err := deflate(raw)
	return MapUpdate{Data: data, Base: completeMap, Hash: xxhash.Sum64(raw)}, err
}

// changedUpdate returns an update that holds the changes from the base map to the next one.
func changedUpdate(version int64, base, next [][][]int) (MapUpdate, error) {
	changes, err := deflate(encodeChanges(base, next))
	return MapUpdate{Data: noRows, Changes: changes, Base: version, Hash: xxhash.Sum64(appendMap(nil, next))}, err
}

// apply returns the map of the update. base returns the map of a version, or nil if it is not known; it is not changed.
func (u MapUpdate) apply(base func(version int64) [][][]int) ([][][]int, error) {
	m, err := u.decode(base)
	if err != nil {
		return nil, err
	}
	if xxhash.Sum64(appendMap(nil, m)) != u.Hash {
		return nil, errNoBaseMap
	}
	return m, nil
}

func (u MapUpdate) decode(base func(version int64) [][][]int) ([][][]int, error) {
	if u.Base == completeMap {
		raw, err := inflate(u.Data)
		if err != nil {
			return nil, err
		}
		return decodeMap(raw)
	}
	if len(u.Changes) == 0 {
		return nil, errNoBaseMap // changes of an earlier release
	}
	raw, err := inflate(u.Changes)
	if err != nil {
		return nil, err
	}
	return decodeChanges(raw, base(u.Base))
}

// appendMap appends a map as numbers of two bytes each: the number of layers, the number of ranks, and the rows, layer
// by layer.
func appendMap(out []byte, m [][][]int) []byte {
	ranks := 0
	if len(m) > 0 {
		ranks = len(m[0])
	}
	out = appendNumber(appendNumber(out, len(m)), ranks)
	for _, layer := range m {
		for _, experts := range layer {
			out = appendRow(out, experts)
		}
	}
	return out
}

// appendRow appends the number of experts and the experts.
func appendRow(out []byte, experts []int) []byte {
	out = appendNumber(out, len(experts))
	for _, e := range experts {
		out = appendNumber(out, e)
	}
	return out
}

func appendNumber(out []byte, n int) []byte { return append(out, byte(n>>8), byte(n)) }

// numberReader reads the numbers that appendNumber has written.
type numberReader struct {
	data      []byte
	truncated bool // a number was missing; it was read as 0
}

func (r *numberReader) next() int {
	if len(r.data) < 2 {
		r.truncated = true
		return 0
	}
	n := int(r.data[0])<<8 | int(r.data[1])
	r.data = r.data[2:]
	return n
}

func (r *numberReader) row() []int {
	experts := []int{}
	for n := r.next(); n > 0 && !r.truncated; n-- {
		experts = append(experts, r.next())
	}
	return experts
}

// decodeMap decodes the result of appendMap.
func decodeMap(raw []byte) ([][][]int, error) {
	r := &numberReader{data: raw}
	layers, ranks := r.next(), r.next()
	var m [][][]int
	for l := 0; l < layers && !r.truncated; l++ {
		var layer [][]int
		for i := 0; i < ranks && !r.truncated; i++ {
			layer = append(layer, r.row())
		}
		m = append(m, layer)
	}
	if r.truncated || len(r.data) > 0 {
		return nil, errMalformedMap
	}
	return m, nil
}

func deflate(raw []byte) ([]byte, error) {
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

func inflate(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMapBytes))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedMap, err)
	}
	return raw, nil
}
