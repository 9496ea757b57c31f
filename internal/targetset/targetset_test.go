package targetset

import (
	"testing"
	"time"
)

func target(id string, born, revision int64, draining bool) Target {
	return Target{ID: id, StartedAtMs: born, Service: "s", Addr: "a", Slots: 1, Draining: draining, Revision: revision}
}

func usable(s *Set) int { return len(s.Snapshot().ByService["s"]) }

// TestLeaveFromPeerIsHonoured guards against requests for a target whose leave only a peer has seen, also after the
// arrival of an older list that still contains the target.
func TestLeaveFromPeerIsHonoured(t *testing.T) {
	s := New()
	s.Replace(5, []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	s.Leave([]Leave{{Incarnation{"a", 1}, 7}})
	s.Replace(6, []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	if n := usable(s); n != 1 {
		t.Errorf("%d targets in use, want 1", n)
	}
}

// TestRestartedTargetIsUsed guards against a leave of an earlier incarnation that excludes a restarted target, and
// against ignoring an entry that was written after the leave.
func TestRestartedTargetIsUsed(t *testing.T) {
	s := New()
	s.Replace(5, []Target{target("a", 1, 3, true)}, time.Now())
	s.Apply(6, []Change{{ID: "a", Revision: 6, Target: pointerTo(target("a", 2, 6, false))}}, time.Now())
	if usable(s) != 1 {
		t.Error("the new incarnation is not used")
	}
	s.Apply(7, []Change{{ID: "a", Revision: 7}}, time.Now())
	s.Apply(8, []Change{{ID: "a", Revision: 8, Target: pointerTo(target("a", 2, 8, false))}}, time.Now())
	if usable(s) != 1 {
		t.Error("the target that registered again is not used")
	}
}

// TestOlderListIsIgnored guards against an older list that adds removed targets again.
func TestOlderListIsIgnored(t *testing.T) {
	s := New()
	s.Replace(9, []Target{target("a", 1, 3, false)}, time.Now())
	s.Replace(8, []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	if usable(s) != 1 {
		t.Errorf("%d targets in use, want 1", usable(s))
	}
}

// TestNumberOfLeavesIsBounded guards against a number of stored leaves that grows without limit.
func TestNumberOfLeavesIsBounded(t *testing.T) {
	s := New()
	for i := range int64(3 * maxLeavesKept) {
		s.Leave([]Leave{{Incarnation{"t", i}, i + 1}})
	}
	if n := len(s.Leaves(time.Now())); n > maxLeavesKept {
		t.Errorf("%d leaves are stored", n)
	}
}

func pointerTo(t Target) *Target { return &t }
