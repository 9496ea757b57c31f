package rankgroup

import (
	"context"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

// Ranks calls the agents of the ranks of the group. If an agent does not answer, it accesses the rank's engine
// directly.
type Ranks interface {
	Read(ctx context.Context, rank int, r ReadRequest) (ReadReply, error)
	Order(ctx context.Context, rank int, r OrderRequest) (OrderReply, error)
	// Experts returns the experts that a rank holds.
	Experts(ctx context.Context, rank int) (HeldExperts, error)
	// ReadBranch and OrderBranch call the Relay of a rank. They fail if its agent does not answer.
	ReadBranch(ctx context.Context, relay int, r BranchReadRequest) (BranchReadReply, error)
	OrderBranch(ctx context.Context, relay int, r BranchOrderRequest) (BranchOrderReply, error)
}

// Options configures a Coordinator.
type Options struct {
	Rank       int // rank of this process
	Size       int // number of ranks
	Ranks      Ranks
	DataCentre func(rank int) string     // data centre of a rank; empty while it is unknown
	Engine     func() *routetable.Engine // properties of the engines; returns nil while they are unknown
	SendReport func(Report)              // sends the state of the group to the entries; must not block
	Notify     func(Event)               // receives each event; must not block
	Now        func() time.Time
	Active     func() bool // reports whether this process coordinates the group now
	Unfenced   bool        // the engines ignore fencing numbers
}

// Report is the state of the group, for the processes that send requests to it.
type Report struct {
	Term      int64
	Status    []Status // by rank; zero for ranks that did not answer
	Imbalance float64  // of the map in use under the estimated popularity; 0 if unknown
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventEpoch         EventKind = "epoch"              // the group was formed again, or was read for the first time
	EventShifted       EventKind = "popularity-shifted" // requests choose other experts than before
	EventMalformed     EventKind = "counts-malformed"
	EventSwitched      EventKind = "switched" // all ranks have confirmed a map for one step
	EventSwitchFailed  EventKind = "switch-failed"
	EventRecoverFailed EventKind = "recover-failed" // a rank did not accept the new term
	EventRecovery      EventKind = "recovery"       // what a new term has found
	EventRankSilent    EventKind = "rank-silent"    // a rank that answered readings no longer does
	EventRankAnswers   EventKind = "rank-answers"   // a silent rank answers again
	EventDisarmFailed  EventKind = "disarm-failed"  // an armed map could not be cancelled, and the group stays held
	EventReleased      EventKind = "released"       // the release of a leftover hold was ordered
)

// Event is a decision about the group, or a change in what is known about it.
type Event struct {
	Kind    EventKind
	Epoch   int64
	Version int64
	Step    int64
	Rank    int
	Loads   int     // experts loaded, over all ranks
	Before  float64 // imbalance before the switch
	After   float64 // expected imbalance after the switch
	Took    time.Duration
	// Recovery is set for EventRecovery only.
	Recovery *Recovery
	Err      error
}

const (
	// idleInterval is the shortest time between two readings of the group while no map is loaded. If many branches are
	// read, this time is intervalPerBranch times their number. Both limit the bytes that readings transfer.
	idleInterval      = 60 * time.Millisecond
	intervalPerBranch = 3 * time.Millisecond
	// switchPollInterval is the time between two readings of the own rank while the step of a switch is awaited.
	switchPollInterval = 20 * time.Millisecond
	// maxSwitchWait limits the wait for the step of a switch before the group is read again. An idle group begins no
	// steps.
	maxSwitchWait = 300 * time.Millisecond
	// loadPollInterval is the time between two readings while a map is loaded.
	loadPollInterval = 30 * time.Millisecond
	// readTimeout limits one reading of a rank.
	readTimeout = 250 * time.Millisecond
)

// Coordinator balances the expert map of one group. Run must be called exactly once.
type Coordinator struct {
	opt Options

	termMs       int64 // time part of the term, in milliseconds since termEpochUnixMs
	term         int64
	orders       []int64 // orders sent in this term, by rank
	needsNewTerm bool    // earlier orders may still be carried out, or no term has been started
	urgent       bool    // the next round must start without a delay, since the group may be held

	epoch      int64
	version    int64 // highest version that any rank has had or that belongs to an earlier term
	loading    int64 // version of the map that this coordinator has last ordered the ranks to load
	currentMap port.ExpertMap
	mapKnown   bool     // currentMap is the map in use
	pending    int64    // version that all ranks have confirmed for a step that has not begun; 0 for none
	snapshots  []int64  // number of the last snapshot of the counts, by rank
	status     []Status // by rank, as read last
	answered   []bool   // by rank, in the last reading
	lagged     []bool   // by rank: the status may be as old as the report lag of the engines
	estimate   *popularity
	engine     *routetable.Engine
	update     *MapUpdate // map of the order that is being sent; nil for orders without one
	agentsMap  int64      // version of a map that the agents have, if it is the one in use; completeMap if they have none
	branches   []*branch

	clock   stepClock     // of the own rank
	armTime time.Duration // time to hold the group, arm all ranks and release it; 0 if unknown
}

// NewCoordinator returns a coordinator. It knows nothing about the group until Run has read it.
func NewCoordinator(opt Options) *Coordinator {
	c := &Coordinator{opt: opt, snapshots: make([]int64, opt.Size), status: make([]Status, opt.Size), answered: make([]bool, opt.Size),
		lagged: make([]bool, opt.Size), orders: make([]int64, opt.Size), needsNewTerm: true, epoch: -1, agentsMap: completeMap}
	c.divideRanks()
	return c
}

// Run coordinates the group until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.opt.Active() {
			c.needsNewTerm = true // another coordinator may send orders during this time
			c.sleep(ctx, idleInterval)
			continue
		}
		c.round(ctx)
		if !c.urgent && c.pending == 0 {
			c.sleep(ctx, max(idleInterval, intervalPerBranch*time.Duration(len(c.branches))))
		}
	}
}

