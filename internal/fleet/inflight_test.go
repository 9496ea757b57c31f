package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// listOf returns a list of n targets.
func listOf(n int) *targetset.Snapshot {
	set := targetset.New()
	var targets []targetset.Target
	for i := range n {
		targets = append(targets, targetset.Target{ID: fmt.Sprintf("t%05d", i), Service: "s", Position: targetset.Position{Revision: 1}})
	}
	set.Replace(targetset.Position{Revision: 1}, targets, time.Now())
	return set.Snapshot()
}

// TestInFlightGrowsWithOwnWork guards against heartbeats that grow with the number of targets, although an entry has
// requests at few of them.
func TestInFlightGrowsWithOwnWork(t *testing.T) {
	const targets, busy = 3000, 10
	list, counts := listOf(targets), map[string]int{}
	for i := range busy {
		counts[list.IDs[i*targets/busy]] = 1
	}
	// The number of targets takes two bytes. Each count takes one, and the zeros before it two for each maxZeroRun.
	const limit = 2 + busy + 2*(targets/maxZeroRun+1+busy)
	if n := len(encodeInFlight(list, counts)); n > limit {
		t.Errorf("%d bytes for %d busy targets of %d, want at most %d", n, busy, targets, limit)
	}
}

// TestInFlightIsDecodedAsEncoded guards against counts that are attributed to other targets than those of the sender.
func TestInFlightIsDecodedAsEncoded(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		list, counts := listOf(rng.IntN(1200)), map[string]int{}
		share := rng.Float64() * rng.Float64()
		for _, id := range list.IDs {
			if rng.Float64() < share {
				counts[id] = 1 + rng.IntN(maxEncodedInFlight)
			}
		}
		got, ok := decodeInFlight(list, Heartbeat{List: list.Position, InFlight: encodeInFlight(list, counts)})
		if !ok || !maps.Equal(got, counts) {
			t.Fatalf("ok %v: %d counts of %d targets were decoded as %d", ok, len(counts), len(list.IDs), len(got))
		}
	}
}

// TestMalformedInFlight guards against a process that fails because of malformed counts of a peer.
func TestMalformedInFlight(t *testing.T) {
	list := listOf(3)
	for _, encoded := range [][]byte{nil, {0x80}, {4}, {2, 1}, {3, 0}, {3, 1, 1, 1, 1}, {3, 0, 3, 1}} {
		if counts, ok := decodeInFlight(list, Heartbeat{List: list.Position, InFlight: encoded}); ok {
			t.Errorf("%v was decoded as %v", encoded, counts)
		}
	}
}
