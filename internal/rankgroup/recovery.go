package rankgroup

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// A coordinator that starts knows nothing of the orders of an earlier one, and must not let the group begin a step while only some
// ranks are armed for it. It relies on two kinds of evidence only: the answer of an engine to an order of its own term, and a
// status that a process on the engine's own VM has read after the engine has accepted that term, over a connection that cannot bring
// an earlier one. A status that was read from another VM (lagged) was true at some time in the past. It says which map versions to
// cancel, never that there is none.

// recover makes sure that no order of an earlier term can still be carried out. It then cancels the armed maps and
// holds that an earlier term left. It reports whether the group is ready for a change.
func (c *Coordinator) recover(ctx context.Context) bool {
	c.newTerm()
	c.mapKnown = false
	// Releasing a step that is not held has no effect except that the engine learns the new fencing number.
	results := c.orderAll(ctx, Order{Op: OpRelease, Step: unreachableStep}, undoTimeout)
	if !c.inForce(results) {
		c.opt.Notify(Event{Kind: EventRecoverFailed, Epoch: c.epoch, Err: resultsError(results)})
		c.raiseTerm(results)
		return false
	}
	c.divideRanks()
	epoch := c.epoch
	read := c.readPresent(ctx)
	if !read || c.epoch != epoch || c.lagged[c.opt.Rank] || c.versionsSuperseded() {
		c.needsNewTerm = true // not all ranks are known, the group was formed again, the own rank is elsewhere, or there is a later term
		return false
	}
	c.opt.Notify(Event{Kind: EventRecovery, Epoch: c.epoch, Recovery: c.recovery(results)})
	switch {
	case c.opt.Unfenced:
		return c.undoUnfenced(ctx)
	case slices.Contains(c.lagged, true):
		return c.undoLagged(ctx)
	}
	return c.undo(ctx)
}

// inForce reports whether every engine refuses orders of earlier terms from now on, given its answer to the first order of this
// term. An engine that refuses an order need not keep its fencing number. Engines that ignore fencing numbers refuse the
// order if they have accepted another one since they were read, which changes nothing.
func (c *Coordinator) inForce(results []OrderResult) bool {
	if !c.opt.Unfenced {
		return allDone(results)
	}
	return !slices.ContainsFunc(results, func(r OrderResult) bool { return r != ResultDone && r != ResultConflict })
}

// unreachableStep is a step that no group reaches.
const unreachableStep = 1 << 40

// raiseTerm requests a new term. If a rank has seen a higher term, which may be any number, it raises the new one by a
// fixed amount.
func (c *Coordinator) raiseTerm(results []OrderResult) {
	c.needsNewTerm = true
	for _, r := range results {
		if r == ResultFenced {
			c.termMs += termJumpMs
			return
		}
	}
}

// termJumpMs is added to the term's time after a rank refused the term. The clock of a former coordinator may have been
// ahead by seconds.
const termJumpMs = 2000

// undo cancels leftover armed maps and holds, after all ranks know the new term. It releases the hold of an unfinished
// switch only when all ranks agree: either all are armed with the same map, or none is armed. If a rank cannot be
// disarmed, the group stays held, since it must not begin a step with two maps.
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
		// A hold is released only when all ranks are armed, so the step of the switch began while the ranks were read.
		c.needsNewTerm = true
		return false
	case armed > 0 && !c.disarm(ctx):
		return false
	}
	return c.release(ctx) && c.pending == 0
}

// undoLagged cancels what an earlier term left if the status of some ranks was read from another VM. It holds the group, and
// disarms every rank of each version that it may be armed with, whatever its status says.
func (c *Coordinator) undoLagged(ctx context.Context) bool {
	c.pending = 0
	if len(c.cancellable()) > 0 && !c.holdOwn(ctx) {
		c.needsNewTerm = true
		return false
	}
	for _, version := range c.cancellable() {
		results := c.orderAll(ctx, Order{Op: OpDisarm, Version: version}, undoTimeout)
		if !allDone(results) {
			c.disarmFailed(results)
			return false
		}
	}
	return c.release(ctx)
}

