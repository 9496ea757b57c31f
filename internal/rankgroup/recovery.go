package rankgroup

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// recover makes sure that no order of an earlier term can still be carried out. It then cancels the armed maps and
// holds that an earlier term left. It reports whether the group is ready for a change.
func (c *Coordinator) recover(ctx context.Context) bool {
	c.newTerm()
	c.mapKnown = false
	// Releasing a step that is not held has no effect except that the engine learns the new fencing number.
	results := c.orderAll(ctx, Order{Op: OpRelease, Step: unreachableStep}, undoTimeout)
	if !c.allAnswered(results) {
		c.opt.Notify(Event{Kind: EventRecoverFailed, Epoch: c.epoch, Err: resultsError(results)})
		c.raiseTerm(results)
		return false
	}
	termKnown := c.opt.Now()
	c.divideRanks()
	if !c.readSince(ctx, termKnown) {
		return false
	}
	if c.versionsSuperseded() {
		c.needsNewTerm = true
		return false
	}
	c.opt.Notify(Event{Kind: EventRecovery, Epoch: c.epoch, Recovery: c.recovery(results)})
	if c.opt.Unfenced {
		return c.undoUnfenced(ctx)
	}
	return c.undo(ctx)
}

// unreachableStep is a step that no group reaches.
const unreachableStep = 1 << 40

// allAnswered reports whether every rank has carried out or refused the order, so that it knows the fencing number.
func (c *Coordinator) allAnswered(results []OrderResult) bool {
	for _, r := range results {
		if r != ResultDone && r != ResultConflict {
			return false
		}
	}
	return true
}

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

// disarm cancels the armed map of every rank that has one.
func (c *Coordinator) disarm(ctx context.Context) bool {
	results := make([]OrderResult, c.opt.Size)
	forEach(c.opt.Size, func(rank int) {
		results[rank] = ResultDone
		if v := c.status[rank].Armed; v != 0 {
			results[rank] = c.order(ctx, rank, Order{Op: OpDisarm, Version: v}, undoTimeout)
		}
	})
	if !allDone(results) {
		c.needsNewTerm = true
		c.opt.Notify(Event{Kind: EventDisarmFailed, Epoch: c.epoch, Err: resultsError(results)})
		return false
	}
	return true
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
