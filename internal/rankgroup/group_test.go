package rankgroup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// The figures of the group in tests are those of a small group of the users' engines.
const (
	testRanks   = 4
	testLayers  = 2
	testExperts = 8
	testPlaces  = 4
	testPass    = 60 * time.Millisecond
)

var testEngine = &routetable.Engine{Experts: routetable.Experts{
	Layers: testLayers, Count: testExperts, Places: testPlaces, NewPerLayer: 2, ExpertBytes: 1.7e9, LinkBandwidth: 92e9,
}}

// fakeGroup steps its ranks together as the users' engines do, and judges that they use one map in every pass.
type fakeGroup struct {
	mu       sync.Mutex
	rng      *rand.Rand
	ranks    []*fakeRank
	step     int64
	epoch    int64
	open     bool
	hot      int           // experts from here on are chosen most
	late     float64       // share of orders that stay unanswered and are carried out later
	unfenced bool          // engines ignore fencing numbers
	broken   error         // the first pass with two maps
	stalled  time.Duration // longest time without a pass while the group was open
	passes   int
	last     time.Time
	trace    func(format string, args ...any)
}

type fakeRank struct {
	g        *fakeGroup
	i        int
	experts  [][]int
	version  int64
	highest  int64
	prepared *fakeMap
	armed    *fakeMap
	held     *int64
	fence    int64
	sequence int64
	counts   []int64
	away     bool // no answer to anybody
}

type fakeMap struct {
	version int64
	step    int64
	experts [][]int
	ready   time.Time
}

func newFakeGroup(rng *rand.Rand) *fakeGroup {
	g := &fakeGroup{rng: rng, last: time.Now()}
	for i := range testRanks {
		g.ranks = append(g.ranks, &fakeRank{g: g, i: i, counts: make([]int64, testLayers*testExperts)})
	}
	g.form()
	return g
}

// form opens the group in a new epoch, with map 0 on all ranks.
func (g *fakeGroup) form() {
	g.epoch++
	g.open = true
	for _, r := range g.ranks {
		r.version, r.prepared, r.armed, r.held, r.experts = 0, nil, nil, nil, nil
		for range testLayers {
			var list []int
			for e := r.i; e < testExperts; e += testRanks {
				list = append(list, e)
			}
			r.experts = append(r.experts, list)
		}
	}
}

// run begins passes until ctx ends.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(testPass)
		g.pass()
	}
}

func (g *fakeGroup) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open {
		g.last = time.Now()
		return
	}
	next := g.step + 1
	for _, r := range g.ranks {
		if r.held != nil && *r.held == next {
			g.stalled = max(g.stalled, time.Since(g.last))
			return
		}
	}
	g.step = next
	g.trace("pass %d", next)
	g.passes++
	g.last = time.Now()
	for _, r := range g.ranks {
		if r.armed != nil && r.armed.step == next {
			r.version, r.experts, r.armed = r.armed.version, r.armed.experts, nil
			r.prepared = nil
		}
		for l := range testLayers {
			for e := range testExperts {
				n := int64(20)
				if e >= g.hot && e < g.hot+2 {
					n = 200
				}
				r.counts[l*testExperts+e] += n
			}
		}
	}
	g.judge()
}

func (g *fakeGroup) judge() {
	for _, r := range g.ranks[1:] {
		if r.version != g.ranks[0].version && g.broken == nil {
			g.broken = fmt.Errorf("pass %d: rank 0 has map %d and rank %d map %d", g.step, g.ranks[0].version, r.i, r.version)
		}
	}
}

var errAway = errors.New("no answer")

// wait takes the time of one call. A rank that is away lets the caller's time run out.
func (r *fakeRank) wait(ctx context.Context) error {
	r.g.mu.Lock()
	away := r.away
	d := time.Duration(1+r.g.rng.IntN(4)) * time.Millisecond
	r.g.mu.Unlock()
	if away {
		<-ctx.Done()
		return errAway
	}
	time.Sleep(d)
	return ctx.Err()
}

