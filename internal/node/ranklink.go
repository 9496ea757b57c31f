package node

import (
	"context"
	"errors"
	"time"

	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// rank implements rankgroup.Ranks: it carries the coordinator's calls to the other ranks of the group.
var _ rankgroup.Ranks = (*rank)(nil)

var (
	errUnknownRank = errors.New("no process is known for this rank yet")
	errOtherRank   = errors.New("the engine is at another place of a group")
)

const (
	// agentTimeout bounds the wait for a reading from another rank's process. After it, the rank's engine is called
	// directly.
	agentTimeout = 150 * time.Millisecond
	// silentAgentTime is the time after an unanswered reading in which the rank's engine is called directly at once. A
	// group may be held until an order has been carried out, so orders must not wait for a suspended process.
	silentAgentTime = time.Second
)

// findRank returns the process beside rank i of the group, and false while none is known.
func (r *rank) findRank(i int) (fleet.Rank, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	other, ok := r.ranks[i]
	return other, ok
}

// knowsRank reports whether a process beside rank i is known.
func (r *rank) knowsRank(i int) bool {
	_, ok := r.findRank(i)
	return ok
}

// dataCentre returns the data centre of rank i, or nothing while no process beside it is known.
func (r *rank) dataCentre(i int) string {
	other, _ := r.findRank(i)
	return other.DataCentre
}

// Read reads the state of a rank through the process beside it, where calls to the engine cost nothing. If that process
// does not answer, Read asks the engine directly, for its status only. It fails if the engine is not that rank any more.
func (r *rank) Read(ctx context.Context, i int, in rankgroup.ReadRequest) (rankgroup.ReadReply, error) {
	other, ok := r.findRank(i)
	if !ok {
		return rankgroup.ReadReply{}, errUnknownRank
	}
	reply, err := r.readProcess(ctx, other, in)
	if s := reply.Status; err == nil && (s.Group != other.Group || s.Rank != i) {
		return rankgroup.ReadReply{}, errOtherRank
	}
	return reply, err
}

// readProcess reads the engine beside a process.
func (r *rank) readProcess(ctx context.Context, other fleet.Rank, in rankgroup.ReadRequest) (rankgroup.ReadReply, error) {
	if other.Name == r.settings.Name {
		return r.agent.Read(ctx, in)
	}
	call, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	var out rankgroup.ReadReply
	if err := r.peers.Call(call, other.Control, methodRead, in, &out); err == nil {
		r.markAgent(other.Control, true)
		return out, nil
	}
	r.markAgent(other.Control, false)
	// The status is needed to end a hold. The counts of expert choices are not worth the cost of a direct call.
	s, err := r.adapters.Engine(other.Engine).Status(ctx)
	return rankgroup.ReadReply{Status: s, Lagged: true}, err
}

// markAgent records whether another rank's process has answered a reading.
func (r *rank) markAgent(control string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.silentAgents, control)
	} else {
		r.silentAgents[control] = time.Now()
	}
}

// agentSilent reports whether another rank's process has left a reading unanswered within silentAgentTime.
func (r *rank) agentSilent(control string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.silentAgents[control]
	return ok && time.Since(at) < silentAgentTime
}

// Order sends an order to a rank's engine through the process beside it, or directly if that process does not answer.
func (r *rank) Order(ctx context.Context, i int, in rankgroup.OrderRequest) (rankgroup.OrderReply, error) {
	other, ok := r.findRank(i)
	if !ok {
		return rankgroup.OrderReply{}, errUnknownRank
	}
	if other.Name == r.settings.Name {
		return r.agent.Order(ctx, in)
	}
	var out rankgroup.OrderReply
	if !r.agentSilent(other.Control) {
		if err := r.peers.Call(ctx, other.Control, methodOrder, in, &out); err == nil {
			return out, nil
		}
	}
	return r.directAgent(other.Engine).Order(context.WithoutCancel(ctx), in)
}

// directAgent returns this process's own agent for the engine at an address. The same agent is used for all orders.
func (r *rank) directAgent(engine string) *rankgroup.Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.directAgents[engine]
	if a == nil {
		a = rankgroup.NewAgent(r.adapters.Engine(engine), 0)
		r.directAgents[engine] = a
	}
	return a
}

// Experts returns the experts that a rank holds. It asks the process beside the rank first, then its engine.
func (r *rank) Experts(ctx context.Context, i int) (rankgroup.HeldExperts, error) {
	other, ok := r.findRank(i)
	if !ok {
		return rankgroup.HeldExperts{}, errUnknownRank
	}
	if other.Name == r.settings.Name {
		return r.agent.Experts(ctx)
	}
	var out rankgroup.HeldExperts
	call, cancel := context.WithTimeout(ctx, agentTimeout)
	defer cancel()
	if !r.agentSilent(other.Control) {
		if err := r.peers.Call(call, other.Control, methodExperts, struct{}{}, &out); err == nil {
			return out, nil
		}
	}
	return r.adapters.Engine(other.Engine).Experts(ctx)
}

// ReadBranch reads several ranks through the process beside one of them.
func (r *rank) ReadBranch(ctx context.Context, relay int, in rankgroup.BranchReadRequest) (out rankgroup.BranchReadReply, err error) {
	err = r.callRelay(ctx, relay, methodReadBranch, in, &out)
	return out, err
}

// OrderBranch sends an order to several ranks through the process beside one of them.
func (r *rank) OrderBranch(ctx context.Context, relay int, in rankgroup.BranchOrderRequest) (out rankgroup.BranchOrderReply, err error) {
	err = r.callRelay(ctx, relay, methodOrderBranch, in, &out)
	return out, err
}

func (r *rank) callRelay(ctx context.Context, relay int, method string, in, out any) error {
	other, ok := r.findRank(relay)
	if !ok {
		return errUnknownRank
	}
	return r.peers.Call(ctx, other.Control, method, in, out)
}
