package rankgroup

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// lead is the number of passes between the reading of the present pass and the pass of the change.
	lead = 2
	// maxOrders is the number of orders to one rank in one term.
	maxOrders = fenceSpan / FencesPerOrder
	// fenceSpan is the range of fencing numbers of one term.
	fenceSpan = 1 << 12
	// termRanks is the number of ranks whose terms differ even if they begin in the same millisecond. Only the lowest
	// ranks that are alive ever coordinate.
	termRanks = 16
	// termEpoch is the Unix millisecond from which terms count, so that fencing numbers stay below 2^53, the largest
	// number that every JSON decoder keeps.
	termEpoch = 1_760_000_000_000

	// holdTries is the number of passes that a hold is tried before.
	holdTries = 3

	prepareTime = 400 * time.Millisecond // for the orders to load a map
	armTime     = 300 * time.Millisecond // for the orders to use a map from a pass on
	undoTime    = 500 * time.Millisecond // for one try to undo them
	// loadMargin is the time beyond the expected one after which the loading of a map is given up.
	loadMargin = 1500 * time.Millisecond
)

// newTerm takes a number above all that were seen, which no other rank takes.
func (c *Coordinator) newTerm() {
	c.moment = max(c.moment+1, c.opt.Now().UnixMilli()-termEpoch)
	c.term = c.moment*termRanks + int64(c.opt.Rank%termRanks)
	clear(c.orders)
	c.fenced = false
}

// order gives an order to a rank.
func (c *Coordinator) order(ctx context.Context, rank int, o Order, limit time.Duration) OrderResult {
	fence := c.term*fenceSpan + c.orders[rank]*FencesPerOrder
	c.orders[rank]++
	o.Epoch = c.epoch
	ctx, cancel := context.WithTimeout(ctx, limit+readTimeout)
	defer cancel()
	reply, err := c.opt.Ranks.Order(ctx, rank, OrderRequest{Order: o, Map: c.encoded, Fence: fence, For: limit.Milliseconds()})
	if err != nil {
		return ResultUnknown
	}
	return reply.Result
}

// all gives an order to all ranks at the same time.
func (c *Coordinator) all(ctx context.Context, o Order, limit time.Duration) []OrderResult {
	out := make([]OrderResult, c.opt.Size)
	c.each(func(rank int) { out[rank] = c.order(ctx, rank, o, limit) })
	for _, r := range out {
		if r == ResultFenced {
			c.fenced = true
		}
	}
	return out
}

func allDone(results []OrderResult) bool {
	for _, r := range results {
		if r != ResultDone {
			return false
		}
	}
	return true
}

var errResults = errors.New("not all ranks followed the order")

func resultsError(results []OrderResult) error { return fmt.Errorf("%w: %v", errResults, results) }

// recover makes sure that no order of an earlier term can be carried out any more, and then ends what was left armed or
// held. It says whether the group is free.
func (c *Coordinator) recover(ctx context.Context) bool {
	c.newTerm()
	c.known = false
	// A release of a pass that nobody holds changes nothing, but tells the engine the new fencing number.
	if results := c.all(ctx, Order{Op: OpRelease, Step: unusedStep}, undoTime); !c.settled(results) {
		c.opt.Notify(Event{Kind: EventRecoverFailed, Epoch: c.epoch, Err: resultsError(results)})
		c.raiseTerm(results)
		return false
	}
	if !c.collect(ctx) {
		return false
	}
	return c.undo(ctx)
}

// unusedStep is a pass that no group reaches.
const unusedStep = 1 << 40

// settled says whether every rank has accepted or refused the order, so that its number is known there.
func (c *Coordinator) settled(results []OrderResult) bool {
	for _, r := range results {
		if r != ResultDone && r != ResultConflict {
			return false
		}
	}
	return true
}

// raiseTerm goes above a term of unknown height, which a rank has seen.
func (c *Coordinator) raiseTerm(results []OrderResult) {
	c.fenced = true
	for _, r := range results {
		if r == ResultFenced {
			c.moment += termJump
			return
		}
	}
}

// termJump is the step, in milliseconds, by which a coordinator raises its term after a rank refused it. The clock of a
// former coordinator may have been ahead by seconds.
const termJump = 2000

// undo ends what was left armed or held, after all ranks know the new term. The hold of an unfinished change is lifted
// only after all ranks agree: either all are armed with one map, or none is armed any more. A rank that cannot be
// disarmed keeps the group held, since a pass with two maps must not begin.
func (c *Coordinator) undo(ctx context.Context) bool {
	c.pending = 0
	armed, held, same := 0, 0, true
	for _, s := range c.status {
		if s.Held != nil {
			held++
		}
		if s.Armed != 0 {
			armed++
			same = same && s.Armed == c.status[0].Armed
		}
	}
	switch {
	case armed == c.opt.Size && same:
		c.pending = c.status[0].Armed
	case armed > 0 && held == 0:
		// Holds are lifted only when all ranks are armed, so the pass of the change began between two readings.
		c.fenced = true
		return false
	case armed > 0 && !c.disarm(ctx):
		return false
	}
	return c.release(ctx) && c.pending == 0
}

