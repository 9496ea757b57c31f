package configsync_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/measure/configsim"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// maxSpreadTime is the time within which an accepted revision must be in force everywhere.
const maxSpreadTime = 7 * time.Second

// document returns a valid document with one preset.
func document(revision int64, preset string) []byte {
	return fmt.Appendf(nil, "revision = %d\npreset_in_force = %q\n[[presets]]\nname = %q\n", revision, preset, preset)
}

// allReady returns a condition: all running processes are ready.
func allReady(s *configsim.Sim) func() bool {
	return func() bool {
		for _, n := range s.Nodes {
			if n.Up && !n.Syncer.Ready() {
				return false
			}
		}
		return true
	}
}

// startFleet returns a fleet of n processes that all have revision 1 in force.
func startFleet(t rapid.TB, n int, seed uint64) *configsim.Sim {
	s := configsim.New(n, 3, seed)
	s.Publish(1, document(1, "day"))
	if _, ok := s.RunUntil(maxSpreadTime, func() bool { return allReady(s)() && s.AllAt(1) }); !ok {
		t.Fatal("fleet did not start")
	}
	return s
}

// expectEverywhere fails the test unless the revision is in force at all processes within maxSpreadTime.
func expectEverywhere(t rapid.TB, s *configsim.Sim, what string, revision int64) {
	t.Helper()
	if took, ok := s.RunUntil(maxSpreadTime, func() bool { return s.AllAt(revision) }); !ok {
		t.Fatalf("%s: revision %d not in force everywhere after %s", what, revision, took)
	}
}

// TestPropagationWithoutService guards against a revision that does not spread from the only process that read it
// before the service failed.
func TestPropagationWithoutService(t *testing.T) {
	s := startFleet(t, 60, 1)
	s.Service.Up = false
	s.Nodes[7].Syncer.Offer(document(2, "peak"), 2, "service")
	expectEverywhere(t, s, "service down", 2)
}

// TestStaleService guards against running or restarted processes that go back to a lower revision because the service
// or a peer does.
func TestStaleService(t *testing.T) {
	s := startFleet(t, 30, 2)
	s.Publish(5, document(5, "peak"))
	expectEverywhere(t, s, "publish", 5)
	s.Publish(3, document(3, "night"))
	for _, n := range s.Nodes[:20] {
		s.Restart(n)
		if _, ok := s.RunUntil(maxSpreadTime, n.Syncer.Ready); !ok || n.Store.Current().Revision() != 5 {
			t.Fatalf("%s is ready with revision %d, want 5", n.VM.Name, n.Store.Current().Revision())
		}
	}
	if _, changed := s.RunUntil(time.Minute, func() bool { return !s.AllAt(5) }); changed {
		t.Fatal("a process left revision 5")
	}
}

// TestInvalidRevision guards against an invalid document in force, a rejection that the status does not show, and a
// rejection that the status still shows after a valid document followed.
func TestInvalidRevision(t *testing.T) {
	s := startFleet(t, 12, 3)
	s.Publish(2, []byte("revision = 2\npreset_in_force = \"none\"\n[[presets]]\nname = \"a\"\nmax_attempts = 9\n"))
	seen := func() bool {
		for _, n := range s.Nodes {
			if st := n.Syncer.Status(); n.Syncer.IsWatcher() && st.Rejected == nil {
				return false
			}
		}
		return true
	}
	if _, ok := s.RunUntil(maxSpreadTime, seen); !ok {
		t.Fatal("watchers do not show the rejection")
	}
	for _, n := range s.Nodes {
		st := n.Syncer.Status()
		if st.Revision != 1 {
			t.Fatalf("%s has revision %d", n.VM.Name, st.Revision)
		}
		if st.Rejected != nil && (st.Rejected.Revision != 2 || st.Rejected.Origin != "service" || strings.Count(st.Rejected.Reason, "\n") != 1) {
			t.Fatalf("rejection %+v", st.Rejected)
		}
	}
	s.Publish(3, document(3, "day"))
	expectEverywhere(t, s, "repaired", 3)
	if st := s.Nodes[0].Syncer.Status(); st.Rejected != nil {
		t.Errorf("rejection still shown: %+v", st.Rejected)
	}
}

// TestConflict guards against two documents with the same revision that replace each other, and against a conflict that
// no process reports.
func TestConflict(t *testing.T) {
	s := startFleet(t, 12, 4)
	s.Nodes[0].Syncer.Offer(document(2, "a"), 2, "service")
	s.Nodes[1].Syncer.Offer(document(2, "b"), 2, "service")
	hashes := []string{s.Nodes[0].Store.Current().Hash, s.Nodes[1].Store.Current().Hash}
	reported := func() bool {
		reports := 0
		for _, n := range s.Nodes {
			if n.Syncer.Status().Conflict != nil {
				reports++
			}
		}
		return s.AllAt(2) && reports > 2
	}
	if _, ok := s.RunUntil(maxSpreadTime, reported); !ok {
		t.Fatal("conflict not reported")
	}
	for i, want := range hashes {
		if got := s.Nodes[i].Store.Current().Hash; got != want {
			t.Errorf("%s changed its content", s.Nodes[i].VM.Name)
		}
	}
	s.Nodes[2].Syncer.Offer(document(3, "c"), 3, "service")
	expectEverywhere(t, s, "after the conflict", 3)
	if st := s.Nodes[0].Syncer.Status(); st.Conflict != nil {
		t.Errorf("conflict still shown: %+v", st.Conflict)
	}
}

