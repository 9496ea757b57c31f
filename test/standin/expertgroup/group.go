// Package expertgroup is a stand-in for a group of the users' engines. The ranks execute steps together and switch
// expert maps on orders. A rank may leave an order unanswered and carry it out seconds later. The stand-in checks that
// all ranks use the same map in every step.
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
	StepTime               time.Duration // duration of one step
	Load                   time.Duration // time to load one expert
	Popular                int           // number of popular experts in each layer
}

const (
	// In each step, the requests of a rank choose each popular expert popularChoices times and each other expert
	// otherChoices times.
	popularChoices = 200
	otherChoices   = 20
	// minLateDelay and maxLateDelay bound the delay after which an unanswered order is carried out.
	minLateDelay = 2 * time.Second
	maxLateDelay = 12 * time.Second
)

// Group is a group of ranks. It is safe for concurrent use. The exported fields must be set before Run.
type Group struct {
	Ranks    []*Rank
	Late     float64                          // share of orders that are not answered and are carried out later
	Unfenced bool                             // ranks ignore fencing numbers
	Trace    func(format string, args ...any) // called for each step and order until a step has two maps; may be nil

	shape        Shape
	mu           sync.Mutex
	rng          *rand.Rand
	step         int64
	epoch        int64
	open         bool
	firstPopular int
	mixedMaps    error
	longestStall time.Duration
	lastStepAt   time.Time
	mapSwitches  int
}

// Rank is one rank of a group.
type Rank struct {
	group           *Group
	index           int
	experts         [][]int
	version         int64
	highestPrepared int64
	prepared        *expertMap
	armed           *expertMap
	heldStep        *int64
	fencingNumber   int64
	acceptedOrders  int64
	counts          []int64
	unresponsive    bool
}

type expertMap struct {
	version, step int64
	experts       [][]int
	readyAt       time.Time
}

// New returns an open group whose ranks use map 0.
func New(rng *rand.Rand, s Shape) *Group {
	g := &Group{rng: rng, shape: s, lastStepAt: time.Now()}
	for i := range s.Ranks {
		g.Ranks = append(g.Ranks, &Rank{group: g, index: i, counts: make([]int64, s.Layers*s.Experts)})
	}
	g.Form()
	return g
}

func (g *Group) withLock(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// Break closes the group, so that no step begins until Form is called.
func (g *Group) Break() { g.withLock(func() { g.open = false }) }

// Form opens the group in a new epoch in which all ranks use map 0.
func (g *Group) Form() { g.withLock(g.form) }

func (g *Group) form() {
	g.epoch++
	g.open = true
	for _, r := range g.Ranks {
		r.version, r.prepared, r.armed, r.heldStep, r.experts = 0, nil, nil, nil, nil
		for range g.shape.Layers {
			var list []int
			for e := r.index; e < g.shape.Experts; e += g.shape.Ranks {
				list = append(list, e)
			}
			r.experts = append(r.experts, list)
		}
	}
}

// SetLateShare sets the share of orders that are not answered and are carried out later.
func (g *Group) SetLateShare(share float64) { g.withLock(func() { g.Late = share }) }

// SetPopular makes first and the experts that follow it the popular ones.
func (g *Group) SetPopular(first int) { g.withLock(func() { g.firstPopular = first }) }

// Step returns the number of the last step that began.
func (g *Group) Step() (step int64) {
	g.withLock(func() { step = g.step })
	return step
}

// MixedMaps returns an error that describes the first step in which two ranks used different maps, or nil.
func (g *Group) MixedMaps() (err error) {
	g.withLock(func() { err = g.mixedMaps })
	return err
}

// Switches returns the number of map switches of rank 0.
func (g *Group) Switches() (n int) {
	g.withLock(func() { n = g.mapSwitches })
	return n
}

// LongestStall returns the longest time without a step while a hold kept the next step from beginning.
func (g *Group) LongestStall() (d time.Duration) {
	g.withLock(func() { d = g.longestStall })
	return d
}

// Run begins steps until ctx ends.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.shape.StepTime)
		g.withLock(g.beginStep)
	}
}