func (c *Coordinator) disarm(ctx context.Context) bool {
	results := make([]OrderResult, c.opt.Size)
	c.each(func(rank int) {
		results[rank] = ResultDone
		if v := c.status[rank].Armed; v != 0 {
			results[rank] = c.order(ctx, rank, Order{Op: OpDisarm, Version: v}, undoTime)
		}
	})
	if !allDone(results) {
		c.fenced = true
		c.opt.Notify(Event{Kind: EventDisarmFailed, Epoch: c.epoch, Err: resultsError(results)})
		return false
	}
	return true
}

func (c *Coordinator) release(ctx context.Context) bool {
	results := make([]OrderResult, c.opt.Size)
	c.each(func(rank int) {
		results[rank] = ResultDone
		if held := c.status[rank].Held; held != nil {
			results[rank] = c.order(ctx, rank, Order{Op: OpRelease, Step: *held}, undoTime)
			c.opt.Notify(Event{Kind: EventReleased, Epoch: c.epoch, Rank: rank, Step: *held})
		}
	})
	if !allDone(results) {
		c.fenced = true
		return false
	}
	return true
}

// change loads a map on all ranks and switches to it at one pass.
func (c *Coordinator) change(ctx context.Context, p plan) {
	started := c.opt.Now()
	c.version++
	e := Event{Epoch: c.epoch, Version: c.version, Loads: p.next.Loads, Before: p.next.Before, After: p.next.After}
	err := c.load(ctx, p)
	if err == nil {
		e.Step, err = c.swap(ctx)
	}
	e.Kind, e.Err, e.Took = EventSwitched, err, c.opt.Now().Sub(started)
	if err != nil {
		e.Kind = EventSwitchFailed
		c.urgent = c.fenced
	} else {
		c.current = p.experts()
		c.pending = c.version
	}
	c.opt.Notify(e)
	if c.orders[c.opt.Rank] > maxOrders/2 {
		c.fenced = true // starts a new term with fresh numbers
	}
}

var (
	errLoadTime = errors.New("a rank did not load the map in time")
	errEpoch    = errors.New("the group is not open")
	errHold     = errors.New("the group could not be held")
)

// load has all ranks load the map and waits for it.
func (c *Coordinator) load(ctx context.Context, p plan) error {
	epoch := c.epoch
	var err error
	if c.encoded, err = encodeMap(p.experts().Slots); err != nil {
		return err
	}
	results := c.all(ctx, Order{Op: OpPrepare, Version: c.version}, prepareTime)
	c.encoded = nil
	if !allDone(results) {
		c.version++ // a rank may have seen a version that none reports
		return resultsError(results)
	}
	expected := c.engine.Experts.LoadTime() * time.Duration(p.next.Most)
	end := c.opt.Now().Add(expected + loadMargin)
	c.pause(ctx, expected)
	for {
		if !c.poll(ctx) || c.epoch != epoch {
			return errEpoch
		}
		if c.loaded() {
			return nil
		}
		if c.opt.Now().After(end) || ctx.Err() != nil {
			return errLoadTime
		}
		c.pause(ctx, loadPause)
	}
}

func (c *Coordinator) loaded() bool {
	for _, s := range c.status {
		if s.Prepared != c.version {
			return false
		}
	}
	return true
}

// swap arms all ranks for one pass, under a hold that is lifted once all have confirmed.
func (c *Coordinator) swap(ctx context.Context) (int64, error) {
	step, err := c.hold(ctx)
	if err != nil {
		c.fenced = true
		return step, err
	}
	results := c.all(ctx, Order{Op: OpArm, Version: c.version, Step: step}, armTime)
	if !allDone(results) {
		c.fenced = true // the next round fences all ranks, disarms and releases them
		return step, resultsError(results)
	}
	if r := c.order(ctx, c.opt.Rank, Order{Op: OpRelease, Step: step}, undoTime); r != ResultDone {
		c.fenced = true
		return step, fmt.Errorf("%w: release %s", errHold, r)
	}
	return step, nil
}

// hold holds the own rank before a pass that the group has not begun. The group goes on meanwhile, so that a pass that
// is too near is refused and a later one is tried.
func (c *Coordinator) hold(ctx context.Context) (int64, error) {
	step := int64(0)
	for try := range int64(holdTries) {
		now, err := c.readOwn(ctx)
		if err != nil {
			return step, err
		}
		step = now.Step + lead + try
		switch r := c.order(ctx, c.opt.Rank, Order{Op: OpHold, Step: step}, armTime); r {
		case ResultDone:
			return step, nil
		case ResultConflict:
		default:
			return step, fmt.Errorf("%w: %s", errHold, r)
		}
	}
	return step, errHold
}

// readOwn reads the own rank.
func (c *Coordinator) readOwn(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := c.opt.Ranks.Read(ctx, c.opt.Rank, ReadRequest{Coordinator: c.opt.Rank, StatusOnly: true})
	return r.Status, err
}