// sleep waits for the duration or until ctx ends.
func (c *Coordinator) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// round reads the group, cancels what an earlier coordinator left unfinished, and changes the map if that is worth its
// cost.
func (c *Coordinator) round(ctx context.Context) {
	c.urgent = false
	if c.pending != 0 {
		c.awaitSwitch(ctx)
	}
	if !c.readAll(ctx) {
		return
	}
	if c.pending != 0 && !c.needsNewTerm {
		c.checkPending()
		if c.pending != 0 || c.needsNewTerm {
			return
		}
	}
	if c.needsNewTerm || c.hasLeftover() || c.versionsSuperseded() {
		if !c.recover(ctx) {
			return
		}
	}
	if !c.learnMap(ctx) {
		return
	}
	p, ok := c.proposePlan()
	if !ok {
		return
	}
	c.switchTo(ctx, p)
}

// readAll reads the status and the counts of all ranks. It reports whether all answered and the group is open.
func (c *Coordinator) readAll(ctx context.Context) bool { return c.read(ctx, readKind{}) }

// readPresent does the same on connections that cannot bring an earlier status.
func (c *Coordinator) readPresent(ctx context.Context) bool {
	return c.read(ctx, readKind{present: true})
}

// readStatuses reads all ranks without the counts. It returns the same as readAll.
func (c *Coordinator) readStatuses(ctx context.Context) bool {
	return c.read(ctx, readKind{statusOnly: true})
}

func (c *Coordinator) read(ctx context.Context, kind readKind) bool {
	c.engine = c.opt.Engine()
	before := slices.Clone(c.answered)
	r := c.readBranches(ctx, kind)
	c.notifyAnswers(before, r.failures)
	c.applyReading(r, c.opt.Now(), kind.statusOnly)
	c.opt.SendReport(c.report())
	return c.allOpen()
}

// applyReading stores a reading and updates what is derived from it.
func (c *Coordinator) applyReading(r reading, now time.Time, statusOnly bool) {
	for rank, reply := range r.replies {
		c.lagged[rank] = c.answered[rank] && reply.Lagged
		if !c.answered[rank] {
			c.status[rank] = Status{}
			continue
		}
		c.status[rank] = reply.Status
		c.version = max(c.version, reply.Status.Map, reply.Status.Prepared, reply.Status.Armed)
	}
	c.updateEpoch()
	if !statusOnly {
		if c.estimate != nil {
			c.estimate.decay(now)
		}
		c.addCounts(r)
	}
}

// notifyAnswers reports the ranks that have stopped or begun answering since the reading before.
func (c *Coordinator) notifyAnswers(before []bool, failures []error) {
	for rank, answered := range c.answered {
		switch {
		case answered == before[rank]:
		case answered:
			c.opt.Notify(Event{Kind: EventRankAnswers, Epoch: c.epoch, Rank: rank})
		default:
			c.opt.Notify(Event{Kind: EventRankSilent, Epoch: c.epoch, Rank: rank, Err: failures[rank]})
		}
	}
}

// addCounts adds the growth of the counts since the last reading to the popularity estimate.
func (c *Coordinator) addCounts(r reading) {
	var sum []float64
	for rank, reply := range r.replies {
		if !c.answered[rank] {
			continue
		}
		c.snapshots[rank] = reply.Number
		err := r.malformed[rank]
		if c.estimate != nil && len(reply.Since) > 0 {
			var chosen []float64
			if chosen, err = decodeCounts(reply.Since, c.estimate.shape.Layers, c.estimate.shape.Experts); err == nil {
				sum = addTo(sum, chosen)
			}
		}
		if err != nil {
			c.opt.Notify(Event{Kind: EventMalformed, Epoch: c.epoch, Rank: rank, Err: err})
		}
	}
	for _, branchSum := range r.sums {
		if c.estimate != nil && len(branchSum) > 0 {
			sum = addTo(sum, branchSum)
		}
	}
	if sum != nil && c.estimate.add(sum) {
		c.urgent = true // the next reading is the first one of the new popularity only
		c.opt.Notify(Event{Kind: EventShifted, Epoch: c.epoch})
	}
}