func (g *Group) beginStep() {
	if !g.open {
		g.lastStepAt = time.Now()
		return
	}
	next := g.step + 1
	for _, r := range g.Ranks {
		if r.heldStep != nil && *r.heldStep == next {
			g.longestStall = max(g.longestStall, time.Since(g.lastStepAt))
			return
		}
	}
	g.step = next
	g.trace("step %d", next)
	g.lastStepAt = time.Now()
	for _, r := range g.Ranks {
		if r.armed != nil && r.armed.step == next {
			if r.index == 0 {
				g.mapSwitches++
			}
			r.version, r.experts, r.armed = r.armed.version, r.armed.experts, nil
			r.prepared = nil
		}
		for i := range r.counts {
			r.counts[i] += g.choices(i % g.shape.Experts)
		}
	}
	for _, r := range g.Ranks[1:] {
		if r.version != g.Ranks[0].version && g.mixedMaps == nil {
			g.mixedMaps = fmt.Errorf("step %d: rank 0 has map %d and rank %d map %d", g.step, g.Ranks[0].version, r.index, r.version)
		}
	}
}

func (g *Group) trace(format string, args ...any) {
	if g.Trace != nil && g.mixedMaps == nil {
		g.Trace(format, args...)
	}
}

// Imbalance returns the work of the most loaded rank in the present map, relative to the mean and averaged over the
// layers.
func (g *Group) Imbalance() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum := 0.0
	for l := range g.shape.Layers {
		sum += g.layerImbalance(l)
	}
	return sum / float64(g.shape.Layers)
}

func (g *Group) layerImbalance(layer int) float64 {
	replicas := make([]float64, g.shape.Experts)
	for _, r := range g.Ranks {
		for _, e := range r.experts[layer] {
			replicas[e]++
		}
	}
	most, total := 0.0, 0.0
	for _, r := range g.Ranks {
		work := 0.0
		for _, e := range r.experts[layer] {
			work += float64(g.choices(e)) / replicas[e]
		}
		most, total = max(most, work), total+work
	}
	return most * float64(len(g.Ranks)) / total
}

// choices returns how often the requests of a rank choose an expert in one step.
func (g *Group) choices(expert int) int64 {
	if expert >= g.firstPopular && expert < g.firstPopular+g.shape.Popular {
		return popularChoices
	}
	return otherChoices
}

// SetUnresponsive sets whether the rank leaves all calls unanswered.
func (r *Rank) SetUnresponsive(unresponsive bool) {
	r.group.withLock(func() { r.unresponsive = unresponsive })
}

// Status is the state that a rank reports.
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
	s := Status{Index: r.index, Epoch: g.epoch, Step: g.step, Map: r.version, Orders: r.acceptedOrders, Open: g.open}
	if r.prepared != nil && !time.Now().Before(r.prepared.readyAt) {
		s.Prepared = r.prepared.version
	}
	if r.armed != nil {
		s.Armed = r.armed.version
	}
	if r.heldStep != nil {
		held := *r.heldStep
		s.Held = &held
	}
	return s
}

// Counts returns how often the requests of the rank chose each expert, ordered by layer and then by expert, together
// with the current step and epoch.
func (r *Rank) Counts() (step, epoch int64, counts []int64) {
	r.group.withLock(func() { step, epoch, counts = r.group.step, r.group.epoch, slices.Clone(r.counts) })
	return step, epoch, counts
}

// Siblings returns all ranks of the rank's group.
func (r *Rank) Siblings() []*Rank { return r.group.Ranks }

// Experts returns the experts that the rank holds, with one list for each layer.
func (r *Rank) Experts() [][]int {
	_, experts := r.MapAndExperts()
	return experts
}

// MapAndExperts returns the version of the map in use and the experts that the rank holds by it, with one list for each layer.
func (r *Rank) MapAndExperts() (version int64, experts [][]int) {
	r.group.withLock(func() { version, experts = r.version, slices.Clone(r.experts) })
	return version, experts
}
