package rankgroup

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// maxLeadSteps is the number of steps between the current step, as read from the engine, and the step of a switch. It is
	// 1 if the time until the next step exceeds armTimeFactor times the time that the last switches took to arm all ranks.
	maxLeadSteps  = 2
	armTimeFactor = 2
	// armTimeDecay is the part of the longest time to arm all ranks that is kept with each shorter one.
	armTimeDecay = 0.9
	// maxOrdersPerTerm is the number of orders that a coordinator can send to one rank in one term.
	maxOrdersPerTerm = fencesPerTerm / FencesPerOrder
	// fencesPerTerm is the number of fencing numbers of one term.
	fencesPerTerm = 1 << 12
	// versionsPerTerm is the number of map versions of one term. A version of an earlier term is not used again, since an engine
	// does not report a map that it is still loading.
	versionsPerTerm = fencesPerTerm
	// termRankSlots is the number of ranks whose terms differ even if they start in the same millisecond. Only the
	// lowest ranks that are alive ever coordinate.
	termRankSlots = 16
	// termEpochUnixMs is the Unix time in milliseconds from which terms are counted. It keeps fencing numbers below
	// 2^53, up to which every JSON decoder represents integers exactly.
	termEpochUnixMs = 1_760_000_000_000

	// maxHoldAttempts is the number of steps before which a coordinator tries to hold the group, one after the other.
	maxHoldAttempts = 3

	prepareTimeout = 400 * time.Millisecond // for prepare orders
	armTimeout     = 300 * time.Millisecond // for hold and arm orders
	undoTimeout    = 500 * time.Millisecond // for release and disarm orders
	// loadMargin is added to the expected time to load a map before the loading is given up.
	loadMargin = 1500 * time.Millisecond
)

// newTerm starts a term. Its number is above those of all terms that the coordinator has seen, and differs from those
// of other ranks. Terms determine the fencing numbers of orders and the versions of maps.
func (c *Coordinator) newTerm() {
	seen := c.version / versionsPerTerm / termRankSlots
	c.termMs = max(c.termMs+1, seen+1, c.opt.Now().UnixMilli()-termEpochUnixMs)
	c.term = c.termMs*termRankSlots + int64(c.opt.Rank%termRankSlots)
	c.version = c.term * versionsPerTerm
	clear(c.orders)
	c.needsNewTerm = false
}

// nextFence returns the first fencing number of the next order to a rank.
func (c *Coordinator) nextFence(rank int) int64 {
	fence := c.term*fencesPerTerm + c.orders[rank]*FencesPerOrder
	c.orders[rank]++
	return fence
}

// order sends an order to a rank. An engine that ignores fencing numbers refuses it if it has accepted another order since
// c.status was read.
func (c *Coordinator) order(ctx context.Context, rank int, o Order, limit time.Duration) OrderResult {
	fence := c.nextFence(rank)
	o.Epoch = c.epoch
	if c.opt.Unfenced {
		accepted := c.status[rank].Sequence
		o.Expect = &accepted
	}
	ctx, cancel := context.WithTimeout(ctx, limit+readTimeout)
	defer cancel()
	reply, err := c.opt.Ranks.Order(ctx, rank, OrderRequest{Order: o, Map: c.update, Fence: fence, TimeoutMs: limit.Milliseconds()})
	if err != nil {
		return ResultUnknown
	}
	return reply.Result
}

func allDone(results []OrderResult) bool {
	for _, r := range results {
		if r != ResultDone {
			return false
		}
	}
	return true
}

var errNotAllDone = errors.New("not all ranks carried out the order")

func resultsError(results []OrderResult) error { return fmt.Errorf("%w: %v", errNotAllDone, results) }

// versionsSuperseded reports whether a rank has had a version of a later term than this one.
func (c *Coordinator) versionsSuperseded() bool { return c.version/versionsPerTerm > c.term }

// useNextVersion chooses the version of the next map that this coordinator loads.
func (c *Coordinator) useNextVersion() {
	c.version++
	c.loading = c.version
}

