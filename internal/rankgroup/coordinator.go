package rankgroup

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

// Ranks reaches the processes beside the ranks of the group, and where one of them does not answer, its engine.
type Ranks interface {
	Read(ctx context.Context, rank int, r ReadRequest) (ReadReply, error)
	Order(ctx context.Context, rank int, r OrderRequest) (OrderReply, error)
	// Experts returns the experts that a rank holds, by layer.
	Experts(ctx context.Context, rank int) ([][]int, error)
}

// Options of a coordinator.
type Options struct {
	Rank   int // of the process itself
	Size   int
	Ranks  Ranks
	Engine func() *routetable.Engine // figures of the engines; nil while they are unknown
	Tell   func(Report)              // is told the state of the group; must not block
	Notify func(Event)               // is told each decision; must not block
	Now    func() time.Time
	Active func() bool // says whether this process coordinates the group now
}

// Report is the state of the group for those who send it requests.
type Report struct {
	Term      int64
	Status    []Status // by rank; the zero Status for ranks that did not answer
	Imbalance float64  // of the map in use, by the estimated popularity; 0 if unknown
}

// EventKind names a decision about the group, or a change of what is known of it.
type EventKind string

// Kinds of events.
const (
	EventEpoch         EventKind = "epoch"              // the group formed anew
	EventShifted       EventKind = "popularity-shifted" // other experts are chosen
	EventMalformed     EventKind = "counts-malformed"
	EventSwitched      EventKind = "switched" // all ranks have confirmed a map for one pass
	EventSwitchFailed  EventKind = "switch-failed"
	EventRecoverFailed EventKind = "recover-failed" // a rank did not accept the new term
	EventDisarmFailed  EventKind = "disarm-failed"  // the group stays held
	EventReleased      EventKind = "released"       // a hold that was left over is lifted
)

// Event is a decision about the group.
type Event struct {
	Kind    EventKind
	Epoch   int64
	Version int64
	Step    int64
	Rank    int
	Loads   int     // experts that are loaded
	Before  float64 // imbalance
	After   float64
	Took    time.Duration
	Err     error
}

const (
	// idlePause is the time between two readings of the group while no map is loaded, and rankPause the part of it for each
	// rank, which bounds the bytes of the readings.
	idlePause = 60 * time.Millisecond
	rankPause = 3 * time.Millisecond
	// loadPause is the time between two readings while a map is loaded.
	loadPause = 30 * time.Millisecond
	// readTimeout bounds one reading of a rank.
	readTimeout = 250 * time.Millisecond
)

// Coordinator keeps the map of one group even. Run must be called once.
type Coordinator struct {
	opt Options

	moment int64 // from which the term is made, in milliseconds
	term   int64
	orders []int64 // given in this term, by rank
	fenced bool    // a new term must be begun, since earlier orders may still be carried out
	urgent bool    // the group may be held, so that the next round must not wait

	epoch    int64
	version  int64 // highest version that any rank has had
	current  port.ExpertMap
	known    bool  // current is the map in use
	pending  int64 // version that all ranks have confirmed for a pass that has not begun; 0 for none
	have     []int64
	status   []Status
	answered []bool
	pop      *popularity
	engine   *routetable.Engine
	encoded  []byte // map of the order that is being given; nil for orders without one
}

// NewCoordinator returns a coordinator that must first learn the state of the group.
func NewCoordinator(opt Options) *Coordinator {
	return &Coordinator{opt: opt, have: make([]int64, opt.Size), status: make([]Status, opt.Size), answered: make([]bool, opt.Size),
		orders: make([]int64, opt.Size), fenced: true, epoch: -1}
}

// Run coordinates the group until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !c.opt.Active() {
			c.fenced = true // another coordinator may give orders meanwhile
			c.pause(ctx, idlePause)
			continue
		}
		c.round(ctx)
		if !c.urgent {
			c.pause(ctx, max(idlePause, rankPause*time.Duration(c.opt.Size)))
		}
	}
}

func (c *Coordinator) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// round reads the group, ends what an earlier coordinator left, and changes the map if that pays.
func (c *Coordinator) round(ctx context.Context) {
	c.urgent = false
	if !c.collect(ctx) {
		return
	}
	if c.pending != 0 && !c.fenced {
		c.awaitPass()
		return
	}
	if c.fenced || c.leftover() {
		if !c.recover(ctx) {
			return
		}
	}
	if !c.learnMap(ctx) {
		return
	}
	p, ok := c.plan()
	if !ok {
		return
	}
	c.change(ctx, p)
}

// collect reads all ranks with their counts. It says whether all answered and the group is open.
func (c *Coordinator) collect(ctx context.Context) bool { return c.read(ctx, false) }

// poll reads all ranks without their counts, which are most of the bytes.
func (c *Coordinator) poll(ctx context.Context) bool { return c.read(ctx, true) }

