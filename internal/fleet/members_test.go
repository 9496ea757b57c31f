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

// TestSummaryMarksEntries guards against summaries that name all entries of a data centre in each heartbeat between
// data centres, and against marks that an entry with other members takes for other entries.
func TestSummaryMarksEntries(t *testing.T) {
	const entries = 52
	now := time.Now()
	pair := []*Fleet{}
	for own := range 2 {
		p := newPairMember(fmt.Sprintf("10.0.0.%d:7000", own), 1)
		p.opt.Self.DataCentre = fmt.Sprint("dc-", own)
		for i := range entries {
			if i != own {
				p.learnEntry(Entry{Name: fmt.Sprintf("10.0.0.%d:7000", i), Control: fmt.Sprintf("10.0.0.%d:7000", i), Started: 1, DataCentre: fmt.Sprint("dc-", i%2)}, now)
			}
		}
		pair = append(pair, p.Fleet)
	}
	a, b := pair[0], pair[1]
	// Self is known under its address only, as its name is not part of the hash.
	for i := 2; i < entries; i += 2 {
		if i != 4 {
			e := a.entries[fmt.Sprintf("10.0.0.%d:7000", i)]
			e.lastHeard, e.readsPlatform = now, i == 6
		}
	}
	first := a.ownHeartbeat(b.opt.Self)
	if len(first.Summary.Live) != entries/2-1 {
		t.Fatalf("%d entries are named before the other one is known to have the same members", len(first.Summary.Live))
	}
	a.recordSender(b.ownHeartbeat(a.opt.Self), now)
	h := a.ownHeartbeat(b.opt.Self)
	if limit := entries*bitsPerMark/8 + 1; len(h.Summary.Live) > 0 || len(h.Summary.Marks) > limit {
		t.Errorf("%d entries are named, and %d bytes of marks, want at most %d", len(h.Summary.Live), len(h.Summary.Marks), limit)
	}
	b.applySummary(h, now)
	for control, e := range b.entries {
		want := e.DataCentre == "dc-0" && control != "10.0.0.4:7000"
		if reported := e.lastReported.Equal(now); reported != want || e.readsPlatform != (control == "10.0.0.6:7000") {
			t.Errorf("%s: reported %v, want %v; reads %v", control, reported, want, e.readsPlatform)
		}
	}
	b.learnEntry(Entry{Name: "new", Control: "10.0.0.100:7000", Started: 1, DataCentre: "dc-0"}, now)
	later := now.Add(time.Second)
	b.applySummary(h, later)
	for control, e := range b.entries {
		if e.lastReported.Equal(later) {
			t.Errorf("%s was reported by marks for other members", control)
		}
	}
	a.recordSender(b.ownHeartbeat(a.opt.Self), now)
	if h := a.ownHeartbeat(b.opt.Self); len(h.Summary.Live) == 0 {
		t.Error("an entry with other members gets marks")
	}
}
