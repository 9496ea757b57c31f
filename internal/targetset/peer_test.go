package targetset

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestExpiredTargetIsRemovedAtPeer guards against requests for a target that the list no longer names: a peer gets the list from
// an entry that still waits for the target to register again, and hears nothing of that entry until the leave is no longer sent.
func TestExpiredTargetIsRemovedAtPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, peer := New(), New()
		reader.Replace(at(5), []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
		reader.Regained(time.Now())
		reader.Replace(at(9), []Target{target("b", 1, 4, false)}, time.Now())
		fetched := reader.Snapshot()
		var list []Target
		for _, id := range fetched.IDs {
			list = append(list, *fetched.ByID[id])
		}
		peer.Replace(fetched.Position, list, time.Now())
		time.Sleep(ReregistrationTime)
		reader.Expire(time.Now())
		time.Sleep(leaveShareTime)
		leaves, _ := reader.Leaves(0, time.Now())
		peer.Leave(leaves)
		peer.Expire(time.Now())
		if reader.Snapshot().Position == peer.Snapshot().Position && usable(peer) != usable(reader) {
			t.Errorf("%d targets in use at the peer, %d at the entry that reads the list, both at the same position", usable(peer), usable(reader))
		}
	})
}
