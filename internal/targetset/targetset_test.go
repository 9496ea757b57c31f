package targetset

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

func target(id string, born, revision int64, draining bool) Target {
	return Target{ID: id, StartedAtMs: born, Service: "s", Addr: "a", Slots: 1, Draining: draining, Position: at(revision)}
}

// at returns a position of the first era.
func at(revision int64) Position { return Position{Revision: revision} }

func usable(s *Set) int { return len(s.Snapshot().ByService["s"]) }

// TestLeaveFromPeerIsHonoured guards against requests for a target whose leave only a peer has seen, also after the
// arrival of an older list that still contains the target.
func TestLeaveFromPeerIsHonoured(t *testing.T) {
	s := New()
	s.Replace(at(5), []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	s.Leave([]Leave{{Incarnation{"a", 1}, at(7), false}})
	s.Replace(at(6), []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	if n := usable(s); n != 1 {
		t.Errorf("%d targets in use, want 1", n)
	}
}

// TestRestartedTargetIsUsed guards against a leave of an earlier incarnation that excludes a restarted target, and
// against ignoring an entry that was written after the leave.
func TestRestartedTargetIsUsed(t *testing.T) {
	s := New()
	s.Replace(at(5), []Target{target("a", 1, 3, true)}, time.Now())
	s.Apply(at(6), []Change{{ID: "a", Position: at(6), Target: pointerTo(target("a", 2, 6, false))}}, time.Now())
	if usable(s) != 1 {
		t.Error("the new incarnation is not used")
	}
	s.Apply(at(7), []Change{{ID: "a", Position: at(7)}}, time.Now())
	s.Apply(at(8), []Change{{ID: "a", Position: at(8), Target: pointerTo(target("a", 2, 8, false))}}, time.Now())
	if usable(s) != 1 {
		t.Error("the target that registered again is not used")
	}
}

// TestOlderListIsIgnored guards against an older list that adds removed targets again.
func TestOlderListIsIgnored(t *testing.T) {
	s := New()
	s.Replace(at(9), []Target{target("a", 1, 3, false)}, time.Now())
	s.Replace(at(8), []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	if usable(s) != 1 {
		t.Errorf("%d targets in use, want 1", usable(s))
	}
}

// TestNumberOfLeavesIsBounded guards against a number of stored leaves that grows without limit.
func TestNumberOfLeavesIsBounded(t *testing.T) {
	s := New()
	for i := range int64(3 * maxLeavesKept) {
		s.Leave([]Leave{{Incarnation{"t", i}, at(i + 1), false}})
	}
	if leaves, _ := s.Leaves(0, time.Now()); len(leaves) > maxLeavesKept {
		t.Errorf("%d leaves are stored", len(leaves))
	}
}

func pointerTo(t Target) *Target { return &t }

// inEra returns the target as it is written in an era of the list.
func inEra(t Target, era int64) Target {
	t.Era = era
	return t
}

// used reports whether the target gets new requests.
func used(s *Set, id string) bool {
	return slices.ContainsFunc(s.Snapshot().ByService["s"], func(t *Target) bool { return t.ID == id })
}

// TestLeaveIsToldToLateEntries guards against an entry that starts, or can be reached again, long after a target has said that
// it leaves, and that sends it a request because the list does not say so. Leaves of targets that are no longer listed are
// not sent for longer than leaveShareTime.
func TestLeaveIsToldToLateEntries(t *testing.T) {
	s, late := New(), New()
	for _, set := range []*Set{s, late} {
		set.Replace(at(5), []Target{target("a", 1, 3, false), target("b", 1, 4, false)}, time.Now())
	}
	s.Announced(Incarnation{"a", 1})
	afterLong := time.Now().Add(4 * leaveShareTime)
	leaves, _ := s.Leaves(0, afterLong)
	late.Leave(leaves)
	if used(late, "a") || !used(late, "b") {
		t.Errorf("told %v; the leaving target is used: %v", leaves, used(late, "a"))
	}
	s.Apply(at(6), []Change{{ID: "a", Position: at(6)}}, time.Now())
	if leaves, _ := s.Leaves(0, afterLong); len(leaves) > 0 {
		t.Errorf("leaves %v of targets that are not listed", leaves)
	}
}

// TestManyTargetsLeaveTogether guards against requests for a target whose leave has been dropped although the target is still
// listed, because more targets than maxLeavesKept leave at the same time, as in the release of a large fleet.
func TestManyTargetsLeaveTogether(t *testing.T) {
	const leaving = maxLeavesKept + 100
	var draining, ready []Target
	for i := range int64(leaving) {
		id := "t" + strconv.FormatInt(i, 10)
		draining = append(draining, target(id, 1, i+1, true))
		ready = append(ready, target(id, 1, i+1, false))
	}
	t.Run("draining entries", func(t *testing.T) {
		s := New()
		s.Replace(at(leaving), draining, time.Now())
		if n := usable(s); n != 0 {
			t.Errorf("%d draining targets in use", n)
		}
	})
	t.Run("announced", func(t *testing.T) {
		s := New()
		s.Replace(at(leaving), ready, time.Now())
		for i := range ready {
			s.Announced(ready[i].Incarnation())
		}
		if n := usable(s); n != 0 {
			t.Errorf("%d targets in use that have said that they leave", n)
		}
	})
	t.Run("announced, then others are removed", func(t *testing.T) {
		s := New()
		s.Replace(at(leaving), ready, time.Now())
		s.Announced(ready[0].Incarnation())
		for i := range int64(leaving) {
			s.Leave([]Leave{{Incarnation{"gone", i}, at(leaving + 1 + i), false}})
		}
		if n := usable(s); n != leaving-1 {
			t.Errorf("%d targets in use, want %d", n, leaving-1)
		}
	})
}

// TestRestoredList guards against the loss of what was known when the platform's list is restored from an older copy:
// a leave after the copy, a target that registered after it, and a restart under the same id. The list is restored
// twice, and an answer from the first copy arrives after the second one.
func TestRestoredList(t *testing.T) {
	s := New()
	now := time.Now()
	copied := []Target{target("leaving", 1, 3, false), target("restarted", 1, 4, false), target("gone", 1, 4, false)}
	s.Replace(at(5), copied, now)
	s.Apply(at(9), []Change{
		{ID: "leaving", Position: at(6), Target: pointerTo(target("leaving", 1, 6, true))},
		{ID: "restarted", Position: at(7), Target: pointerTo(target("restarted", 2, 7, false))},
		{ID: "gone", Position: at(8)},
		{ID: "new", Position: at(9), Target: pointerTo(target("new", 1, 9, false))},
	}, now)
	for era := int64(1); era <= 2; era++ {
		var list []Target
		for _, c := range copied {
			list = append(list, inEra(c, era))
		}
		s.Replace(Position{era, 5}, list, now)
		if used(s, "leaving") || used(s, "gone") || !used(s, "restarted") || !used(s, "new") {
			t.Errorf("era %d: targets in use: %v", era, s.Snapshot().ByService["s"])
		}
		if started := s.Snapshot().ByID["restarted"].StartedAtMs; started != 2 {
			t.Errorf("era %d: incarnation %d of the restarted target, want 2", era, started)
		}
	}
	s.Replace(Position{1, 50}, nil, now)
	s.Apply(Position{1, 51}, []Change{{ID: "restarted", Position: Position{1, 51}}}, now)
	if !used(s, "restarted") {
		t.Error("a list of an earlier era was applied")
	}
	s.Apply(Position{2, 6}, []Change{{ID: "gone", Position: Position{2, 6}, Target: pointerTo(inEra(target("gone", 1, 6, false), 2))}}, now)
	if !used(s, "gone") {
		t.Error("a target that registered again after the restoration is not used")
	}
	s.Expire(now.Add(ReregistrationTime))
	if used(s, "new") {
		t.Error("a target that did not register again after the restoration is used")
	}
}

// TestAnnouncedLeaveIsFinal guards against requests for a target that has said in an answer that it leaves, while its
// entry in the list still changes, also in a peer that has learned of the leave. Its next incarnation is used.
func TestAnnouncedLeaveIsFinal(t *testing.T) {
	now := time.Now()
	s, peer := New(), New()
	for _, set := range []*Set{s, peer} {
		set.Replace(at(5), []Target{target("a", 1, 3, false)}, now)
	}
	if !s.Announced(Incarnation{"a", 1}) || s.Announced(Incarnation{"a", 1}) {
		t.Error("the leave is not reported exactly once")
	}
	leaves, _ := s.Leaves(0, now)
	peer.Leave(leaves)
	for name, set := range map[string]*Set{"self": s, "peer": peer} {
		set.Apply(at(6), []Change{{ID: "a", Position: at(6), Target: pointerTo(target("a", 1, 6, false))}}, now)
		set.Replace(Position{1, 2}, []Target{inEra(target("a", 1, 2, false), 1)}, now)
		if used(set, "a") {
			t.Errorf("%s: the leaving target is used", name)
		}
		set.Apply(Position{1, 9}, []Change{{ID: "a", Position: Position{1, 9}, Target: pointerTo(inEra(target("a", 2, 9, false), 1))}}, now)
		if !used(set, "a") {
			t.Errorf("%s: the next incarnation is not used", name)
		}
	}
}
