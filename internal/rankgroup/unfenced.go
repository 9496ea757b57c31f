package rankgroup

import (
	"context"
	"slices"
)

// Engines that ignore fencing numbers may carry out an order of another coordinator at any time, and that coordinator may
// still be running. What they refuse is an order that expects another number of accepted orders, and a map whose version
// is not above all versions that the rank has had. A switch to a version therefore has one of two outcomes, and no
// coordinator acts on one of them before it is certain:
//
//   - It takes place as soon as every rank is armed with the version. From then on no rank is disarmed, and the hold is
//     released.
//   - It is cancelled as soon as a rank that has not been armed has accepted a newer version, since that rank can't be
//     armed with the old one any more. Only then the other ranks are disarmed.
//
// A hold is released after a cancelled switch only when every rank has a newer version loaded and none is armed. An order
// to release that is carried out late expects a number of accepted orders that the rank no longer has once the next
// switch has begun to load its map.

// maxUndoAttempts limits the attempts to cancel a switch. Two are needed if no order is left unanswered: one until the
// armed ranks are disarmed, and one to make them load a newer version too.
const maxUndoAttempts = 6

// undoUnfenced completes or cancels the switch that another coordinator left. It reports whether the group is ready for a
// change.
func (c *Coordinator) undoUnfenced(ctx context.Context) bool {
	c.pending = 0
	for range maxUndoAttempts {
		if !c.hasLeftover() {
			return true
		}
		armed := c.highestArmed()
		if c.takesPlace(armed) {
			c.pending = armed
			c.release(ctx)
			return false
		}
		if !c.consistentWith(armed) || !c.cancelSwitch(ctx, armed) {
			break
		}
		if c.allLoaded() && c.highestArmed() == 0 {
			return c.release(ctx)
		}
	}
	c.needsNewTerm = true
	return false
}

// highestArmed returns the highest version that a rank is armed with, or 0 if none is armed.
func (c *Coordinator) highestArmed() int64 {
	version := int64(0)
	for rank := range c.status {
		version = max(version, c.armedVersion(rank))
	}
	return version
}

// takesPlace reports whether the switch to a version takes place at every rank.
func (c *Coordinator) takesPlace(version int64) bool {
	return version != 0 && !slices.ContainsFunc(c.status, func(s Status) bool { return s.Armed != version && s.Map != version })
}

// consistentWith reports whether the ranks were all read before the switch to the highest armed version, which is 0 if
// none is armed. The ranks are read at slightly different times, and another coordinator may act meanwhile.
func (c *Coordinator) consistentWith(armed int64) bool {
	if armed == 0 {
		return true
	}
	for rank, s := range c.status {
		if v := c.armedVersion(rank); s.Map >= armed || v != 0 && v != armed {
			return false
		}
	}
	return true
}

// cancelSwitch makes the ranks that are not armed load a newer version of the map in use, then disarms the others and
// reads all ranks. It fails if no rank shows that the switch is cancelled. armed is the version of the switch, or 0 if no
// rank is armed.
func (c *Coordinator) cancelSwitch(ctx context.Context, armed int64) bool {
	if !c.learnMap(ctx) {
		return false
	}
	c.useNextVersion()
	results, err := c.prepare(ctx, c.currentMap.Slots)
	if err != nil || c.needsNewTerm {
		return false
	}
	if armed != 0 && (!c.refusesArming(results) || !c.disarm(ctx)) {
		return false
	}
	if !allDone(results) {
		c.version++ // another coordinator may have used this version
	}
	return c.readStatuses(ctx)
}

// refusesArming reports whether a rank that was read as not armed has loaded a newer version, by the results of the orders
// to do so. The order was refused if the rank was armed since it was read.
func (c *Coordinator) refusesArming(results []OrderResult) bool {
	for rank := range c.status {
		if c.armedVersion(rank) == 0 && results[rank] == ResultDone {
			return true
		}
	}
	return false
}
