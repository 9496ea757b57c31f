package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/adapter/rankhttp"
	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/mapswitch"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// groupCallTimeout bounds one call to a rank or its engine. No decision about a change depends on it: the coordinator
	// sends a message that got no answer again.
	groupCallTimeout = 2 * time.Second
	// groupRetryInterval is the delay before a message to a rank is sent again, and before the group is taken over again.
	groupRetryInterval = 100 * time.Millisecond
	// groupPrepareTime is the time reserved for the promises of all ranks before the group reaches the step of a change.
	// It covers a round trip between data centres and a stalled engine command.
	groupPrepareTime = time.Second
	// groupPollInterval is the interval between reads of the engine's state and of its popularity report.
	groupPollInterval = 250 * time.Millisecond
)

// rankGroup is the part of a local process whose target is a rank of a rank group: a set of engines that compute one
// model in lockstep.
type rankGroup struct {
	d           *daemon
	address     wire.GroupAddress
	engine      port.RankEngine
	participant *mapswitch.Participant
	balancer    *balancer // nil except in the local process of rank 0

	mu    sync.Mutex
	state port.RankState // as last read from the engine
}

// newRankGroup returns nil if the target belongs to no group.
func (d *daemon) newRankGroup() *rankGroup {
	t := d.settings.Target
	if t.Group == "" {
		return nil
	}
	g := &rankGroup{d: d, address: wire.GroupAddress{Group: t.Group, Rank: t.Rank}, engine: rankhttp.New(t.URL)}
	g.participant = mapswitch.NewParticipant(g.address, g.engine, g.askCoordinator)
	if t.Rank == 0 {
		g.balancer = &balancer{group: g}
	}
	return g
}

// run reads the engine's state periodically until ctx ends. For rank 0 it also runs the balancer.
func (g *rankGroup) run(ctx context.Context) {
	if g.balancer != nil {
		go g.balancer.run(ctx)
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, groupCallTimeout)
		reply, err := g.participant.State(callCtx, wire.GroupQuery{GroupAddress: g.address})
		cancel()
		if err == nil {
			g.mu.Lock()
			g.state = reply.State
			g.mu.Unlock()
		}
		sleep(ctx, groupPollInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// registerHandlers registers the group's methods of the control protocol.
func (g *rankGroup) registerHandlers(s *peer.Server) {
	s.Handle(wire.MethodGroupState, peer.TypedHandler(g.participant.State))
	s.Handle(wire.MethodGroupJoin, peer.TypedHandler(g.participant.Join))
	s.Handle(wire.MethodGroupStage, peer.TypedHandler(g.participant.Stage))
	s.Handle(wire.MethodGroupPrepare, peer.TypedHandler(g.participant.Prepare))
	s.Handle(wire.MethodGroupDecide, peer.TypedHandler(g.participant.Decide))
	s.Handle(wire.MethodGroupPlan, peer.TypedHandler(g.dryRun))
}

var errNotRankZero = errors.New("the process beside rank 0 of the group plans its map, and this is not it")

// dryRun answers a peer with the change of the map that would be made now.
func (g *rankGroup) dryRun(ctx context.Context, q wire.GroupPlan) (status.DryRun, error) {
	if g.balancer == nil || q.Group != g.address.Group {
		return status.DryRun{}, errNotRankZero
	}
	p, err := g.balancer.planNow(ctx)
	if err != nil {
		return status.DryRun{}, err
	}
	return status.DryRun{
		Group: q.Group, GroupPlan: planStatus(&p), SkewBefore: p.SkewBefore,
		Listed: p.Moves[:min(len(p.Moves), status.MaxListedMoves)],
	}, nil
}

// handlePlan serves the dry run of a group's next map change to operators. It asks the local process of rank 0 for it.
func (d *daemon) handlePlan(w http.ResponseWriter, r *http.Request) {
	group := r.URL.Query().Get("group")
	vm, ok := d.rankVM(group, 0)
	if !ok {
		http.Error(w, fmt.Sprintf("the VM list has no rank 0 of a group %q", group), http.StatusNotFound)
		return
	}
	plan, err := peerQuery[status.DryRun](d, wire.MethodGroupPlan, wire.GroupPlan{Group: group})(r.Context(), vm.Control)
	if err != nil {
		http.Error(w, vm.Name+": "+err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, plan)
}

// rankVM returns the VM of a rank, or false if the VM list has none.
func (d *daemon) rankVM(group string, rank int) (wire.VM, bool) {
	for _, vm := range d.view.VMs() {
		if vm.Role == wire.RoleTarget && vm.Group == group && vm.Rank == rank && group != "" {
			return vm, true
		}
	}
	return wire.VM{}, false
}

var errNoRank = errors.New("the VM list has no live VM for the rank")

// call sends a message to the participant of a rank and returns its reply. The process's own participant is called
// directly.
func (g *rankGroup) call(ctx context.Context, rank int, method string, message any) (reply wire.GroupReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, groupCallTimeout)
	defer cancel()
	if rank == g.address.Rank {
		return g.participant.Handle(ctx, message)
	}
	vm, ok := g.d.rankVM(g.address.Group, rank)
	if !ok {
		return reply, fmt.Errorf("rank %d of group %s: %w", rank, g.address.Group, errNoRank)
	}
	err = g.d.peerPool.Call(ctx, vm.Control, method, message, &reply)
	return reply, err
}

var errNoCoordinator = errors.New("the coordinator has not begun")

// askCoordinator asks the local process of rank 0 for the current coordinator. In that process itself it returns an
// error, since the coordinator there announces itself to the participant.
func (g *rankGroup) askCoordinator(ctx context.Context) (wire.Coordinator, error) {
	if g.address.Rank == 0 {
		return wire.Coordinator{}, errNoCoordinator
	}
	q := wire.GroupQuery{GroupAddress: wire.GroupAddress{Group: g.address.Group}, CoordinatorOnly: true}
	reply, err := g.call(ctx, 0, wire.MethodGroupState, q)
	switch {
	case err != nil:
		return wire.Coordinator{}, err
	case reply.Refusal != "" || reply.Coordinator == nil:
		return wire.Coordinator{}, errNoCoordinator
	}
	return *reply.Coordinator, nil
}

// config returns the group's section of the configuration in force and the preset in force. Both are nil if there is no
// configuration or it has no such group.
func (g *rankGroup) config() (*config.Group, *config.Preset) {
	snap := g.d.config.Current()
	if snap == nil {
		return nil, nil
	}
	for i := range snap.Document.Groups {
		if snap.Document.Groups[i].Name == g.address.Group {
			return &snap.Document.Groups[i], snap.Preset()
		}
	}
	return nil, nil
}

// status returns the group's part of the status report for operators.
func (g *rankGroup) status() *status.Group {
	g.mu.Lock()
	state := g.state
	g.mu.Unlock()
	s := &status.Group{Name: g.address.Group, Rank: g.address.Rank, Epoch: state.Epoch, Step: state.Step}
	if state.Hold != nil {
		s.HoldStep = state.Hold.Step
	}
	if g.balancer != nil {
		g.balancer.addStatus(s)
	}
	return s
}

// log returns a log entry with the fields that identify the rank.
func (g *rankGroup) log() *log.Entry {
	return log.WithFields(log.Fields{"group": g.address.Group, "rank": g.address.Rank})
}
