package fleet

import "github.com/camphorbank/camphorbank/internal/targetset"

// maxEncodedInFlight is the largest number of requests in flight that a heartbeat can state for one target, since it
// has one byte for each. Higher counts are sent as this value.
const maxEncodedInFlight = 255

// encodeInFlight returns the counts as one byte for each target, in the order of list.IDs.
func encodeInFlight(list *targetset.Snapshot, counts map[string]int) []byte {
	out := make([]byte, 0, len(list.IDs))
	for _, id := range list.IDs {
		out = append(out, byte(min(maxEncodedInFlight, counts[id])))
	}
	return out
}

// decodeInFlight returns the counts of a heartbeat by target id. ok is false if the sender's target list has a
// different position, which makes the order of its counts unknown.
func decodeInFlight(list *targetset.Snapshot, h Heartbeat) (counts map[string]int, ok bool) {
	encoded := h.InFlight
	if h.Summary != nil {
		encoded = h.Summary.InFlight
	}
	if list.Position != h.List || len(list.IDs) != len(encoded) {
		return nil, false
	}
	counts = map[string]int{}
	for i, n := range encoded {
		if n > 0 {
			counts[list.IDs[i]] = int(n)
		}
	}
	return counts, true
}
