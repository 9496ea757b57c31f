package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/enginemodel"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Sizes of the prefix figure: today's number of targets, and more prompt prefixes than one engine can cache.
const (
	prefixTargets  = 16
	prefixSlots    = 8
	prefixCount    = 400
	prefixCached   = 60 // prefixes that one engine holds
	prefixBytes    = 8
	prefixRequests = 30000
	prefixGap      = time.Millisecond // between two arrivals, about half of the capacity
	prefixMissed   = 80 * time.Millisecond
	prefixHit      = 50 * time.Millisecond
)

// prefixFigures lists the figures of prefix affinity.
func prefixFigures() []Figure {
	return []Figure{{Name: "prefix_hit_share", Run: prefixHitShare}}
}

// prefixHitShare measures the share of requests whose prompt prefix is in the cache of the chosen engine, with lagging
// load reports. The naive side takes the targets in turn. The line also states the largest number of requests that one
// target had at once, over the mean: affinity must not overload the target of a popular prefix.
func prefixHitShare(_ context.Context, seed int64) (Result, error) {
	ours := newPrefixTrial(seed)
	router := routing.New(routing.Options{DataCentre: "a", Clock: ours.sim, Seed: uint64(seed)})
	ours.run(func(prefix uint64) (int, func(wire.Load)) {
		c := router.Pick(&routing.Query{Kind: wire.KindDraft, Serves: "m", Targets: ours.vms, Tokens: 50, Prefix: prefix})
		var target int
		_, _ = fmt.Sscanf(c.VM.Name, "target-%d", &target)
		return target, func(l wire.Load) {
			c.Report(&l)
			c.Done(routing.NoFailure)
		}
	})
	naive, next := newPrefixTrial(seed), 0
	naive.run(func(uint64) (int, func(wire.Load)) {
		next++
		return next % prefixTargets, func(wire.Load) {}
	})
	return Result{
		Ours: ours.share(), Naive: naive.share(),
		Note: fmt.Sprintf("peak_over_mean=%.2f naive_peak_over_mean=%.2f", ours.peakOverMean(), naive.peakOverMean()),
	}, nil
}

// prefixTrial is a set of engines with prefix caches in virtual time.
type prefixTrial struct {
	sim     *simulation
	vms     []wire.VM
	caches  []*enginemodel.PrefixCache
	running []int
	peak    int
	sum     int // of running requests, at each arrival
	hits    int
	zipf    *rand.Zipf
}

func newPrefixTrial(seed int64) *prefixTrial {
	rng := rand.New(rand.NewPCG(uint64(seed), 21))
	p := &prefixTrial{sim: newSimulation(), running: make([]int, prefixTargets), zipf: rand.NewZipf(rng, 1.1, 8, prefixCount-1)}
	for i := range prefixTargets {
		p.vms = append(p.vms, wire.VM{Name: fmt.Sprintf("target-%d", i), DataCentre: "a", State: wire.StateLive})
		p.caches = append(p.caches, enginemodel.NewPrefixCache(prefixCached, prefixBytes))
	}
	return p
}

// run places all requests with pick, which returns a target and what to do with the load report at the end.
func (p *prefixTrial) run(pick func(prefix uint64) (int, func(wire.Load))) {
	for i := range prefixRequests {
		p.sim.after(time.Duration(i)*prefixGap, func() {
			prefix := p.zipf.Uint64() + 1
			target, done := pick(prefix)
			took := prefixMissed
			if p.caches[target].Lookup(fmt.Sprintf("%0*d", prefixBytes, prefix)) > 0 {
				took = prefixHit
				p.hits++
			}
			p.begin(target)
			p.sim.after(took, func() {
				p.running[target]--
				done(wire.Load{Slots: prefixSlots, Running: p.running[target], TokensPerS: prefixSlots * 1000})
			})
		})
	}
	p.sim.run()
}

func (p *prefixTrial) begin(target int) {
	p.running[target]++
	p.peak = max(p.peak, p.running[target])
	for _, n := range p.running {
		p.sum += n
	}
}

func (p *prefixTrial) share() float64 { return float64(p.hits) / prefixRequests }

func (p *prefixTrial) peakOverMean() float64 {
	return float64(p.peak) / (float64(p.sum) / prefixRequests / prefixTargets)
}