// switchTo loads the planned map on all ranks and switches them to it at the same step.
func (c *Coordinator) switchTo(ctx context.Context, p plan) {
	started := c.opt.Now()
	c.useNextVersion()
	e := Event{Epoch: c.epoch, Version: c.loading, Loads: p.increment.Loaded, Before: p.increment.Before, After: p.increment.After}
	err := c.loadMap(ctx, p)
	if err == nil {
		e.Step, err = c.armAll(ctx)
	}
	e.Kind, e.Err, e.Took = EventSwitched, err, c.opt.Now().Sub(started)
	if err != nil {
		e.Kind = EventSwitchFailed
		c.urgent = c.needsNewTerm
	} else {
		c.currentMap = p.nextMap()
		c.pending, c.agentsMap = c.loading, c.loading
	}
	c.opt.Notify(e)
	if c.orders[c.opt.Rank] > maxOrdersPerTerm/2 {
		c.needsNewTerm = true // start a new term before the fencing numbers of this one are used up
	}
}

var (
	errLoadTimeout  = errors.New("a rank did not load the map in time")
	errGroupNotOpen = errors.New("the group is not open")
	errNotHeld      = errors.New("the group could not be held")
	errSuperseded   = errors.New("another coordinator has changed what the rank has loaded")
)

// loadMap makes all ranks load the planned map and waits until they have.
func (c *Coordinator) loadMap(ctx context.Context, p plan) error {
	epoch := c.epoch
	results, err := c.prepare(ctx, p.nextMap().Slots)
	if err != nil {
		return err
	}
	if !allDone(results) {
		c.version++ // a rank may have received this version without reporting it
		return resultsError(results)
	}
	expected := c.engine.Experts.LoadTime() * time.Duration(p.increment.MaxPerRank)
	end := c.opt.Now().Add(expected + loadMargin)
	c.waitReadingOwn(ctx, expected)
	for {
		if !c.readStatuses(ctx) || c.epoch != epoch {
			return errGroupNotOpen
		}
		if c.allLoaded() {
			return nil
		}
		if c.opt.Now().After(end) || ctx.Err() != nil {
			return errLoadTimeout
		}
		c.sleep(ctx, loadPollInterval)
	}
}

// mapUpdate returns the update of the agents to the next map.
func (c *Coordinator) mapUpdate(next [][][]int) (MapUpdate, error) {
	if c.agentsMap == completeMap {
		return completeUpdate(next)
	}
	return changedUpdate(c.agentsMap, c.currentMap.Slots, next)
}

// prepare orders all ranks to load a map. Agents that have the map in use get only the changes.
func (c *Coordinator) prepare(ctx context.Context, next [][][]int) ([]OrderResult, error) {
	defer func() { c.update = nil }()
	update, err := c.mapUpdate(next)
	if err != nil {
		return nil, err
	}
	c.update = &update
	order := Order{Op: OpPrepare, Version: c.loading}
	results := c.orderAll(ctx, order, prepareTimeout)
	if !slices.Contains(results, ResultNoBaseMap) {
		return results, nil
	}
	complete, err := completeUpdate(next)
	if err != nil {
		return nil, err
	}
	c.update = &complete
	forEach(len(results), func(rank int) {
		if results[rank] == ResultNoBaseMap {
			results[rank] = c.order(ctx, rank, order, prepareTimeout)
		}
	})
	return results, nil
}

// allLoaded reports whether all ranks have loaded the map that this coordinator has last ordered them to load, and none
// that another coordinator has ordered since.
func (c *Coordinator) allLoaded() bool {
	for _, s := range c.status {
		if s.Prepared != c.loading {
			return false
		}
	}
	return true
}

// armAll holds the group before a step, arms all ranks for that step, and releases the hold once all ranks have
// confirmed. It returns the step.
func (c *Coordinator) armAll(ctx context.Context) (int64, error) {
	started := c.opt.Now()
	step, err := c.hold(ctx)
	if err != nil {
		c.needsNewTerm = true
		return step, err
	}
	if err := c.updateOwn(ctx, func(s Status) bool { return s.Prepared == c.loading }); err != nil {
		c.needsNewTerm = true
		return step, err
	}
	results := c.orderAll(ctx, Order{Op: OpArm, Version: c.loading, Step: step}, armTimeout)
	if !allDone(results) {
		c.needsNewTerm = true // the next round starts a new term, then disarms and releases all ranks
		return step, resultsError(results)
	}
	if err := c.updateOwn(ctx, func(s Status) bool { return s.Armed == c.loading }); err != nil {
		c.needsNewTerm = true
		return step, err
	}
	if r := c.order(ctx, c.opt.Rank, Order{Op: OpRelease, Step: step}, undoTimeout); r != ResultDone {
		c.needsNewTerm = true
		return step, fmt.Errorf("%w: release %s", errNotHeld, r)
	}
	c.addArmTime(c.opt.Now().Sub(started))
	return step, nil
}

