package fleet

import (
	"encoding/binary"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	// maxEncodedInFlight is the largest number of requests in flight that a heartbeat can state for one target, since it
	// has one byte for each. Higher counts are sent as this value.
	maxEncodedInFlight = 255
	// maxZeroRun is the largest number of targets without requests that one byte can state.
	maxZeroRun = 255
)

// encodeInFlight returns the number of targets of the list and their counts in the order of list.IDs. Each count is one
// byte, but a run of zeros is a zero and its length, since an entry has requests at few targets of a large fleet. Zeros
// at the end are left out.
func encodeInFlight(list *targetset.Snapshot, counts map[string]int) []byte {
	out := binary.AppendUvarint(nil, uint64(len(list.IDs)))
	if len(counts) == 0 {
		return out
	}
	zeros := 0
	for _, id := range list.IDs {
		n := min(maxEncodedInFlight, counts[id])
		if n == 0 {
			zeros++
			continue
		}
		for ; zeros > 0; zeros -= min(zeros, maxZeroRun) {
			out = append(out, 0, byte(min(zeros, maxZeroRun)))
		}
		out = append(out, byte(n))
	}
	return out
}

// decodeInFlight returns the counts of a heartbeat by target id. ok is false if the sender's target list has a
// different position or length, which makes the order of its counts unknown, or if the counts are malformed.
func decodeInFlight(list *targetset.Snapshot, h Heartbeat) (counts map[string]int, ok bool) {
	encoded := h.InFlight
	if h.Summary != nil {
		encoded = h.Summary.InFlight
	}
	size, n := binary.Uvarint(encoded)
	if list.Position != h.List || n <= 0 || size != uint64(len(list.IDs)) {
		return nil, false
	}
	counts = map[string]int{}
	target := 0
	for rest := encoded[n:]; len(rest) > 0; rest = rest[1:] {
		if rest[0] == 0 {
			if len(rest) < 2 {
				return nil, false
			}
			target += int(rest[1])
			rest = rest[1:]
			continue
		}
		if target >= len(list.IDs) {
			return nil, false
		}
		counts[list.IDs[target]] = int(rest[0])
		target++
	}
	return counts, true
}