// updateEpoch discards what was known about an earlier epoch. A group that is formed again starts with map version 0.
func (c *Coordinator) updateEpoch() {
	highest := int64(-1)
	for rank, s := range c.status {
		if c.answered[rank] {
			highest = max(highest, s.Epoch)
		}
	}
	if highest > c.epoch {
		c.epoch, c.mapKnown, c.pending = highest, false, 0
		c.opt.Notify(Event{Kind: EventEpoch, Epoch: highest})
	}
	if c.estimate == nil && c.engine != nil && c.engine.Experts.Layers > 0 {
		c.estimate = newPopularity(c.shape())
	}
}

// layers returns the number of layers, or 0 while it is unknown.
func (c *Coordinator) layers() int {
	if c.engine == nil {
		return 0
	}
	return c.engine.Experts.Layers
}

// experts returns the number of experts in each layer, or 0 while it is unknown.
func (c *Coordinator) experts() int {
	if c.engine == nil {
		return 0
	}
	return c.engine.Experts.Count
}

func (c *Coordinator) shape() expertmap.Shape {
	x := c.engine.Experts
	return expertmap.Shape{Ranks: c.opt.Size, Layers: x.Layers, Experts: x.Count, SlotsPerRank: x.SlotsPerRank}
}

// allOpen reports whether all ranks have answered and are open in the same epoch, and the properties of the engines are
// known.
func (c *Coordinator) allOpen() bool {
	for rank, s := range c.status {
		if !c.answered[rank] || !s.Open || s.Epoch != c.epoch {
			return false
		}
	}
	return c.estimate != nil
}

// awaitSwitch waits until the own rank uses the pending map, for maxSwitchWait at most.
func (c *Coordinator) awaitSwitch(ctx context.Context) {
	for end := c.opt.Now().Add(maxSwitchWait); ctx.Err() == nil && c.opt.Now().Before(end); {
		c.sleep(ctx, switchPollInterval)
		if s, err := c.readOwn(ctx, readKind{}); err == nil && (s.Map == c.pending || s.Epoch != c.epoch) {
			return
		}
	}
}

// checkPending clears the pending version once all ranks use it. An idle group begins no steps, so this may take any
// time. Nothing may be cancelled until then: the ranks are read at slightly different times, so that only some of them
// may seem to be armed.
func (c *Coordinator) checkPending() {
	if own := c.status[c.opt.Rank]; own.Armed != c.pending && own.Map != c.pending {
		c.needsNewTerm = true // another coordinator has cancelled the switch
	}
	inUse := 0
	for _, s := range c.status {
		if s.Map == c.pending {
			inUse++
		}
		if s.Held != nil {
			c.needsNewTerm = true // an order that was believed to be refused was carried out
		}
		if s.Map > c.pending {
			c.needsNewTerm = true // another coordinator has switched the group again
		}
	}
	if inUse == c.opt.Size {
		c.pending = 0
	}
}

// hasLeftover reports whether a rank is held or armed although no switch is in progress.
func (c *Coordinator) hasLeftover() bool {
	for rank, s := range c.status {
		if s.Held != nil || c.armedVersion(rank) != 0 {
			return true
		}
	}
	return false
}

// armedVersion returns the version that a rank is armed with, or 0 if it is not armed. All ranks switch at the same step, so a rank
// that was read as armed with the map that the own rank uses was read before that step.
func (c *Coordinator) armedVersion(rank int) int64 {
	if v := c.status[rank].Armed; v > c.status[c.opt.Rank].Map {
		return v
	}
	return 0
}

// learnMap reads the map in use from the ranks if it is not known. It reports whether the map is known. The experts of a rank that
// were read from another VM may be those of an earlier map, so all must be of the version that the own rank uses.
func (c *Coordinator) learnMap(ctx context.Context) bool {
	if c.mapKnown {
		return true
	}
	version := c.status[c.opt.Rank].Map
	held := make([]HeldExperts, c.opt.Size)
	failed := make([]bool, c.opt.Size)
	forEach(c.opt.Size, func(rank int) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		var err error
		held[rank], err = c.opt.Ranks.Experts(ctx, rank)
		failed[rank] = err != nil || held[rank].Version != version || len(held[rank].ByLayer) != c.engine.Experts.Layers
	})
	if slices.Contains(failed, true) {
		return false
	}
	c.currentMap = port.ExpertMap{Slots: make([][][]int, c.engine.Experts.Layers)}
	for l := range c.currentMap.Slots {
		for _, h := range held {
			c.currentMap.Slots[l] = append(c.currentMap.Slots[l], h.ByLayer[l])
		}
	}
	c.mapKnown, c.agentsMap = true, completeMap
	return true
}

func (c *Coordinator) report() Report {
	r := Report{Term: c.term, Status: slices.Clone(c.status)}
	if c.estimate != nil && c.mapKnown {
		if loads, ok := c.estimate.loads(); ok {
			r.Imbalance = expertmap.Imbalance(c.shape(), c.currentMap, loads, c.paces())
		}
	}
	return r
}
