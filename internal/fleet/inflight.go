package fleet

import "github.com/camphorbank/camphorbank/internal/targetset"

// maxInFlight is the largest number of requests in flight that a beat can state for one target.
const maxInFlight = 255

// encodeInFlight lists the counts in the order of the targets' ids.
func encodeInFlight(list *targetset.Snapshot, counts map[string]int) []byte {
	out := make([]byte, 0, len(list.IDs))
	for _, id := range list.IDs {
		out = append(out, byte(min(maxInFlight, counts[id])))
	}
	return out
}

// decodeInFlight returns the counts by target id. ok is false if the sender's list is another one.
func decodeInFlight(list *targetset.Snapshot, b Beat) (counts map[string]int, ok bool) {
	if list.Revision != b.List || len(list.IDs) != len(b.InFlight) {
		return nil, false
	}
	counts = map[string]int{}
	for i, n := range b.InFlight {
		if n > 0 {
			counts[list.IDs[i]] = int(n)
		}
	}
	return counts, true
}
