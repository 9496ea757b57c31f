package decision

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestRingKeepsLatest guards against a ring that grows without bound, loses the record of a recent request, or returns
// the record of another request.
func TestRingKeepsLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		ids := rapid.SliceOf(rapid.IntRange(0, 20)).Draw(t, "ids")
		ring := NewRing(size)
		for i, id := range ids {
			ring.Add(Record{RequestID: fmt.Sprint(id), Revision: int64(i)})
		}
		for id := 0; id <= 20; id++ {
			want := -1
			for i := max(0, len(ids)-size); i < len(ids); i++ {
				if ids[i] == id {
					want = i
				}
			}
			got, ok := ring.Find(fmt.Sprint(id))
			if ok != (want >= 0) || (ok && got.Revision != int64(want)) {
				t.Fatalf("id %d: got %+v %v, want the record %d", id, got, ok, want)
			}
		}
		if len(ring.records) > size || len(ring.byID) > size {
			t.Fatalf("%d records and %d ids in a ring of %d", len(ring.records), len(ring.byID), size)
		}
	})
}
