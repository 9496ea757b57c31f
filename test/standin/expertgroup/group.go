// Package expertgroup is a stand-in for a group of the users' engines: ranks that execute steps together, switch expert
// maps by orders, and may carry out an order seconds after they left it unanswered. It judges that all ranks use one map in
// every step.
package expertgroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Shape is the size of a group.
type Shape struct {
	Ranks, Layers, Experts int
	StepTime               time.Duration // time of one step
	Load                   time.Duration // for each expert that a rank loads
}

const (
	// hotExperts is the number of experts that are chosen most; hotChoices and coldChoices are how often an expert is
	// chosen in a step by the requests of one rank.
	hotExperts  = 2
	hotChoices  = 200
	coldChoices = 20
	// earliestLate and latestLate bound the delay of an order that is carried out late.
	earliestLate = 2 * time.Second
	latestLate   = 12 * time.Second
)

// Group is one group. It is safe for concurrent use. Fields are set before Run.
type Group struct {
	Ranks    []*Rank
	Late     float64                          // share of orders that stay unanswered and are carried out later
	Unfenced bool                             // ranks ignore fencing numbers
	Trace    func(format string, args ...any) // is told what happens until a step has two maps; nil for nobody

	shape   Shape
	mu      sync.Mutex
	rng     *rand.Rand
	step    int64
	epoch   int64
	open    bool
	hot     int
	broken  error
	stalled time.Duration
	last    time.Time
	changes int
}

// Rank is one rank of a group.
type Rank struct {
	group    *Group
	index    int
	experts  [][]int
	version  int64
	highest  int64
	prepared *expertMap
	armed    *expertMap
	held     *int64
	fence    int64
	sequence int64
	counts   []int64
	away     bool
}

type expertMap struct {
	version, step int64
	experts       [][]int
	ready         time.Time
}

// New returns a group that is open, with map 0.
func New(rng *rand.Rand, s Shape) *Group {
	g := &Group{rng: rng, shape: s, last: time.Now()}
	for i := range s.Ranks {
		g.Ranks = append(g.Ranks, &Rank{group: g, index: i, counts: make([]int64, s.Layers*s.Experts)})
	}
	g.Form()
	return g
}

func (g *Group) locked(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// Break stops all steps until Form.
func (g *Group) Break() { g.locked(func() { g.open = false }) }

// Form opens the group in a new epoch, with map 0 on all ranks.
func (g *Group) Form() { g.locked(g.form) }

func (g *Group) form() {
	g.epoch++
	g.open = true
	for _, r := range g.Ranks {
		r.version, r.prepared, r.armed, r.held, r.experts = 0, nil, nil, nil, nil
		for range g.shape.Layers {
			var list []int
			for e := r.index; e < g.shape.Experts; e += g.shape.Ranks {
				list = append(list, e)
			}
			r.experts = append(r.experts, list)
		}
	}
}

// SetLate sets the share of orders that stay unanswered and are carried out later.
func (g *Group) SetLate(share float64) { g.locked(func() { g.Late = share }) }

// SetHot makes other experts popular, from the one given on.
func (g *Group) SetHot(first int) { g.locked(func() { g.hot = first }) }

// Step returns the last step that was begun.
func (g *Group) Step() (step int64) {
	g.locked(func() { step = g.step })
	return step
}

// Broken returns the first step that was begun with two maps.
func (g *Group) Broken() (err error) {
	g.locked(func() { err = g.broken })
	return err
}

// Switches returns how often the map of the first rank has changed.
func (g *Group) Switches() (n int) {
	g.locked(func() { n = g.changes })
	return n
}

// Stalled returns the longest time without a step while the group was open.
func (g *Group) Stalled() (d time.Duration) {
	g.locked(func() { d = g.stalled })
	return d
}

// Run begins steps until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.shape.StepTime)
		g.locked(g.beginStep)
	}
}

func (g *Group) beginStep() {
	if !g.open {
		g.last = time.Now()
		return
	}
	next := g.step + 1
	for _, r := range g.Ranks {
		if r.held != nil && *r.held == next {
			g.stalled = max(g.stalled, time.Since(g.last))
			return
		}
	}
	g.step = next
	g.trace("step %d", next)
	g.last = time.Now()
	for _, r := range g.Ranks {
		if r.armed != nil && r.armed.step == next {
			if r.index == 0 {
				g.changes++
			}
			r.version, r.experts, r.armed = r.armed.version, r.armed.experts, nil
			r.prepared = nil
		}
		for i := range r.counts {
			n := int64(coldChoices)
			if e := i % g.shape.Experts; e >= g.hot && e < g.hot+hotExperts {
				n = hotChoices
			}
			r.counts[i] += n
		}
	}
	for _, r := range g.Ranks[1:] {
		if r.version != g.Ranks[0].version && g.broken == nil {
			g.broken = fmt.Errorf("step %d: rank 0 has map %d and rank %d map %d", g.step, g.Ranks[0].version, r.index, r.version)
		}
	}
}

func (g *Group) trace(format string, args ...any) {
	if g.Trace != nil && g.broken == nil {
		g.Trace(format, args...)
	}
}

// SetAway makes the rank leave everybody without an answer.
func (r *Rank) SetAway(away bool) { r.group.locked(func() { r.away = away }) }

// Status is what a rank says of itself.
type Status struct {
	Index                                     int
	Epoch, Step, Map, Prepared, Armed, Orders int64
	Held                                      *int64
	Open                                      bool
}

// Status returns the state of the rank.
func (r *Rank) Status() Status {
	g := r.group
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Status{Index: r.index, Epoch: g.epoch, Step: g.step, Map: r.version, Orders: r.sequence, Open: g.open}
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
	return s
}

// Counts returns how often the rank's requests chose each expert, layer by layer, with the step and the epoch.
func (r *Rank) Counts() (step, epoch int64, counts []int64) {
	r.group.locked(func() { step, epoch, counts = r.group.step, r.group.epoch, slices.Clone(r.counts) })
	return step, epoch, counts
}

// Experts returns the experts that the rank holds, by layer.
func (r *Rank) Experts() (experts [][]int) {
	r.group.locked(func() { experts = slices.Clone(r.experts) })
	return experts
}
