package expertgroup

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"
)

// Order is an order to a rank, as it is encoded in a request.
type Order struct {
	Operation    string    `json:"operation"`
	FencingToken int64     `json:"fencing_token"`
	Epoch        int64     `json:"epoch"`
	Version      int64     `json:"version"`
	Step         int64     `json:"step"`
	Map          [][][]int `json:"map"`
	Expect       *int64    `json:"expect,omitempty"` // the rank refuses the order if it has accepted another number; nil for any
}

// Operations of orders.
const (
	Prepare = "prepare"
	Arm     = "arm"
	Disarm  = "disarm"
	Hold    = "hold"
	Release = "go"
)

// Errors of orders and calls.
var (
	ErrConflict = errors.New("the order conflicts with the state of the rank")
	ErrFenced   = errors.New("the rank has seen a higher fencing number")
	ErrNoAnswer = errors.New("the rank does not answer")
)

// Wait waits for the random duration of one call. If the rank is set not to answer, it waits until ctx ends.
func (r *Rank) Wait(ctx context.Context) error {
	var unresponsive bool
	var d time.Duration
	r.group.withLock(func() { unresponsive, d = r.unresponsive, time.Duration(1+r.group.rng.IntN(4))*time.Millisecond })
	if unresponsive {
		<-ctx.Done()
		return ErrNoAnswer
	}
	time.Sleep(d)
	return ctx.Err()
}

// Order sends an order to the rank. With probability Late, the rank does not answer, and carries the order out after a
// delay; Order then waits until ctx ends.
func (r *Rank) Order(ctx context.Context, o Order) error {
	if err := r.Wait(ctx); err != nil {
		return err
	}
	g := r.group
	var late bool
	var delay time.Duration
	g.withLock(func() {
		late = g.rng.Float64() < g.Late
		delay = minLateDelay + time.Duration(g.rng.Int64N(int64(maxLateDelay-minLateDelay)))
	})
	if !late {
		return r.CarryOut(o)
	}
	time.AfterFunc(delay, func() { _ = r.CarryOut(o) }) // the sender gets no result
	<-ctx.Done()
	return ctx.Err()
}

// CarryOut carries out an order without delay.
func (r *Rank) CarryOut(o Order) error {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	accepted := r.acceptedOrders
	err := r.apply(o)
	g.trace("rank %d at step %d after %d orders: %s version %d step %d fence %d expect %s: %v", r.index, g.step, accepted,
		o.Operation, o.Version, o.Step, o.FencingToken, o.expectation(), err)
	return err
}

// expectation returns the expected number of accepted orders for the trace.
func (o Order) expectation() string {
	if o.Expect == nil {
		return "any"
	}
	return strconv.FormatInt(*o.Expect, 10)
}

func (r *Rank) apply(o Order) error {
	g := r.group
	if !g.Unfenced {
		if o.FencingToken < r.fencingNumber {
			return ErrFenced
		}
		r.fencingNumber = o.FencingToken
	}
	if o.Epoch != g.epoch || !g.open || o.Expect != nil && *o.Expect != r.acceptedOrders {
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
		if o.Step <= g.step || r.heldStep != nil && *r.heldStep != o.Step {
			return ErrConflict
		}
		r.heldStep = &o.Step
	case Release:
		if r.heldStep != nil && *r.heldStep == o.Step {
			r.heldStep = nil
		}
	}
	return nil
}

func (r *Rank) prepare(o Order) error {
	if o.Version <= r.highestPrepared || r.armed != nil {
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
	m.readyAt = time.Now().Add(r.group.shape.Load * time.Duration(loads))
	r.prepared, r.highestPrepared = m, o.Version
	r.acceptedOrders++
	return nil
}

func (r *Rank) arm(o Order) error {
	switch {
	case r.armed != nil && r.armed.version == o.Version && r.armed.step == o.Step:
		return nil
	case o.Step <= r.group.step, r.prepared == nil || r.prepared.version != o.Version || time.Now().Before(r.prepared.readyAt):
		return ErrConflict
	}
	r.armed = &expertMap{version: o.Version, step: o.Step, experts: r.prepared.experts}
	r.acceptedOrders++
	return nil
}
