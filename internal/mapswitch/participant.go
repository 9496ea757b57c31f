// Package mapswitch changes the expert map of a rank group so that in every step all ranks use the same map.
//
// A rank group is a set of inference engines that compute in lockstep, step by step. Its expert map assigns the experts
// of a mixture-of-experts model to the ranks; the version of a map is called its epoch.
//
// A change is a two-phase commit. The coordinator first makes all ranks load (stage) the new map. It then asks them to
// prepare: each rank promises not to begin the step of the change until it knows the decision, and its engine holds
// that step. If all ranks promise, the coordinator commits the epoch at all ranks; otherwise it aborts the epoch.
//
// A participant runs beside every rank and is the only sender of commands to its engine. The coordinator runs beside
// rank 0. Neither keeps anything on disk: a restarted participant finds its promise in the engine, and a restarted
// coordinator reads the state of a change from the ranks. Commands to engines carry fencing numbers, with which an
// engine refuses commands that were sent before a newer coordinator or participant took over.
package mapswitch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// fenceRestartBits is the number of low bits of a fencing number. They count the restarts of a participant under one
// coordinator. The remaining bits are the coordinator's number.
const fenceRestartBits = 16

// Learn asks the process beside rank 0 for the identity of the present coordinator.
type Learn func(ctx context.Context) (wire.Coordinator, error)

// Participant carries out the commands of coordinators at one rank's engine, one command at a time.
type Participant struct {
	address     wire.GroupAddress
	engine      port.RankEngine
	learn       Learn
	commandSlot chan struct{} // holds one element while a command runs

	mu     sync.Mutex
	known  wire.Coordinator // newest coordinator that the participant knows
	learnt bool             // whether the participant has learnt a coordinator since its start
	fence  int64            // fencing number of the commands; 0 until the engine's number has been read
}

// NewParticipant returns a participant that does not know the present coordinator. It obeys no command until it has
// learnt the coordinator.
func NewParticipant(address wire.GroupAddress, engine port.RankEngine, learn Learn) *Participant {
	return &Participant{address: address, engine: engine, learn: learn, commandSlot: make(chan struct{}, 1)}
}

// SetCoordinator tells the participant the present coordinator. The coordinator calls it for the participant beside
// rank 0, which is in the same process.
func (p *Participant) SetCoordinator(c wire.Coordinator) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.learnt || p.known.Less(c) {
		p.known = c
	}
	p.learnt = true
}

// Coordinator returns the newest coordinator that the participant knows, and false if it has not learnt one.
func (p *Participant) Coordinator() (wire.Coordinator, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known, p.learnt
}

// Handle carries out a message of any type, for a coordinator in the same process.
func (p *Participant) Handle(ctx context.Context, message any) (wire.GroupReply, error) {
	switch m := message.(type) {
	case wire.GroupQuery:
		return p.State(ctx, m)
	case wire.GroupJoin:
		return p.Join(ctx, m)
	case wire.GroupStage:
		return p.Stage(ctx, m)
	case wire.GroupPrepare:
		return p.Prepare(ctx, m)
	case wire.GroupDecide:
		return p.Decide(ctx, m)
	default:
		return wire.GroupReply{}, fmt.Errorf("unknown message %T", message)
	}
}

// State returns the state of the rank. It accepts queries of any coordinator.
func (p *Participant) State(ctx context.Context, q wire.GroupQuery) (wire.GroupReply, error) {
	if q.GroupAddress != p.address {
		return p.refuse(wire.RefusedAddress, p.address), nil
	}
	if q.CoordinatorOnly {
		return p.reply(port.RankState{}), nil
	}
	return p.runExclusive(ctx, func(ctx context.Context) (wire.GroupReply, error) {
		state, err := p.engine.State(ctx)
		return p.reply(state), err
	})
}

