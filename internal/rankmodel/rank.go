// Package rankmodel is an in-memory model of the engines of a rank group, for tests and measurements of map changes.
//
// Each rank of the group holds some of the experts of a mixture-of-experts model. The expert map assigns experts to
// ranks, and its version is called the epoch. The ranks compute in lockstep, step by step. The model covers how an
// engine loads (stages) a map, holds a step, commits or aborts an epoch, and checks fencing numbers.
package rankmodel

import (
	"slices"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Switch is a committed change of the map that takes effect at a later step.
type Switch struct{ Epoch, Step int64 }

// Rank is the state of one rank's engine. It is not safe for concurrent use.
type Rank struct {
	Step        int64 // last step begun
	MapEpoch    int64 // epoch of the map in use
	Next        *Switch
	Decided     int64   // highest epoch that was committed or aborted
	Committed   int64   // highest epoch that was committed
	Staged      []int64 // epochs that are loaded and not decided
	Hold        *port.RankHold
	Fence       int64 // highest fencing number seen
	ChecksFence bool  // refuse commands with old fencing numbers
	CannotHold  bool  // refuse to hold a step
}

// Clone returns a copy that can be changed independently of the original.
func (r *Rank) Clone() *Rank {
	c := *r
	c.Staged = slices.Clone(r.Staged)
	return &c
}

func refuse(reason string) error { return &port.RankRefusedError{Reason: reason} }

// RaiseFence records a fencing number and returns an error if it is below the highest one seen. An engine that does not
// check fencing numbers accepts any number.
func (r *Rank) RaiseFence(fence int64) error {
	if !r.ChecksFence {
		return nil
	}
	if fence < r.Fence {
		return refuse("old fencing number")
	}
	r.Fence = fence
	return nil
}

// CheckStage returns an error if the rank must not load the epoch.
func (r *Rank) CheckStage(fence, epoch int64) error {
	if err := r.RaiseFence(fence); err != nil {
		return err
	}
	if epoch <= r.Decided {
		return refuse("epoch already decided")
	}
	return nil
}

// AddStaged records that the epoch has been loaded, unless it was decided during the loading.
func (r *Rank) AddStaged(epoch int64) {
	if epoch > r.Decided && !slices.Contains(r.Staged, epoch) {
		r.Staged = append(r.Staged, epoch)
	}
}

// PlaceHold keeps the rank from beginning the step until the epoch is committed or aborted.
func (r *Rank) PlaceHold(fence, epoch, step int64) error {
	if err := r.RaiseFence(fence); err != nil {
		return err
	}
	switch {
	case r.CannotHold:
		return refuse("engine cannot hold a step")
	case epoch <= r.Decided:
		return refuse("epoch already decided")
	case !slices.Contains(r.Staged, epoch):
		return refuse("epoch not staged")
	case r.Hold != nil && r.Hold.Epoch == epoch && r.Hold.Step == step:
		return nil
	case r.Hold != nil:
		return refuse("another hold in place")
	case r.Next != nil:
		return refuse("an earlier change is not in effect yet")
	case r.Step >= step:
		return refuse("step reached")
	}
	r.Hold = &port.RankHold{Epoch: epoch, Step: step}
	return nil
}

// Commit puts the map of the held epoch into use from the held step on, and lifts the hold.
func (r *Rank) Commit(fence, epoch int64) error {
	if err := r.RaiseFence(fence); err != nil {
		return err
	}
	switch {
	case r.Committed == epoch:
		return nil
	case epoch <= r.Decided:
		return refuse("epoch already decided")
	case r.Hold == nil || r.Hold.Epoch != epoch:
		return refuse("no hold for the epoch")
	}
	r.Next = &Switch{Epoch: epoch, Step: r.Hold.Step}
	r.Committed, r.Decided, r.Hold = epoch, epoch, nil
	r.unloadUpTo(epoch)
	return nil
}

// Abort discards the epoch and all earlier ones that are staged or held. It is refused once the epoch is committed.
func (r *Rank) Abort(fence, epoch int64) error {
	if err := r.RaiseFence(fence); err != nil {
		return err
	}
	if r.Committed >= epoch {
		return refuse("epoch already committed")
	}
	r.Decided = max(r.Decided, epoch)
	if r.Hold != nil && r.Hold.Epoch <= epoch {
		r.Hold = nil
	}
	r.unloadUpTo(epoch)
	return nil
}

func (r *Rank) unloadUpTo(epoch int64) {
	r.Staged = slices.DeleteFunc(r.Staged, func(e int64) bool { return e <= epoch })
}

// MayBegin reports whether the rank may begin the step, that is, whether no hold prevents it.
func (r *Rank) MayBegin(step int64) bool { return r.Hold == nil || step < r.Hold.Step }

// Begin begins the step and returns the epoch of the map that the rank uses in it.
func (r *Rank) Begin(step int64) int64 {
	r.Step = step
	if r.Next != nil && step >= r.Next.Step {
		r.MapEpoch, r.Next = r.Next.Epoch, nil
	}
	return r.MapEpoch
}

// State returns the state as an engine reports it. Its Epoch is that of the next map if a change is committed.
func (r *Rank) State() port.RankState {
	s := port.RankState{
		Step: r.Step, Epoch: r.MapEpoch, Decided: r.Decided, Committed: r.Committed, Staged: slices.Clone(r.Staged),
		Fence: r.Fence, CanHold: !r.CannotHold, ChecksFence: r.ChecksFence,
	}
	if r.Next != nil {
		s.Epoch = r.Next.Epoch
		s.Next = &port.RankHold{Epoch: r.Next.Epoch, Step: r.Next.Step}
	}
	if r.Hold != nil {
		hold := *r.Hold
		s.Hold = &hold
	}
	return s
}
