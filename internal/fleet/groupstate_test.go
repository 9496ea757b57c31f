package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// groupEntries answers the states of a group as entries do, and counts the states with ranks.
type groupEntries struct {
	mu        sync.Mutex
	members   map[string]*member
	withRanks int
	lose      func() bool
}

func (g *groupEntries) Call(ctx context.Context, addr, _ string, in, out any) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lose != nil && g.lose() {
		return errLost
	}
	s := in.(GroupState)
	if len(s.Ranks) > 0 {
		g.withRanks++
	}
	known := g.members[addr].reportGroup(s)
	*out.(*GroupReply) = GroupReply{NeedsRanks: !known}
	if g.lose != nil && g.lose() {
		return errLost
	}
	return nil
}

// restart replaces an entry by one that knows no ranks.
func (g *groupEntries) restart(addr string) { g.members[addr] = &member{ranksSeq: map[string]int64{}} }

// TestRanksAreSentOnce guards against coordinators that send the ranks of a large group to each entry again and again,
// and against entries that do not get them after a restart, after a lost call or after a change.
func TestRanksAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries = 52
		g := &groupEntries{members: map[string]*member{}}
		client := &RankClient{Pool: g}
		for i := range entries {
			addr := fmt.Sprint("c", i)
			g.restart(addr)
			client.entries = append(client.entries, addr)
		}
		seq, ranksSeq := int64(0), int64(1)
		send := func(n int) {
			for range n {
				seq++
				client.SendGroupState(t.Context(), GroupState{Group: "g", Seq: seq, RanksSeq: ranksSeq, Ranks: []RankState{{Engine: "e"}}})
				synctest.Wait()
			}
		}
		checkAll := func(what string) {
			t.Helper()
			for addr, m := range g.members {
				if m.ranksSeq["g"] != ranksSeq {
					t.Errorf("%s: %s has the ranks %d, want %d", what, addr, m.ranksSeq["g"], ranksSeq)
				}
			}
		}
		send(20)
		checkAll("start")
		if g.withRanks != entries {
			t.Errorf("the ranks were sent %d times to %d entries", g.withRanks, entries)
		}
		g.restart("c7")
		send(2) // the answer to the first one says that the ranks are missing
		checkAll("restart")
		ranksSeq = seq + 1
		send(1)
		checkAll("change")
		rng := rand.New(rand.NewPCG(1, 1))
		g.lose = func() bool { return rng.IntN(3) == 0 }
		g.restart("c8")
		ranksSeq = seq + 1
		send(20)
		g.lose = nil
		send(2)
		checkAll("lost calls")
		time.Sleep(callTimeout)
	})
}
