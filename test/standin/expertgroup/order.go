package expertgroup

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Order is one order to a rank, by the names of the wire.
type Order struct {
	Operation    string    `json:"operation"`
	FencingToken int64     `json:"fencing_token"`
	Epoch        int64     `json:"epoch"`
	Version      int64     `json:"version"`
	Step         int64     `json:"step"`
	Map          [][][]int `json:"map"`
}

// Operations of orders.
const (
	Prepare = "prepare"
	Arm     = "arm"
	Disarm  = "disarm"
	Hold    = "hold"
	Go      = "go"
)

// Refusals of orders.
var (
	ErrConflict = errors.New("order does not fit the rank's state")
	ErrFenced   = errors.New("the rank has seen a higher fencing number")
	ErrAway     = errors.New("no answer")
)

// Wait takes the time of one call. A rank that is away lets the caller's time run out.
func (r *Rank) Wait(ctx context.Context) error {
	var away bool
	var d time.Duration
	r.group.locked(func() { away, d = r.away, time.Duration(1+r.group.rng.IntN(4))*time.Millisecond })
	if away {
		<-ctx.Done()
		return ErrAway
	}
	time.Sleep(d)
	return ctx.Err()
}

// Order gives an order to the rank, which may carry it out late and not answer.
func (r *Rank) Order(ctx context.Context, o Order) error {
	if err := r.Wait(ctx); err != nil {
		return err
	}
	g := r.group
	var late bool
	var delay time.Duration
	g.locked(func() {
		late = g.rng.Float64() < g.Late
		delay = earliestLate + time.Duration(g.rng.Int64N(int64(latestLate-earliestLate)))
	})
	if !late {
		return r.CarryOut(o)
	}
	time.AfterFunc(delay, func() { _ = r.CarryOut(o) }) // nobody waits for the answer
	<-ctx.Done()
	return ctx.Err()
}

// CarryOut carries an order out now.
func (r *Rank) CarryOut(o Order) error {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	err := r.apply(o)
	g.trace("rank %d at step %d: %s version %d step %d fence %d: %v", r.index, g.step, o.Operation, o.Version, o.Step, o.FencingToken, err)
	return err
}

func (r *Rank) apply(o Order) error {
	g := r.group
	if !g.Unfenced {
		if o.FencingToken < r.fence {
			return ErrFenced
		}
		r.fence = o.FencingToken
	}
	if o.Epoch != g.epoch || !g.open {
		return ErrConflict
	}
	switch o.Operation {
	case Prepare:
		return r.prepare(o)
	case Arm:
		return r.arm(o)
	case Disarm:
		if r.version == o.Version {
			return ErrConflict
		}
		if r.armed != nil && r.armed.version == o.Version {
			r.armed = nil
		}
	case Hold:
		if o.Step <= g.step || r.held != nil && *r.held != o.Step {
			return ErrConflict
		}
		r.held = &o.Step
	case Go:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	}
	return nil
}

func (r *Rank) prepare(o Order) error {
	if o.Version <= r.highest || r.armed != nil {
		return ErrConflict
	}
	m := &expertMap{version: o.Version}
	loads := 0
	for l, ranks := range o.Map {
		m.experts = append(m.experts, slices.Clone(ranks[r.index]))
		for _, e := range ranks[r.index] {
			if !slices.Contains(r.experts[l], e) {
				loads++
			}
		}
	}
	m.ready = time.Now().Add(r.group.shape.Load * time.Duration(loads))
	r.prepared, r.highest = m, o.Version
	r.sequence++
	return nil
}

func (r *Rank) arm(o Order) error {
	switch {
	case r.armed != nil && r.armed.version == o.Version && r.armed.step == o.Step:
		return nil
	case o.Step <= r.group.step, r.prepared == nil || r.prepared.version != o.Version || time.Now().Before(r.prepared.ready):
		return ErrConflict
	}
	r.armed = &expertMap{version: o.Version, step: o.Step, experts: r.prepared.experts}
	r.sequence++
	return nil
}