// cancellable returns the versions that a rank may be armed with. A rank is armed with a version only after all ranks have loaded
// it, and a rank that is armed or disarmed still has it loaded. So the coordinator's own rank, whose status is never lagged, has it
// loaded or armed unless its step has begun.
func (c *Coordinator) cancellable() []int64 {
	var out []int64
	for _, s := range c.status {
		for _, v := range []int64{s.Prepared, s.Armed} {
			if v > c.status[c.opt.Rank].Map && !slices.Contains(out, v) {
				out = append(out, v)
			}
		}
	}
	return out
}

// holdOwn holds the coordinator's own rank before the next step, unless it is held already, and reads its status after that. A
// rank is armed for a step that has not begun, which the hold keeps from beginning.
func (c *Coordinator) holdOwn(ctx context.Context) bool {
	own := &c.status[c.opt.Rank]
	if own.Held == nil {
		if _, err := c.holdBefore(ctx, func(s Status) (int64, error) { return s.Step + 1, nil }); err != nil {
			return false
		}
	}
	s, err := c.readOwn(ctx, readKind{present: true})
	*own = s
	return err == nil && s.Epoch == c.epoch && s.Held != nil
}

// disarm cancels the armed map of every rank that has one.
func (c *Coordinator) disarm(ctx context.Context) bool {
	results := make([]OrderResult, c.opt.Size)
	forEach(c.opt.Size, func(rank int) {
		results[rank] = ResultDone
		if v := c.armedVersion(rank); v != 0 {
			results[rank] = c.order(ctx, rank, Order{Op: OpDisarm, Version: v}, undoTimeout)
		}
	})
	if !allDone(results) {
		c.disarmFailed(results)
		return false
	}
	return true
}

func (c *Coordinator) disarmFailed(results []OrderResult) {
	c.needsNewTerm = true
	c.opt.Notify(Event{Kind: EventDisarmFailed, Epoch: c.epoch, Err: resultsError(results)})
}

// release releases the hold of every rank that has one.
func (c *Coordinator) release(ctx context.Context) bool {
	results := make([]OrderResult, c.opt.Size)
	forEach(c.opt.Size, func(rank int) {
		results[rank] = ResultDone
		if held := c.status[rank].Held; held != nil {
			results[rank] = c.order(ctx, rank, Order{Op: OpRelease, Step: *held}, undoTimeout)
			c.opt.Notify(Event{Kind: EventReleased, Epoch: c.epoch, Rank: rank, Step: *held})
		}
	})
	if !allDone(results) {
		c.needsNewTerm = true
		return false
	}
	return true
}

// Recovery is what a new term has found: the inputs of the decision how to end the switch that an earlier term left.
type Recovery struct {
	Term   int64
	Fenced []OrderResult // by rank: the answer to the order that carried the new fencing number
	Status []Status      // by rank, as read after that
	Lagged []bool        // by rank: the status was read from another VM and is as old as the engine's report
}

func (c *Coordinator) recovery(fenced []OrderResult) *Recovery {
	return &Recovery{Term: c.term, Fenced: fenced, Status: slices.Clone(c.status), Lagged: slices.Clone(c.lagged)}
}

// String returns the number of the term, then all ranks with a leftover of an earlier term, with an old report, or whose answer
// was not ResultDone: RANK:map=VERSION,prepared=VERSION,armed=VERSION,held=STEP,lagged,RESULT, as far as they apply.
func (r *Recovery) String() string {
	out := []string{fmt.Sprintf("term=%d", r.Term)}
	for rank, s := range r.Status {
		if found := r.describeRank(rank, s); len(found) > 0 {
			out = append(out, fmt.Sprintf("%d:map=%d,%s", rank, s.Map, strings.Join(found, ",")))
		}
	}
	return strings.Join(out, " ")
}

func (r *Recovery) describeRank(rank int, s Status) []string {
	var out []string
	if s.Prepared != 0 {
		out = append(out, fmt.Sprintf("prepared=%d", s.Prepared))
	}
	if s.Armed != 0 {
		out = append(out, fmt.Sprintf("armed=%d", s.Armed))
	}
	if s.Held != nil {
		out = append(out, fmt.Sprintf("held=%d", *s.Held))
	}
	if r.Lagged[rank] {
		out = append(out, "lagged")
	}
	if r.Fenced[rank] != ResultDone {
		out = append(out, string(r.Fenced[rank]))
	}
	return out
}