func (c *Coordinator) read(ctx context.Context, statusOnly bool) bool {
	c.engine = c.opt.Engine()
	replies := make([]ReadReply, c.opt.Size)
	c.each(func(rank int) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		reply, err := c.opt.Ranks.Read(ctx, rank, ReadRequest{Coordinator: c.opt.Rank, Have: c.have[rank], StatusOnly: statusOnly,
			Layers: c.layers()})
		c.answered[rank] = err == nil
		replies[rank] = reply
	})
	c.take(replies, c.opt.Now(), statusOnly)
	c.opt.Tell(c.report())
	return c.allOpen()
}

// each calls f for all ranks at the same time and waits for the end.
func (c *Coordinator) each(f func(rank int)) {
	var wg sync.WaitGroup
	for rank := range c.opt.Size {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(rank)
		}()
	}
	wg.Wait()
}

func (c *Coordinator) take(replies []ReadReply, now time.Time, statusOnly bool) {
	for rank, r := range replies {
		if !c.answered[rank] {
			c.status[rank] = Status{}
			continue
		}
		c.status[rank] = r.Status
		c.version = max(c.version, r.Status.Map, r.Status.Prepared, r.Status.Armed)
	}
	c.newEpoch()
	if !statusOnly {
		if c.pop != nil {
			c.pop.age(now)
		}
		c.count(replies)
	}
}

// count takes in what was chosen since the last reading.
func (c *Coordinator) count(replies []ReadReply) {
	var sum []float64
	for rank, r := range replies {
		if !c.answered[rank] {
			continue
		}
		c.have[rank] = r.Number
		if c.pop == nil || len(r.Since) == 0 {
			continue
		}
		chosen, err := decodeCounts(r.Since, c.pop.shape.Layers, c.pop.shape.Experts)
		if err != nil {
			c.opt.Notify(Event{Kind: EventMalformed, Epoch: c.epoch, Rank: rank, Err: err})
			continue
		}
		if sum == nil {
			sum = make([]float64, len(chosen))
		}
		for i, n := range chosen {
			sum[i] += n
		}
	}
	if sum != nil && c.pop.add(sum) {
		c.opt.Notify(Event{Kind: EventShifted, Epoch: c.epoch})
	}
}

// newEpoch forgets what was known of an earlier epoch. A group that forms anew starts with map 0.
func (c *Coordinator) newEpoch() {
	highest := int64(-1)
	for rank, s := range c.status {
		if c.answered[rank] {
			highest = max(highest, s.Epoch)
		}
	}
	if highest > c.epoch {
		c.epoch, c.known, c.pending = highest, false, 0
		c.opt.Notify(Event{Kind: EventEpoch, Epoch: highest})
	}
	if c.pop == nil && c.engine != nil && c.engine.Experts.Layers > 0 {
		c.pop = newPopularity(c.shape())
	}
}

// layers returns the number of layers, or 0 while it is unknown.
func (c *Coordinator) layers() int {
	if c.engine == nil {
		return 0
	}
	return c.engine.Experts.Layers
}

func (c *Coordinator) shape() expertmap.Shape {
	x := c.engine.Experts
	return expertmap.Shape{Ranks: c.opt.Size, Layers: x.Layers, Experts: x.Count, SlotsPerRank: x.Places}
}

func (c *Coordinator) allOpen() bool {
	for rank, s := range c.status {
		if !c.answered[rank] || !s.Open || s.Epoch != c.epoch {
			return false
		}
	}
	return c.pop != nil
}

// awaitPass waits for the pass of a change that all ranks have confirmed. An idle group begins no passes, so that this
// may take any time. Nothing may be undone meanwhile: ranks read at slightly different times may look as if only some of
// them were armed.
func (c *Coordinator) awaitPass() {
	inUse := 0
	for _, s := range c.status {
		if s.Map == c.pending {
			inUse++
		}
		if s.Held != nil {
			c.fenced = true // an order that was thought to be refused was carried out
		}
	}
	if inUse == c.opt.Size {
		c.pending = 0
	}
}

// leftover says whether a rank is held or armed outside of a change.
func (c *Coordinator) leftover() bool {
	return slices.ContainsFunc(c.status, func(s Status) bool { return s.Held != nil || s.Armed != 0 })
}

// learnMap reads the map in use if it is not known.
func (c *Coordinator) learnMap(ctx context.Context) bool {
	if c.known {
		return true
	}
	lists := make([][][]int, c.opt.Size)
	failed := make([]bool, c.opt.Size)
	c.each(func(rank int) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		var err error
		lists[rank], err = c.opt.Ranks.Experts(ctx, rank)
		failed[rank] = err != nil || len(lists[rank]) != c.engine.Experts.Layers
	})
	if slices.Contains(failed, true) {
		return false
	}
	c.current = port.ExpertMap{Slots: make([][][]int, c.engine.Experts.Layers)}
	for l := range c.current.Slots {
		for rank := range lists {
			c.current.Slots[l] = append(c.current.Slots[l], lists[rank][l])
		}
	}
	c.known = true
	return true
}

func (c *Coordinator) report() Report {
	r := Report{Term: c.term, Status: slices.Clone(c.status)}
	if c.pop != nil && c.known {
		if loads, ok := c.pop.loads(); ok {
			r.Imbalance = expertmap.Imbalance(c.shape(), c.current, loads, c.paces())
		}
	}
	return r
}