func (r *fakeRank) Status(ctx context.Context) (Status, error) {
	if err := r.wait(ctx); err != nil {
		return Status{}, err
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	s := Status{Group: "g", Epoch: r.g.epoch, Rank: r.i, Size: testRanks, Open: r.g.open, Born: 1, Step: r.g.step, Map: r.version,
		Sequence: r.sequence, Active: 5, Pace: 1}
	if r.prepared != nil && !time.Now().Before(r.prepared.ready) {
		s.Prepared = r.prepared.version
	}
	if r.armed != nil {
		s.Armed = r.armed.version
	}
	if r.held != nil {
		held := *r.held
		s.Held = &held
	}
	return s, nil
}

func (r *fakeRank) Counts(ctx context.Context) (Counts, error) {
	if err := r.wait(ctx); err != nil {
		return Counts{}, err
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return Counts{Step: r.g.step, Epoch: r.g.epoch, Total: slices.Clone(r.counts)}, nil
}

func (r *fakeRank) Experts(ctx context.Context) ([][]int, error) {
	if err := r.wait(ctx); err != nil {
		return nil, err
	}
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return slices.Clone(r.experts), nil
}

func (r *fakeRank) Order(ctx context.Context, o Order) error {
	if err := r.wait(ctx); err != nil {
		return err
	}
	r.g.mu.Lock()
	late := r.g.rng.Float64() < r.g.late
	delay := time.Duration(2000+r.g.rng.IntN(10000)) * time.Millisecond
	r.g.mu.Unlock()
	if !late {
		return r.carryOut(o)
	}
	time.AfterFunc(delay, func() { _ = r.carryOut(o) })
	<-ctx.Done()
	return ctx.Err()
}

func (r *fakeRank) carryOut(o Order) error {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	err := r.apply(o)
	r.g.trace("rank %d at pass %d: %s version %d step %d fence %d: %v", r.i, r.g.step, o.Op, o.Version, o.Step, o.Fence, err)
	return err
}

// apply follows the pages of the users' engines.
func (r *fakeRank) apply(o Order) error {
	g := r.g
	if !g.unfenced {
		if o.Fence < r.fence {
			return ErrFenced
		}
		r.fence = o.Fence
	}
	if o.Epoch != g.epoch || !g.open {
		return ErrConflict
	}
	switch o.Op {
	case OpPrepare:
		return r.prepare(o)
	case OpArm:
		return r.arm(o)
	case OpDisarm:
		if r.version == o.Version {
			return ErrConflict
		}
		if r.armed != nil && r.armed.version == o.Version {
			r.armed = nil
		}
	case OpHold:
		if o.Step <= g.step || r.held != nil && *r.held != o.Step {
			return ErrConflict
		}
		r.held = &o.Step
	case OpRelease:
		if r.held != nil && *r.held == o.Step {
			r.held = nil
		}
	}
	return nil
}

func (r *fakeRank) prepare(o Order) error {
	if o.Version <= r.highest || r.armed != nil {
		return ErrConflict
	}
	m := &fakeMap{version: o.Version}
	loads := 0
	for l, ranks := range o.Map {
		m.experts = append(m.experts, slices.Clone(ranks[r.i]))
		for _, e := range ranks[r.i] {
			if !slices.Contains(r.experts[l], e) {
				loads++
			}
		}
	}
	m.ready = time.Now().Add(testEngine.Experts.LoadTime() * time.Duration(loads))
	r.prepared, r.highest = m, o.Version
	r.sequence++
	return nil
}

func (r *fakeRank) arm(o Order) error {
	switch {
	case r.armed != nil && r.armed.version == o.Version && r.armed.step == o.Step:
		return nil
	case o.Step <= r.g.step, r.prepared == nil || r.prepared.version != o.Version || time.Now().Before(r.prepared.ready):
		return ErrConflict
	}
	r.armed = &fakeMap{version: o.Version, step: o.Step, experts: r.prepared.experts}
	r.sequence++
	return nil
}

// fakeLinks reaches the ranks of the group through agents, as one process.
type fakeLinks struct {
	g      *fakeGroup
	agents []*Agent
	// cut fails calls of this process to other ranks' agents; their engines are reached directly.
	cut    func(rank int) bool
	self   int
	direct []*Agent
}

func (l *fakeLinks) Read(ctx context.Context, rank int, r ReadRequest) (ReadReply, error) {
	if rank != l.self && l.cut(rank) {
		s, err := l.g.ranks[rank].Status(ctx)
		return ReadReply{Status: s}, err
	}
	return l.agents[rank].Read(ctx, r)
}

func (l *fakeLinks) Order(ctx context.Context, rank int, r OrderRequest) (OrderReply, error) {
	if rank != l.self && l.cut(rank) {
		return l.direct[rank].Order(ctx, r)
	}
	return l.agents[rank].Order(ctx, r)
}

func (l *fakeLinks) Experts(ctx context.Context, rank int) ([][]int, error) {
	return l.g.ranks[rank].Experts(ctx)
}

func newFakeLinks(g *fakeGroup, agents []*Agent, self int, cut func(int) bool) *fakeLinks {
	l := &fakeLinks{g: g, agents: agents, self: self, cut: cut}
	for _, r := range g.ranks {
		l.direct = append(l.direct, NewAgent(r, 0))
	}
	return l
}

func newAgents(g *fakeGroup) []*Agent {
	var out []*Agent
	for _, r := range g.ranks {
		out = append(out, NewAgent(r, time.Now().UnixNano()))
	}
	return out
}
