package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/camphorbank/camphorbank/internal/jsonsize"
)

// maxStateBytes bounds the size of a decompressed state, and maxDecodedBytes that of a decoded one, so that a faulty peer cannot
// exhaust the memory. A configuration of 2,000 routes takes less than a megabyte.
const (
	maxStateBytes   = 16 << 20
	maxDecodedBytes = 64 << 20
)

var errStateTooLarge = errors.New("state received from a peer is too large")

// pack encodes a state as compressed JSON.
func pack(s State) (StateReply, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return StateReply{}, err
	}
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return StateReply{}, err
	}
	if err := w.Close(); err != nil {
		return StateReply{}, err
	}
	return StateReply{Packed: out.Bytes()}, nil
}

// unpack decompresses and decodes a state. It fails with errStateTooLarge if the state exceeds maxStateBytes.
func unpack(r StateReply) (State, error) {
	var s State
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxStateBytes+1))
	if err != nil {
		return s, fmt.Errorf("decompress state received from a peer: %w", err)
	}
	if len(content) > maxStateBytes {
		return s, errStateTooLarge
	}
	if err := jsonsize.Unmarshal(content, maxDecodedBytes, &s); err != nil {
		return s, fmt.Errorf("decode state received from a peer: %w", err)
	}
	return s, nil
}
