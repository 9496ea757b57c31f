package mapswitch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Call sends a message to the participant of a rank and returns its reply.
type Call func(ctx context.Context, rank int, method string, message any) (wire.GroupReply, error)

// Options configures a Coordinator. Floor and Current may be nil; all other fields are required.
type Options struct {
	Group    string
	Ranks    int
	ID       string                 // incarnation of the local process
	Call     Call                   // must return after a bounded time
	Announce func(wire.Coordinator) // receives a new identity before it is sent to any rank
	Retry    time.Duration          // delay between two attempts to reach a rank
	Prepare  time.Duration          // time reserved for the promises before the group reaches the step of the change
	Floor    func() int64           // lower bound of coordinator numbers; nil for a lower bound of 1
	// Current returns the map in use, so that only the difference from it is sent. If it is nil, whole maps are sent.
	Current func(ctx context.Context) (port.ExpertMap, error)
}

// ErrSuperseded means that a rank obeys a newer coordinator.
var ErrSuperseded = errors.New("the group has a newer coordinator")

// ErrRefused means that a rank refused to load the map or to prepare, and that the change was aborted.
var ErrRefused = errors.New("a rank refused the change")

// Coordinator changes the map of one group by a two-phase commit. No decision depends on a timeout: a rank that does
// not answer delays the decision, and ctx is expected to end only when the process stops.
type Coordinator struct {
	opt Options

	mu     sync.Mutex
	self   wire.Coordinator // identity under which it sends messages
	status Status
}

// Status describes the group's change of the map for operators.
type Status struct {
	Coordinator wire.Coordinator `json:"coordinator"`
	Phase       Phase            `json:"phase"`
	Epoch       int64            `json:"epoch"` // epoch of the change in progress or, without one, of the last change
	Step        int64            `json:"step"`  // step of the change; 0 before the request to prepare
	Decision    *Decision        `json:"decision,omitempty"`
	Waiting     []int            `json:"waiting,omitempty"` // ranks that have not answered in this phase
}

// Phase is the phase of a change of the map.
type Phase string

// Phases of a coordinator.
const (
	PhaseRecover Phase = "recover"
	PhaseIdle    Phase = "idle"
	PhaseStage   Phase = "stage"
	PhasePrepare Phase = "prepare"
	PhaseDecide  Phase = "decide"
)

// NewCoordinator returns a coordinator. Recover must succeed before Switch is called.
func NewCoordinator(opt Options) *Coordinator {
	return &Coordinator{opt: opt, status: Status{Phase: PhaseRecover}}
}

// Status returns the present state of the change.
func (c *Coordinator) Status() Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.status
	s.Waiting = slices.Clone(s.Waiting)
	return s
}

// Recover makes all ranks refuse earlier coordinators, and completes the change that one of them may have left
// undecided. It returns the states of the ranks after that.
func (c *Coordinator) Recover(ctx context.Context) ([]port.RankState, error) {
	c.updateStatus(func(s *Status) { s.Phase = PhaseRecover })
	replies, err := c.query(ctx)
	if err != nil {
		return nil, err
	}
	c.setIdentity(wire.Coordinator{Number: nextCoordinatorNumber(replies, c.minNumber()), ID: c.opt.ID})
	replies, err = c.broadcast(ctx, wire.MethodGroupJoin, func(to wire.GroupAddress) any {
		return wire.GroupJoin{GroupAddress: to, Coordinator: c.identity()}
	}, anyReply)
	if err != nil {
		return nil, err
	}
	decision, open, err := recoveryDecision(states(replies))
	if err != nil || !open {
		c.updateStatus(func(s *Status) { s.Phase = PhaseIdle })
		return states(replies), err
	}
	return c.decide(ctx, decision)
}

// Switch puts the map into use at all ranks, or aborts the change and returns an error that wraps ErrRefused. It sets
// the map's epoch to one above all epochs that the ranks have seen. It returns the states of the ranks after the
// decision.
func (c *Coordinator) Switch(ctx context.Context, m port.ExpertMap) ([]port.RankState, error) {
	replies, err := c.query(ctx)
	if err != nil {
		return nil, err
	}
	before := states(replies)
	if err := checkCanChange(before); err != nil {
		return before, err
	}
	m.Epoch = highestEpoch(before) + 1
	rate := startStepRate(highestStep(before), time.Now())
	replies, err = c.stage(ctx, m)
	if err != nil {
		return nil, err
	}
	if !allStaged(replies, m.Epoch) {
		return c.abort(ctx, m.Epoch)
	}
	step := highestStep(states(replies)) + rate.leadSteps(highestStep(states(replies)), time.Now(), c.opt.Prepare)
	replies, err = c.prepare(ctx, m.Epoch, step)
	if err != nil {
		return nil, err
	}
	decision := switchDecision(m.Epoch, step, replies)
	if !decision.Commit {
		return c.abort(ctx, m.Epoch)
	}
	return c.decide(ctx, decision)
}

// Query returns the present states of all ranks.
func (c *Coordinator) Query(ctx context.Context) ([]port.RankState, error) {
	replies, err := c.query(ctx)
	return states(replies), err
}