// TestSectionsAreFetchedOnce guards against a transfer of the whole document when only one client account changed.
func TestSectionsAreFetchedOnce(t *testing.T) {
	large := func(revision int64, weight int) []byte {
		b := document(revision, "day")
		for i := range 2000 {
			w := 1
			if i == 1000 {
				w = weight
			}
			b = fmt.Appendf(b, "[[client_accounts]]\nname = \"account-%d\"\nkey_sha256 = \"%064x\"\nweight = %d\n", i, i, w)
		}
		return b
	}
	s := configsim.New(2, 1, 5)
	s.Service.Up = false
	if _, ok := s.RunUntil(maxSpreadTime, func() bool { return s.Now().Unix() > 1_000_001 }); !ok {
		t.Fatal("no time passed")
	}
	s.Nodes[0].Syncer.Offer(large(1, 1), 1, "service")
	expectEverywhere(t, s, "first", 1)
	first := s.Nodes[1].ControlBytes
	s.Nodes[0].Syncer.Offer(large(2, 7), 2, "service")
	expectEverywhere(t, s, "second", 2)
	if change := s.Nodes[1].ControlBytes - first; first < 200_000 || change > first/10 {
		t.Errorf("first document %d bytes, change of one account %d bytes", first, change)
	}
	if got := s.Nodes[1].Store.Current().Document.ClientAccounts[1000].Weight; got != 7 {
		t.Errorf("weight %d after the change", got)
	}
}

// TestFetchFromChangedPeer guards against a document that is joined from the sections of two revisions.
func TestFetchFromChangedPeer(t *testing.T) {
	s := startFleet(t, 2, 6)
	old, err := s.Nodes[0].Syncer.OnHead(context.Background(), wire.ConfigHead{})
	if err != nil || len(old.Sections) == 0 {
		t.Fatalf("no sections for a process without configuration: %v", err)
	}
	s.Nodes[0].Syncer.Offer(document(2, "peak"), 2, "service")
	part, err := s.Nodes[0].Syncer.OnFetch(context.Background(), wire.ConfigFetch{Hash: old.Hash, Sections: old.Sections})
	if err != nil || len(part.Bodies) != 0 {
		t.Errorf("sections of another document: %v %v", part, err)
	}
}

// TestRandomFaults guards against a running process that goes back to a lower revision (the simulation panics), and
// against a process that does not have the highest revision in force within maxSpreadTime after the partitions end and
// the stopped processes restart. The faults are random partitions, stopped processes and faults of the service.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := startFleet(t, rapid.IntRange(3, 25).Draw(t, "processes"), rapid.Uint64().Draw(t, "seed"))
		highest := int64(1)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			n := s.Nodes[rapid.IntRange(0, len(s.Nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				highest++
				s.Publish(highest, document(highest, "day"))
			case 1:
				s.Publish(max(highest-1, 1), document(max(highest-1, 1), "day"))
			case 2:
				s.Service.Up = !s.Service.Up
			case 3:
				n.Partition = rapid.IntRange(0, 1).Draw(t, "part")
			case 4:
				n.Up = false
			case 5:
				n.ServiceUnreachable = !n.ServiceUnreachable
			case 6:
				s.RunUntil(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms"))*time.Millisecond, func() bool { return false })
			}
		}
		highestInForce := int64(0) // stays 0 if no running process has a configuration, as at a first start
		for _, n := range s.Nodes {
			if n.Up && n.Store.Current() != nil {
				highestInForce = max(highestInForce, n.Store.Current().Revision())
			}
		}
		for _, n := range s.Nodes {
			n.Partition = 0
			if !n.Up {
				s.Restart(n)
			}
		}
		want := func() bool {
			for _, n := range s.Nodes {
				cur := n.Store.Current()
				if highestInForce > 0 && (cur == nil || cur.Revision() < highestInForce) {
					return false
				}
			}
			return true
		}
		if took, ok := s.RunUntil(maxSpreadTime, want); !ok {
			t.Fatalf("revision %d not in force everywhere %s after the fleet was whole", highestInForce, took)
		}
	})
}

// TestSameSeedSameRun guards against a simulation whose result depends on goroutine scheduling.
func TestSameSeedSameRun(t *testing.T) {
	run := func() string {
		s := startFleet(t, 80, 9)
		s.Publish(2, document(2, "peak"))
		took, _ := s.RunUntil(maxSpreadTime, func() bool { return s.AllAt(2) })
		return fmt.Sprint(took, s.Nodes[3].ControlBytes)
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%s and %s", a, b)
	}
}
