package rankgroup

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

// The sizes and times are those of a small group of engines in use.
const (
	testRanks        = 4
	testLayers       = 2
	testExperts      = 8
	testSlotsPerRank = 4
	testStepTime     = 60 * time.Millisecond
)

var testEngine = &routetable.Engine{Experts: routetable.Experts{
	Layers: testLayers, Count: testExperts, SlotsPerRank: testSlotsPerRank, NewPerLayer: 2, ExpertBytes: 1.7e9, LinkBandwidth: 92e9,
}}

func newTestGroup(rng *rand.Rand) *expertgroup.Group {
	return expertgroup.New(rng, expertgroup.Shape{
		Ranks: testRanks, Layers: testLayers, Experts: testExperts, StepTime: testStepTime, Load: testEngine.Experts.LoadTime(),
	})
}

// testRank implements Engine for a rank of the stand-in group.
type testRank struct{ *expertgroup.Rank }

func (r testRank) Status(ctx context.Context) (Status, error) {
	if err := r.Wait(ctx); err != nil {
		return Status{}, err
	}
	s := r.Rank.Status()
	return Status{Group: "g", Epoch: s.Epoch, Rank: s.Index, Size: testRanks, Open: s.Open, StartedAtMs: 1, Step: s.Step, Map: s.Map,
		Prepared: s.Prepared, Armed: s.Armed, Held: s.Held, Sequence: s.Orders, Active: 5, Pace: 1}, nil
}

func (r testRank) Counts(ctx context.Context) (Counts, error) {
	if err := r.Wait(ctx); err != nil {
		return Counts{}, err
	}
	step, epoch, counts := r.Rank.Counts()
	return Counts{Step: step, Epoch: epoch, Total: counts}, nil
}

func (r testRank) Experts(ctx context.Context) ([][]int, error) {
	if err := r.Wait(ctx); err != nil {
		return nil, err
	}
	return r.Rank.Experts(), nil
}

// testOperations maps operations to the stand-in's names for them.
var testOperations = map[Operation]string{OpPrepare: expertgroup.Prepare, OpArm: expertgroup.Arm, OpDisarm: expertgroup.Disarm,
	OpHold: expertgroup.Hold, OpRelease: expertgroup.Release}

func (r testRank) Order(ctx context.Context, o Order) error {
	err := r.Rank.Order(ctx, expertgroup.Order{Operation: testOperations[o.Op], FencingToken: o.Fence, Epoch: o.Epoch,
		Version: o.Version, Step: o.Step, Map: o.Map})
	switch {
	case errors.Is(err, expertgroup.ErrConflict):
		return ErrConflict
	case errors.Is(err, expertgroup.ErrFenced):
		return ErrFenced
	}
	return err
}

// testLinks implements Ranks for the process beside the rank self, through the agents of the group.
type testLinks struct {
	g      *expertgroup.Group
	agents []*Agent
	// unreachable reports whether the agent of another rank cannot be reached. Its engine is then accessed directly.
	unreachable  func(rank int) bool
	self         int
	directAgents []*Agent
}

func (l *testLinks) Read(ctx context.Context, rank int, r ReadRequest) (ReadReply, error) {
	if rank != l.self && l.unreachable(rank) {
		s, err := testRank{l.g.Ranks[rank]}.Status(ctx)
		return ReadReply{Status: s}, err
	}
	return l.agents[rank].Read(ctx, r)
}

func (l *testLinks) Order(ctx context.Context, rank int, r OrderRequest) (OrderReply, error) {
	if rank != l.self && l.unreachable(rank) {
		return l.directAgents[rank].Order(ctx, r)
	}
	return l.agents[rank].Order(ctx, r)
}

func (l *testLinks) Experts(ctx context.Context, rank int) ([][]int, error) {
	return testRank{l.g.Ranks[rank]}.Experts(ctx)
}

func newTestLinks(g *expertgroup.Group, agents []*Agent, self int, unreachable func(int) bool) *testLinks {
	l := &testLinks{g: g, agents: agents, self: self, unreachable: unreachable}
	for _, r := range g.Ranks {
		l.directAgents = append(l.directAgents, NewAgent(testRank{r}, 0))
	}
	return l
}

func newAgents(g *expertgroup.Group) []*Agent {
	var out []*Agent
	for _, r := range g.Ranks {
		out = append(out, NewAgent(testRank{r}, time.Now().UnixNano()))
	}
	return out
}
