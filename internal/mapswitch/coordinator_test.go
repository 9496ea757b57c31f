package mapswitch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rankmodel"
	"github.com/camphorbank/camphorbank/internal/wire"
)

var groupShape = expertmap.Shape{Ranks: 4, Layers: 1, Experts: 8, SlotsPerRank: 3}

// testGroup is a group of engines and participants in this process. Messages to the participants and their replies can
// be lost.
type testGroup struct {
	*rankmodel.Group
	participants []*Participant

	mu            sync.Mutex
	rng           *rand.Rand
	lossShare     float64 // share of messages that are lost, and share of replies that are lost
	droppedMethod string  // method whose messages are all lost
}

func newTestGroup(t *testing.T, opt rankmodel.Options) *testGroup {
	opt.Shape, opt.StepTime, opt.ReportInterval = groupShape, time.Millisecond, time.Second
	g := &testGroup{Group: rankmodel.NewGroup(opt), rng: rand.New(rand.NewPCG(5, 5))}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { g.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for r := range groupShape.Ranks {
		g.participants = append(g.participants, NewParticipant(wire.GroupAddress{Group: "g", Rank: r}, rankmodel.Engine{Group: g.Group, Rank: r},
			func(context.Context) (wire.Coordinator, error) {
				c, ok := g.participants[0].Coordinator()
				if !ok {
					return c, errors.New("not known yet")
				}
				return c, nil
			}))
	}
	return g
}

func (g *testGroup) newCoordinator(id string) *Coordinator {
	return NewCoordinator(Options{Group: "g", Ranks: groupShape.Ranks, ID: id, Call: g.call, Announce: g.participants[0].SetCoordinator,
		Retry: time.Millisecond, Prepare: 50 * time.Millisecond})
}

var errLost = errors.New("lost")

// loses draws whether a message of the method is lost. The empty method stands for a reply.
func (g *testGroup) loses(method string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return (method != "" && method == g.droppedMethod) || g.rng.Float64() < g.lossShare
}

func (g *testGroup) call(ctx context.Context, rank int, method string, message any) (wire.GroupReply, error) {
	if g.loses(method) {
		return wire.GroupReply{}, errLost
	}
	reply, err := g.participants[rank].Handle(ctx, message)
	if g.loses("") {
		return wire.GroupReply{}, errLost
	}
	return reply, err
}

// nextMap returns a map that differs from that of expertmap.RoundRobin.
func nextMap() port.ExpertMap {
	return port.ExpertMap{Slots: [][][]int{{{7, 6, 0}, {5, 4, 0}, {3, 2, 0}, {1, 2, 3}}}}
}

// waitEpoch waits until all ranks have begun a step with the epoch, and checks that no step had two maps. Until the last
// rank has begun it, the next change is refused with ErrPending.
func (g *testGroup) waitEpoch(t *testing.T, epoch int64) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		r := g.Record()
		if len(r.Mixed) > 0 {
			t.Fatalf("steps %v had two maps", r.Mixed)
		}
		if r.Epoch == epoch && g.allUse(epoch) {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("epoch %d not in use by all ranks: %+v", epoch, r)
		}
	}
}

// allUse reports whether the epoch is the one in use at all ranks, and no change is pending at any of them.
func (g *testGroup) allUse(epoch int64) bool {
	for r := range groupShape.Ranks {
		if s := g.State(r); s.Epoch != epoch || s.Next != nil {
			return false
		}
	}
	return true
}

