package rankmodel

import (
	"context"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Engine implements port.RankEngine for one rank of a Group, without a network connection.
type Engine struct {
	Group *Group
	Rank  int
}

// State returns the state of the rank.
func (e Engine) State(context.Context) (port.RankState, error) { return e.Group.State(e.Rank), nil }

// Map returns the rank's map: the one it uses, or the one it has committed for a later step.
func (e Engine) Map(context.Context) (port.ExpertMap, error) { return e.Group.Map(e.Rank), nil }

// Popularity returns the group's latest popularity report that is not withheld.
func (e Engine) Popularity(context.Context) (port.Popularity, error) {
	return e.Group.Popularity(), nil
}

// Fence raises the rank's fencing number.
func (e Engine) Fence(_ context.Context, fence int64) error {
	return e.Group.Do(e.Rank, func(r *Rank) error { return r.RaiseFence(fence) })
}

// Stage starts loading a map at the rank.
func (e Engine) Stage(_ context.Context, fence int64, m port.ExpertMap) error {
	return e.Group.Stage(e.Rank, fence, m)
}

// Hold keeps the rank from beginning the step until the epoch is committed or aborted.
func (e Engine) Hold(_ context.Context, fence, epoch, step int64) error {
	return e.Group.Do(e.Rank, func(r *Rank) error { return r.PlaceHold(fence, epoch, step) })
}

// Commit commits the epoch for which the rank has a hold.
func (e Engine) Commit(_ context.Context, fence, epoch int64) error {
	return e.Group.Do(e.Rank, func(r *Rank) error { return r.Commit(fence, epoch) })
}

// Abort discards an epoch that the rank has not committed.
func (e Engine) Abort(_ context.Context, fence, epoch int64) error {
	return e.Group.Do(e.Rank, func(r *Rank) error { return r.Abort(fence, epoch) })
}