func (c *Coordinator) query(ctx context.Context) ([]wire.GroupReply, error) {
	return c.broadcast(ctx, wire.MethodGroupState, func(to wire.GroupAddress) any {
		return wire.GroupQuery{GroupAddress: to}
	}, anyReply)
}

// stage makes every rank load the map and waits until all have finished loading or one refuses.
func (c *Coordinator) stage(ctx context.Context, m port.ExpertMap) ([]wire.GroupReply, error) {
	c.updateStatus(func(s *Status) { s.Phase, s.Epoch, s.Step = PhaseStage, m.Epoch, 0 })
	replies, err := c.sendStage(ctx, wire.GroupStage{Change: c.mapChange(ctx, m)}, m)
	if err != nil || anyRefused(replies) {
		return replies, err
	}
	return c.broadcast(ctx, wire.MethodGroupState, func(to wire.GroupAddress) any {
		return wire.GroupQuery{GroupAddress: to}
	}, func(r wire.GroupReply) bool { return !slices.Contains(r.State.Loading, m.Epoch) })
}

// mapChange returns the difference between the map and the one in use, or nil if the latter is not known.
func (c *Coordinator) mapChange(ctx context.Context, m port.ExpertMap) *wire.MapChange {
	if c.opt.Current == nil {
		return nil
	}
	base, err := c.opt.Current(ctx)
	if err != nil {
		return nil
	}
	return diffMaps(base, m)
}

// sendStage makes every rank start loading the map. It sends the change if there is one, and the whole map to all ranks
// if one of them cannot apply the change. Loading the same epoch again is harmless at the other ranks.
func (c *Coordinator) sendStage(ctx context.Context, request wire.GroupStage, m port.ExpertMap) ([]wire.GroupReply, error) {
	if request.Change == nil {
		request.Map = m
	}
	replies, err := c.broadcast(ctx, wire.MethodGroupStage, func(to wire.GroupAddress) any {
		message := request
		message.GroupAddress, message.Coordinator = to, c.identity()
		return message
	}, anyReply)
	if err == nil && slices.ContainsFunc(replies, func(r wire.GroupReply) bool { return r.Refusal == wire.RefusedOtherBase }) {
		return c.sendStage(ctx, wire.GroupStage{}, m)
	}
	return replies, err
}

func (c *Coordinator) prepare(ctx context.Context, epoch, step int64) ([]wire.GroupReply, error) {
	c.updateStatus(func(s *Status) { s.Phase, s.Step = PhasePrepare, step })
	return c.broadcast(ctx, wire.MethodGroupPrepare, func(to wire.GroupAddress) any {
		return wire.GroupPrepare{GroupAddress: to, Coordinator: c.identity(), Epoch: epoch, Step: step}
	}, anyReply)
}

func (c *Coordinator) abort(ctx context.Context, epoch int64) ([]port.RankState, error) {
	after, err := c.decide(ctx, Decision{Epoch: epoch})
	return after, errors.Join(err, ErrRefused)
}

// decide sends the decision to every rank and returns when all have carried it out.
func (c *Coordinator) decide(ctx context.Context, d Decision) ([]port.RankState, error) {
	c.updateStatus(func(s *Status) { s.Phase, s.Epoch, s.Decision = PhaseDecide, d.Epoch, &d })
	replies, err := c.broadcast(ctx, wire.MethodGroupDecide, func(to wire.GroupAddress) any {
		return wire.GroupDecide{GroupAddress: to, Coordinator: c.identity(), Epoch: d.Epoch, Commit: d.Commit}
	}, func(r wire.GroupReply) bool { return r.Refusal == "" })
	if err != nil {
		return nil, err
	}
	c.updateStatus(func(s *Status) { s.Phase = PhaseIdle })
	return states(replies), nil
}

// minNumber returns the lower bound of coordinator numbers.
func (c *Coordinator) minNumber() int64 {
	if c.opt.Floor == nil {
		return 1
	}
	return c.opt.Floor()
}

func (c *Coordinator) setIdentity(self wire.Coordinator) {
	c.updateStatus(func(s *Status) { s.Coordinator = self })
	c.mu.Lock()
	c.self = self
	c.mu.Unlock()
	c.opt.Announce(self)
}

func (c *Coordinator) identity() wire.Coordinator {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

func (c *Coordinator) updateStatus(change func(*Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.status)
}

func states(replies []wire.GroupReply) []port.RankState {
	out := make([]port.RankState, len(replies))
	for i, r := range replies {
		out[i] = r.State
	}
	return out
}

func anyRefused(replies []wire.GroupReply) bool {
	return slices.ContainsFunc(replies, func(r wire.GroupReply) bool { return r.Refusal != "" })
}

// allStaged reports whether every rank has loaded the epoch. A rank that has not loaded it has refused it or has failed
// to load it.
func allStaged(replies []wire.GroupReply, epoch int64) bool {
	return !slices.ContainsFunc(replies, func(r wire.GroupReply) bool { return !slices.Contains(r.State.Staged, epoch) })
}

func anyReply(wire.GroupReply) bool { return true }