// Join makes the rank refuse all coordinators that are older than the sender.
func (p *Participant) Join(ctx context.Context, m wire.GroupJoin) (wire.GroupReply, error) {
	return p.runCommand(ctx, m.GroupAddress, m.Coordinator, true, func(ctx context.Context) (wire.GroupReply, error) {
		fence, err := p.commandFence(ctx)
		if err != nil {
			return wire.GroupReply{}, err
		}
		err = p.engine.Fence(ctx, fence)
		return p.verifyCommand(ctx, err, func(port.RankState) bool { return err == nil })
	})
}

// Stage starts loading a map. The state in the reply lists the epoch under Loading or Staged.
func (p *Participant) Stage(ctx context.Context, m wire.GroupStage) (wire.GroupReply, error) {
	return p.runCommand(ctx, m.GroupAddress, m.Coordinator, false, func(ctx context.Context) (wire.GroupReply, error) {
		fence, err := p.commandFence(ctx)
		if err != nil {
			return wire.GroupReply{}, err
		}
		next, err := p.fullMap(ctx, m)
		if errors.Is(err, errOtherBase) {
			return p.refuse(wire.RefusedOtherBase, err), nil
		}
		if err != nil {
			return wire.GroupReply{}, err
		}
		err = p.engine.Stage(ctx, fence, next)
		return p.verifyCommand(ctx, err, func(s port.RankState) bool { return isStagedOrLoading(s, next.Epoch) })
	})
}

// fullMap returns the map of the message, or the result of applying its change to the map in use.
func (p *Participant) fullMap(ctx context.Context, m wire.GroupStage) (port.ExpertMap, error) {
	if m.Change == nil {
		return m.Map, nil
	}
	current, err := p.engine.Map(ctx)
	if err != nil {
		return port.ExpertMap{}, err
	}
	return applyChange(current, m.Change)
}

// Prepare places a hold in the engine. A reply without a refusal is the rank's promise not to begin the step until the
// decision.
func (p *Participant) Prepare(ctx context.Context, m wire.GroupPrepare) (wire.GroupReply, error) {
	return p.runCommand(ctx, m.GroupAddress, m.Coordinator, false, func(ctx context.Context) (wire.GroupReply, error) {
		fence, err := p.commandFence(ctx)
		if err != nil {
			return wire.GroupReply{}, err
		}
		err = p.engine.Hold(ctx, fence, m.Epoch, m.Step)
		return p.verifyCommand(ctx, err, func(s port.RankState) bool { return hasHold(s, m.Epoch, m.Step) })
	})
}

// Decide commits or aborts an epoch at the engine.
func (p *Participant) Decide(ctx context.Context, m wire.GroupDecide) (wire.GroupReply, error) {
	return p.runCommand(ctx, m.GroupAddress, m.Coordinator, false, func(ctx context.Context) (wire.GroupReply, error) {
		fence, err := p.commandFence(ctx)
		if err != nil {
			return wire.GroupReply{}, err
		}
		if m.Commit {
			err = p.engine.Commit(ctx, fence, m.Epoch)
		} else {
			err = p.engine.Abort(ctx, fence, m.Epoch)
		}
		return p.verifyCommand(ctx, err, func(s port.RankState) bool { return hasDecided(s, m.Epoch, m.Commit) })
	})
}

// runCommand runs do if the rank obeys the coordinator. Only a coordinator that joins may be newer than the known one.
func (p *Participant) runCommand(ctx context.Context, to wire.GroupAddress, c wire.Coordinator, joins bool,
	do func(context.Context) (wire.GroupReply, error)) (wire.GroupReply, error) {
	if to != p.address {
		return p.refuse(wire.RefusedAddress, p.address), nil
	}
	return p.runExclusive(ctx, func(ctx context.Context) (wire.GroupReply, error) {
		if err := p.ensureLearnt(ctx); err != nil {
			return p.refuse(wire.RefusedNotLearnt, err), nil
		}
		if refusal := p.admit(c, joins); refusal != "" {
			return p.refuse(refusal, c), nil
		}
		return do(ctx)
	})
}

