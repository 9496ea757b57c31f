package rankgroup

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
)

// TestRelayFailureIsNoRankFailure guards against a group that counts as closed because the process that relays the
// calls of a branch has died, while all engines run.
func TestRelayFailureIsNoRankFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, relayedSize)
		var unreachable sync.Map
		links := newTestLinks(f.g, f.agents, nil, 0, func(rank int) bool { _, ok := unreachable.Load(rank); return ok })
		c := NewCoordinator(Options{Rank: 0, Size: len(f.g.Ranks), Ranks: links, DataCentre: testDataCentre, Now: testNow, Active: always,
			Engine: f.size.engine, SendReport: func(Report) {}, Notify: func(Event) {}})
		for _, b := range c.branches {
			if b.relay >= 0 {
				unreachable.Store(b.ranks[b.relay], true)
			}
		}
		for reading := range 2 {
			if !c.readAll(t.Context()) {
				t.Errorf("reading %d: the group counts as closed", reading)
			}
		}
	})
}

// TestBranchesCoverAllRanksOnce guards against a rank that is left out of a reading or an order, or that is called
// through a relay of another data centre.
func TestBranchesCoverAllRanksOnce(t *testing.T) {
	for _, size := range []int{1, 8, 16, 24, 32, 72, 96, 128} {
		branches := makeBranches(size, 0, testDataCentre)
		var all []int
		for _, b := range branches {
			all = append(all, b.ranks...)
			for _, rank := range b.ranks {
				if b.relay >= 0 && testDataCentre(rank) != testDataCentre(b.ranks[0]) {
					t.Errorf("%d ranks: rank %d and its relay are in different data centres", size, rank)
				}
			}
			if b.relay >= 0 && slices.Contains(b.ranks, 0) {
				t.Errorf("%d ranks: the coordinator calls its own branch through a relay", size)
			}
		}
		slices.Sort(all)
		for i, rank := range all {
			if len(all) != size || rank != i {
				t.Fatalf("%d ranks: branches cover %v", size, all)
			}
		}
		if calls := len(branches) + len(branches[0].ranks); size >= minRelayedSize && calls > size/2+4 {
			t.Errorf("%d ranks: about %d calls for a reading", size, calls)
		}
	}
}
