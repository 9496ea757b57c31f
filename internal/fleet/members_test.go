package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// fleetWithRanks returns a Fleet that knows n ranks of one group.
func fleetWithRanks(n int) *Fleet {
	f := newTestFleet("c")
	for i := range n {
		f.learnRank(testRank(i), time.Now())
	}
	return f
}

// unreachable is a network without other processes.
type unreachable struct{}

func (unreachable) Call(context.Context, string, string, any, any) error { return errLost }

func testRank(i int) Rank {
	return Rank{Name: fmt.Sprint("r", i), Control: fmt.Sprint("k", i), Started: 1, Group: "g", Rank: i}
}

// TestUnchangedMembersCostNothing guards against lists of members that are sorted, hashed or encoded again for each
// heartbeat and each registration although no member has changed.
func TestUnchangedMembersCostNothing(t *testing.T) {
	f := fleetWithRanks(192)
	if n := testing.AllocsPerRun(100, func() { f.memberHash() }); n > 0 {
		t.Errorf("a hash of unchanged members takes %v allocations, want none", n)
	}
	small := fleetWithRanks(2)
	register := func(f *Fleet) float64 {
		reply, err := f.serveRank(context.Background(), RankRequest{Rank: testRank(0)})
		if err != nil {
			t.Fatal(err)
		}
		request := RankRequest{Rank: testRank(0), Have: reply.Digest}
		return testing.AllocsPerRun(100, func() { _, _ = f.serveRank(context.Background(), request) })
	}
	if few, many := register(small), register(f); many > few {
		t.Errorf("an unchanged registration takes %v allocations with 192 ranks and %v with 2", many, few)
	}
}

// TestMemberHashFollowsChanges guards against a hash of the members that is kept after a member has changed, so that
// entries with different members do not notice it.
func TestMemberHashFollowsChanges(t *testing.T) {
	f, now := fleetWithRanks(2), time.Now()
	seen := map[uint64]string{}
	check := func(what string) {
		t.Helper()
		hash := f.memberHash()
		if earlier, ok := seen[hash]; ok {
			t.Errorf("the hash after %s is the one after %s", what, earlier)
		}
		seen[hash] = what
	}
	f.opt.ReportInFlight = func(string, map[string]int) {}
	f.opt.Pool = unreachable{}
	check("start")
	f.recordHeartbeat("c2", false, now)
	check("new entry")
	f.learnEntry(Entry{Name: "c2", Control: "c2", Started: 9}, now)
	check("restarted entry")
	f.handleHeartbeat(t.Context(), Heartbeat{From: Entry{Name: "c2", Control: "c2", Started: 5}, Members: f.memberHash()})
	check("entry with its clock set back")
	f.learnRank(testRank(2), now)
	check("new rank")
	other := testRank(1)
	other.Group = "h"
	f.learnRank(other, now)
	check("rank in another group")
	other.Started = 2
	f.learnRank(other, now)
	check("restarted rank")
	reply, _ := f.serveRank(t.Context(), RankRequest{Rank: testRank(0)})
	if len(reply.Ranks) != 2 || len(reply.Entries) != 2 {
		t.Errorf("a reply with %d ranks and %d entries, want 2 and 2", len(reply.Ranks), len(reply.Entries))
	}
	f.learnRank(testRank(0), now.Add(memberExpiry))
	f.startDueCalls(t.Context(), now.Add(memberExpiry+time.Second))
	check("expired members")
}
