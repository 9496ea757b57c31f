package node

import (
	"context"
	"errors"
	"time"

	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// rank reaches the other ranks of its group. It implements rankgroup.Ranks.
var _ rankgroup.Ranks = (*rank)(nil)

var errUnknownRank = errors.New("rank is not known yet")

// agentTime bounds the wait for another rank's process, after which its engine is called directly.
const agentTime = 150 * time.Millisecond

func (r *rank) find(i int) (fleet.Rank, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	other, ok := r.ranks[i]
	return other, ok
}

// Read reads a rank through its own process, where the engine's answers are free.
func (r *rank) Read(ctx context.Context, i int, in rankgroup.ReadRequest) (rankgroup.ReadReply, error) {
	other, ok := r.find(i)
	if !ok {
		return rankgroup.ReadReply{}, errUnknownRank
	}
	if other.Name == r.settings.Name {
		return r.agent.Read(ctx, in)
	}
	call, cancel := context.WithTimeout(ctx, agentTime)
	defer cancel()
	var out rankgroup.ReadReply
	if err := r.peers.Call(call, other.Control, methodRead, in, &out); err == nil {
		return out, nil
	}
	// The state is needed to end a hold. Counts of a rank whose process is away are not worth their price.
	s, err := r.adapters.Engine(other.Engine).Status(ctx)
	return rankgroup.ReadReply{Status: s}, err
}

// Order gives an order to a rank.
func (r *rank) Order(ctx context.Context, i int, in rankgroup.OrderRequest) (rankgroup.OrderReply, error) {
	other, ok := r.find(i)
	if !ok {
		return rankgroup.OrderReply{}, errUnknownRank
	}
	if other.Name == r.settings.Name {
		return r.agent.Order(ctx, in)
	}
	var out rankgroup.OrderReply
	if err := r.peers.Call(ctx, other.Control, methodOrder, in, &out); err == nil {
		return out, nil
	}
	return r.directAgent(other.Engine).Order(context.WithoutCancel(ctx), in)
}

func (r *rank) directAgent(engine string) *rankgroup.Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.direct[engine]
	if a == nil {
		a = rankgroup.NewAgent(r.adapters.Engine(engine), 0)
		r.direct[engine] = a
	}
	return a
}

// Experts returns the experts that a rank holds.
func (r *rank) Experts(ctx context.Context, i int) ([][]int, error) {
	other, ok := r.find(i)
	if !ok {
		return nil, errUnknownRank
	}
	if other.Name == r.settings.Name {
		return r.engine.Experts(ctx)
	}
	var out [][]int
	if err := r.peers.Call(ctx, other.Control, methodExperts, struct{}{}, &out); err == nil {
		return out, nil
	}
	return r.adapters.Engine(other.Engine).Experts(ctx)
}