// runExclusive runs do when no other command runs. A command that has started runs to its end even if the coordinator
// stops waiting: an abandoned command could arrive after a later one at an engine that ignores fencing numbers.
func (p *Participant) runExclusive(ctx context.Context, do func(context.Context) (wire.GroupReply, error)) (wire.GroupReply, error) {
	select {
	case p.commandSlot <- struct{}{}:
	case <-ctx.Done():
		return wire.GroupReply{}, ctx.Err()
	}
	defer func() { <-p.commandSlot }()
	if ctx.Err() != nil {
		return wire.GroupReply{}, ctx.Err()
	}
	return do(context.WithoutCancel(ctx))
}

// ensureLearnt asks for the present coordinator if the participant does not know it.
func (p *Participant) ensureLearnt(ctx context.Context) error {
	if _, ok := p.Coordinator(); ok {
		return nil
	}
	c, err := p.learn(ctx)
	if err != nil {
		return err
	}
	p.SetCoordinator(c)
	return nil
}

// admit returns the reason why the rank refuses the coordinator, or an empty string if the rank obeys it. A coordinator
// that joins becomes the known one.
func (p *Participant) admit(c wire.Coordinator, joins bool) wire.GroupRefusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.Less(p.known):
		return wire.RefusedOlder
	case c == p.known:
		return ""
	case !joins:
		return wire.RefusedNotJoined
	}
	p.known = c
	return ""
}

// commandFence returns the fencing number of the next command. It is at least the lowest number of the known
// coordinator, and above all numbers that the participant used before its last restart.
func (p *Participant) commandFence(ctx context.Context) (int64, error) {
	p.mu.Lock()
	fence, number := p.fence, p.known.Number
	p.mu.Unlock()
	if fence == 0 {
		state, err := p.engine.State(ctx)
		if err != nil {
			return 0, err
		}
		fence = state.Fence + 1
	}
	fence = max(fence, number<<fenceRestartBits)
	p.mu.Lock()
	p.fence = fence
	p.mu.Unlock()
	return fence, nil
}

// verifyCommand reads the engine's state after a command and checks whether the command took effect. err is the error
// of the command; it is ignored if the state shows the effect.
func (p *Participant) verifyCommand(ctx context.Context, err error, done func(port.RankState) bool) (wire.GroupReply, error) {
	state, stateErr := p.engine.State(ctx)
	if stateErr != nil {
		return wire.GroupReply{}, errors.Join(err, stateErr)
	}
	if done(state) {
		return p.reply(state), nil
	}
	var refused *port.RankRefusedError
	if errors.As(err, &refused) {
		r := p.refuse(wire.RefusedByEngine, refused.Reason)
		r.State = state
		return r, nil
	}
	return wire.GroupReply{}, fmt.Errorf("the engine's state does not show the command: %w", errors.Join(err, errNoEffect))
}

// errNoEffect means that the state of the engine does not show the effect of a command.
var errNoEffect = errors.New("no effect yet")

func (p *Participant) reply(state port.RankState) wire.GroupReply {
	r := wire.GroupReply{State: state}
	if c, ok := p.Coordinator(); ok {
		r.Coordinator = &c
	}
	return r
}

func (p *Participant) refuse(refusal wire.GroupRefusal, detail any) wire.GroupReply {
	r := p.reply(port.RankState{})
	r.Refusal, r.Detail = refusal, fmt.Sprint(detail)
	return r
}

func isStagedOrLoading(s port.RankState, epoch int64) bool {
	return slices.Contains(s.Staged, epoch) || slices.Contains(s.Loading, epoch)
}

func hasHold(s port.RankState, epoch, step int64) bool {
	return s.Hold != nil && *s.Hold == port.RankHold{Epoch: epoch, Step: step}
}

func hasDecided(s port.RankState, epoch int64, commit bool) bool {
	if commit {
		return s.Committed == epoch
	}
	return s.Decided >= epoch && s.Committed != epoch
}