// TestSwitchUnderLossAndRestarts guards against three faults: a change that fails if a message is lost, a restarted
// participant that forgets its promise or obeys commands before it knows the coordinator, and a coordinator that does
// not complete the change of its predecessor.
func TestSwitchUnderLossAndRestarts(t *testing.T) {
	for _, checks := range []bool{true, false} {
		g := newTestGroup(t, rankmodel.Options{ChecksFence: checks})
		g.lossShare = 0.3
		ctx := context.Background()
		first := g.newCoordinator("first")
		if _, err := first.Recover(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := first.Switch(ctx, nextMap()); err != nil {
			t.Fatal(err)
		}
		g.waitEpoch(t, 1)

		// The coordinator stops after all ranks have promised and before any rank receives the decision. Two
		// participants restart before the next coordinator starts.
		g.mu.Lock()
		g.droppedMethod = wire.MethodGroupDecide
		g.mu.Unlock()
		cut, cancel := context.WithCancel(ctx)
		ended := make(chan error)
		go func() { _, err := first.Switch(cut, expertmap.RoundRobin(groupShape)); ended <- err }()
		for first.Status().Phase != PhaseDecide {
			time.Sleep(time.Millisecond)
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Fatalf("interrupted switch: %v", err)
		}
		g.mu.Lock()
		g.droppedMethod = ""
		g.mu.Unlock()
		for _, r := range []int{0, 2} {
			old := g.participants[r]
			g.participants[r] = NewParticipant(old.address, old.engine, old.learn)
		}
		stale := wire.GroupDecide{GroupAddress: g.participants[2].address, Coordinator: first.identity(), Epoch: 2, Commit: true}
		if reply, err := g.participants[2].Decide(ctx, stale); err != nil || reply.Refusal != wire.RefusedNotLearnt {
			t.Errorf("restarted participant: %+v, %v", reply, err)
		}
		second := g.newCoordinator("second")
		after, err := second.Recover(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for r, s := range after {
			if s.Decided != 2 || s.Committed != 1 || s.Hold != nil {
				t.Errorf("rank %d after recovery: %+v", r, s)
			}
		}
		if _, err := first.Switch(ctx, nextMap()); !errors.Is(err, ErrSuperseded) {
			t.Errorf("switch by the old coordinator: %v", err)
		}
		if _, err := second.Switch(ctx, expertmap.RoundRobin(groupShape)); err != nil {
			t.Fatal(err)
		}
		g.waitEpoch(t, 3)
	}
}

// TestSwitchRefused guards against a change that continues although an engine cannot load the map or cannot hold a
// step.
func TestSwitchRefused(t *testing.T) {
	ctx := context.Background()
	g := newTestGroup(t, rankmodel.Options{})
	c := g.newCoordinator("c")
	if _, err := c.Recover(ctx); err != nil {
		t.Fatal(err)
	}
	if after, err := c.Switch(ctx, port.ExpertMap{}); !errors.Is(err, ErrRefused) || after[0].Decided != 1 {
		t.Errorf("map of the wrong size: %v, %+v", err, after)
	}
	g = newTestGroup(t, rankmodel.Options{CannotHold: true})
	c = g.newCoordinator("c")
	if _, err := c.Recover(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Switch(ctx, nextMap()); !errors.Is(err, ErrCannotHold) {
		t.Errorf("engine that cannot hold: %v", err)
	}
}

// TestRecoveryDecision guards against a recovery that aborts an epoch that a rank has committed, commits an epoch that
// no rank has committed, or continues after ranks have diverged.
func TestRecoveryDecision(t *testing.T) {
	held := port.RankState{Hold: &port.RankHold{Epoch: 4, Step: 9}, Staged: []int64{4}, Committed: 3, Decided: 3, Epoch: 3}
	idle := port.RankState{Committed: 3, Decided: 3, Epoch: 3}
	committed := port.RankState{Committed: 4, Decided: 4, Epoch: 4}
	aborted := port.RankState{Committed: 3, Decided: 4, Epoch: 3}
	for name, c := range map[string]struct {
		states []port.RankState
		want   Decision
		open   bool
		err    error
	}{
		"committed somewhere":  {[]port.RankState{held, committed, held}, Decision{4, true}, true, nil},
		"promise missing":      {[]port.RankState{held, idle, held}, Decision{4, false}, true, nil},
		"aborted somewhere":    {[]port.RankState{held, aborted, held}, Decision{4, false}, true, nil},
		"all promised":         {[]port.RankState{held, held, held}, Decision{4, false}, true, nil},
		"nothing open":         {[]port.RankState{idle, idle, idle}, Decision{3, true}, false, nil},
		"all aborted":          {[]port.RankState{aborted, aborted, aborted}, Decision{4, false}, false, nil},
		"diverged":             {[]port.RankState{committed, aborted, held}, Decision{}, false, ErrDiverged},
		"engine lost its map":  {[]port.RankState{committed, {}, committed}, Decision{4, true}, true, nil},
		"nothing ever changed": {[]port.RankState{{}, {}, {}}, Decision{0, true}, false, nil},
	} {
		got, open, err := recoveryDecision(c.states)
		if got != c.want || open != c.open || !errors.Is(err, c.err) {
			t.Errorf("%s: %+v, open %t, error %v", name, got, open, err)
		}
	}
}

// TestCheckCanChange guards against a change in a group that has diverged, that cannot hold a step, or that has not
// reached the step of the last change. In the last case, a rank that is one step behind would skip the map of the last
// change.
func TestCheckCanChange(t *testing.T) {
	good := port.RankState{Epoch: 3, CanHold: true}
	for name, c := range map[string]struct {
		edit func(*port.RankState)
		want error
	}{
		"ready":       {func(*port.RankState) {}, nil},
		"pending":     {func(s *port.RankState) { s.Next = &port.RankHold{Epoch: 3, Step: 9} }, ErrPending},
		"diverged":    {func(s *port.RankState) { s.Epoch = 2 }, ErrDiverged},
		"cannot hold": {func(s *port.RankState) { s.CanHold = false }, ErrCannotHold},
	} {
		states := []port.RankState{good, good, good}
		c.edit(&states[1])
		if err := checkCanChange(states); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
