package rankgroup

import (
	"context"
	"slices"
)

// Engines that ignore fencing numbers may carry out an order of an earlier term at any time. What remains is that they
// refuse orders that do not fit their state, and the coordinator leaves no state that such an order fits:
//
//   - An engine arms only the version that it has loaded. So before a hold is released, all ranks load a newer version.
//   - A version is never used twice, so that orders to load or disarm an earlier one are refused or have no effect.
//   - A step is never held twice, so that the release of an earlier hold has no effect on a later one.

// maxUnloadAttempts limits the attempts to make all ranks load a newer version.
const maxUnloadAttempts = 4

// undoUnfenced cancels the armed maps and the holds that an earlier term left.
func (c *Coordinator) undoUnfenced(ctx context.Context) bool {
	c.pending = 0
	armed := slices.ContainsFunc(c.status, func(s Status) bool { return s.Armed != 0 })
	held := slices.ContainsFunc(c.status, func(s Status) bool { return s.Held != nil })
	if armed && !held {
		// A hold is released only when all ranks are armed, so the step of the switch is about to begin.
		c.needsNewTerm = true
		return false
	}
	if !c.unloadAll(ctx) {
		c.needsNewTerm = true
		return false
	}
	return c.release(ctx)
}

// unloadAll replaces what the ranks have loaded beside the map in use by a newer version of that map, so that no late
// order can arm them. It reports whether all ranks have it and none is armed.
func (c *Coordinator) unloadAll(ctx context.Context) bool {
	if !slices.ContainsFunc(c.status, func(s Status) bool { return s.Prepared != 0 || s.Armed != 0 || s.Held != nil }) {
		return true
	}
	if !c.learnMap(ctx) {
		return false
	}
	for range maxUnloadAttempts {
		if !c.disarm(ctx) {
			return false
		}
		c.version++
		if _, err := c.prepare(ctx, c.currentMap.Slots); err != nil {
			return false
		}
		if !c.readStatuses(ctx) {
			return false
		}
		if c.allLoaded() && !slices.ContainsFunc(c.status, func(s Status) bool { return s.Armed != 0 }) {
			return true
		}
	}
	return false
}

// maxStepsAhead is the largest number of steps between the step that a coordinator reads and one that it holds.
const maxStepsAhead = leadSteps + maxHoldAttempts

// earlierHoldsPassed reports whether the group has begun all steps that a coordinator of an earlier term may have held.
func (c *Coordinator) earlierHoldsPassed() bool {
	return c.status[c.opt.Rank].Step > c.termStep+maxStepsAhead
}