// hold holds the coordinator's own rank before the step of a switch to the loaded map, and returns that step.
func (c *Coordinator) hold(ctx context.Context) (int64, error) {
	lead := c.leadSteps()
	return c.holdBefore(ctx, func(s Status) (int64, error) {
		if s.Prepared != c.loading || s.Epoch != c.epoch {
			return 0, errSuperseded
		}
		step := s.Step + lead
		lead++ // a later step after a refusal
		return step, nil
	})
}

// holdBefore holds the coordinator's own rank before a step that the group has not begun, and returns that step. choose returns it
// for a status of the own rank. The group keeps stepping meanwhile: if the hold comes too late for a step, the engine refuses it,
// and choose is called again.
func (c *Coordinator) holdBefore(ctx context.Context, choose func(Status) (int64, error)) (int64, error) {
	step := int64(0)
	for range maxHoldAttempts {
		status, err := c.readOwn(ctx, readKind{})
		if err != nil {
			return step, err
		}
		if step, err = choose(status); err != nil {
			return step, err
		}
		c.status[c.opt.Rank] = status
		switch r := c.order(ctx, c.opt.Rank, Order{Op: OpHold, Step: step}, armTimeout); r {
		case ResultDone:
			return step, nil
		case ResultConflict:
		default:
			return step, fmt.Errorf("%w: %s", errNotHeld, r)
		}
	}
	return step, errNotHeld
}

// updateOwn reads the own rank again, whose number of accepted orders has changed, and fails if it is not in the wanted
// state. Only engines that ignore fencing numbers need this.
func (c *Coordinator) updateOwn(ctx context.Context, wanted func(Status) bool) error {
	if !c.opt.Unfenced {
		return nil
	}
	s, err := c.readOwn(ctx, readKind{})
	if err != nil {
		return err
	}
	if s.Epoch != c.epoch || !wanted(s) {
		return errSuperseded
	}
	c.status[c.opt.Rank] = s
	return nil
}

// leadSteps returns the number of steps between the current step and the step of a switch that begins now. Fewer steps
// make the group wait, more delay the switch.
func (c *Coordinator) leadSteps() int64 {
	if c.armTime > 0 && c.clock.untilNext(c.opt.Now()) > armTimeFactor*c.armTime {
		return maxLeadSteps - 1
	}
	return maxLeadSteps
}

// addArmTime adds the time that a switch took from the reading before the hold to its release.
func (c *Coordinator) addArmTime(d time.Duration) {
	c.armTime = max(d, time.Duration(armTimeDecay*float64(c.armTime)))
}

// waitReadingOwn waits for the duration and reads the own rank meanwhile, to learn when it begins steps.
func (c *Coordinator) waitReadingOwn(ctx context.Context, d time.Duration) {
	for end := c.opt.Now().Add(d); ctx.Err() == nil && c.opt.Now().Before(end); {
		c.sleep(ctx, min(switchPollInterval, end.Sub(c.opt.Now())))
		_, _ = c.readOwn(ctx, readKind{}) // a failure leaves the estimate as it is
	}
}

// readOwn reads the status of the coordinator's own rank.
func (c *Coordinator) readOwn(ctx context.Context, kind readKind) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	start := c.opt.Now()
	r, err := c.opt.Ranks.Read(ctx, c.opt.Rank, ReadRequest{Coordinator: c.opt.Rank, StatusOnly: true, Present: kind.present})
	if err == nil {
		c.clock.observe(r.Status.Step, start, c.opt.Now())
	}
	return r.Status, err
}
