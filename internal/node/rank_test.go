package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// stubEngine is the engine of rank 1, and answers every call at once.
type stubEngine struct{ rankgroup.Engine }

func (stubEngine) Status(context.Context) (rankgroup.Status, error) {
	return rankgroup.Status{Epoch: 3, Rank: 1}, nil
}
func (stubEngine) Experts(context.Context) (rankgroup.HeldExperts, error) {
	return rankgroup.HeldExperts{ByLayer: [][]int{{1}}}, nil
}
func (stubEngine) Order(context.Context, rankgroup.Order) error { return nil }

// TestSuspendedProcessOfRank guards against a group that stays held because the process beside one rank is suspended:
// its connections stay open and nothing answers on them, so that the calls to its engine get no time.
func TestSuspendedProcessOfRank(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections in the kernel, and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	r := newRank(&Settings{Name: "self", IP: "127.0.0.1"}, Adapters{Engine: func(string) rankgroup.Engine { return stubEngine{} }})
	defer r.peers.Close()
	r.ranks[1] = fleet.Rank{Name: "other", Rank: 1, Control: l.Addr().String(), Engine: "e"}
	ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
	defer cancel()
	if experts, err := r.Experts(ctx, 1); err != nil || len(experts.ByLayer) != 1 {
		t.Errorf("experts %v, error %v", experts, err)
	}
	if reply, err := r.Read(t.Context(), 1, rankgroup.ReadRequest{}); err != nil || reply.Status.Epoch != 3 || !reply.Lagged {
		t.Errorf("reading %+v, error %v", reply, err)
	}
	start := time.Now()
	reply, err := r.Order(t.Context(), 1, rankgroup.OrderRequest{Order: rankgroup.Order{Op: rankgroup.OpRelease}, Fence: 1, TimeoutMs: 500})
	if err != nil || reply.Result != rankgroup.ResultDone {
		t.Errorf("order %v, error %v", reply.Result, err)
	}
	if d := time.Since(start); d > 100*time.Millisecond {
		t.Errorf("the order took %v", d)
	}
}

// placedEngine is an engine that reports a place in a group.
type placedEngine struct {
	rankgroup.Engine
	size, rank int
}

func (e placedEngine) Status(context.Context) (rankgroup.Status, error) {
	return rankgroup.Status{Group: "g", Size: e.size, Rank: e.rank}, nil
}

// TestImpossiblePlaceInGroup guards against a faulty engine that ends the process beside it, or uses up its memory, by a rank
// outside of its group or a group of any size.
func TestImpossiblePlaceInGroup(t *testing.T) {
	for _, c := range []struct {
		size, rank int
		ok         bool
	}{{8, 0, true}, {8, 7, true}, {8, 8, false}, {8, -1, false}, {0, 0, false}, {-3, -4, false}, {1 << 50, 1, false}} {
		r := newRank(&Settings{Name: "self", IP: "127.0.0.1"}, Adapters{Engine: func(string) rankgroup.Engine {
			return placedEngine{size: c.size, rank: c.rank}
		}})
		if self, ok := r.identify(t.Context()); ok != c.ok {
			t.Errorf("rank %d of %d: %+v, %v", c.rank, c.size, self, ok)
		}
		r.peers.Close()
	}
}

// TestGroupWithRanksOfOthersIsOpen guards against a group that gets no requests because some of its engines have no
// camphorbank process beside them, and against requests for a group with a rank that has stopped answering. With ten
// engines for each VM of camphorbank, the first fault left all streams unserved.
func TestGroupWithRanksOfOthersIsOpen(t *testing.T) {
	open := rankgroup.Status{Group: "g", Epoch: 1, Size: 2, Open: true}
	broken := open
	broken.Open = false
	for name, c := range map[string]struct {
		known  []int
		status []rankgroup.Status
		want   bool
	}{
		"all answer":                     {[]int{0, 1}, []rankgroup.Status{open, open}, true},
		"one has no camphorbank process": {[]int{0}, []rankgroup.Status{open, {}}, true},
		"one has stopped answering":      {[]int{0, 1}, []rankgroup.Status{open, {}}, false},
		"the group is broken":            {[]int{0}, []rankgroup.Status{broken, {}}, false},
		"one of two says it is broken":   {[]int{0, 1}, []rankgroup.Status{open, broken}, false},
		"the own engine does not answer": {[]int{0}, []rankgroup.Status{{}, {}}, false},
	} {
		r := &rank{ranks: map[int]fleet.Rank{}}
		for _, i := range c.known {
			r.ranks[i] = fleet.Rank{Rank: i}
		}
		out, due := r.groupState(fleet.Rank{Group: "g"}, rankgroup.Report{Term: 1, Status: c.status}, time.Now())
		if !due || out.Open != c.want {
			t.Errorf("%s: open %v, want %v", name, out.Open, c.want)
		}
	}
}
