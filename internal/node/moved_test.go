package node

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// entryReply answers each registration of a rank with the ranks that it holds.
type entryReply struct {
	ranks  []fleet.Rank
	digest uint64
}

func (e *entryReply) Call(_ context.Context, _, _ string, _, out any) error {
	e.digest++
	*out.(*fleet.RankReply) = fleet.RankReply{Ranks: e.ranks, Digest: e.digest}
	return nil
}

// TestProcessesThatExchangeRanks guards against a process that takes the engine of one rank for two ranks after the group was
// formed again in another order: it would read and order that engine twice, and the engine of the other rank never.
func TestProcessesThatExchangeRanks(t *testing.T) {
	first := fleet.Rank{Name: "first", Started: 100, Group: "g", Rank: 1, Size: 3, Engine: "first"}
	second := fleet.Rank{Name: "second", Started: 200, Group: "g", Rank: 2, Size: 3, Engine: "second"}
	r := newRank(&Settings{Name: "self", IP: "127.0.0.1"}, Adapters{Engine: func(string) rankgroup.Engine { return stubEngine{} }})
	defer r.peers.Close()
	entry := &entryReply{ranks: []fleet.Rank{first, second}}
	r.client.Pool, r.client.Seeds = entry, []string{"entry"}
	r.registerOnce(t.Context(), r.self)
	first.Rank, second.Rank = second.Rank, first.Rank
	entry.ranks = []fleet.Rank{second, first}
	r.registerOnce(t.Context(), r.self)
	for _, want := range entry.ranks {
		if got, _ := r.findRank(want.Rank); got.Name != want.Name {
			t.Errorf("rank %d: process %q, want %q", want.Rank, got.Name, want.Name)
		}
	}
}
