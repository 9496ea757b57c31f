package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/enginemodel"
	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Sizes of the prefix figure: today's number of targets, and more prompt prefixes than one engine can cache.
const (
	prefixTargets         = 16
	prefixSlots           = 8
	prefixCount           = 400
	prefixesPerCache      = 60 // prefixes that the cache of one engine holds
	prefixBytes           = 8
	prefixRequests        = 30000
	prefixArrivalInterval = time.Millisecond // between two arrivals, which makes the load about half of the capacity
	prefixMissTime        = 80 * time.Millisecond
	prefixHitTime         = 50 * time.Millisecond

	prefixSlotRate      = 1000 // tokens that a slot generates in a second
	prefixTokens        = int((prefixMissTime - prefixHitTime) * prefixSlotRate * placement.PromptTokensPerGenerated / time.Second)
	prefixRequestTokens = int64(prefixMissTime * prefixSlotRate / time.Second) // work of a request in generated tokens
)

// prefixFigures lists the figures of prefix affinity.
func prefixFigures() []Figure {
	return []Figure{{Name: "prefix_hit_share", Run: prefixHitShare}}
}

// prefixHitShare measures the share of requests whose prompt prefix is in the cache of the chosen engine, while the
// router learns the load of a target only when a request ends. The naive version picks the targets round robin. The
// note states the largest number of concurrent requests at one target relative to the mean, because affinity must not
// overload the target of a popular prefix.
func prefixHitShare(_ context.Context, seed int64) (Result, error) {
	ours := newPrefixTrial(seed)
	router := routing.New(routing.Options{DataCentre: "a", Clock: ours.sim, Seed: uint64(seed)})
	ours.run(func(prefix uint64) (int, func(wire.Load)) {
		c := router.Pick(&routing.Query{Kind: wire.KindDraft, Serves: "m", Targets: ours.vms,
			Tokens: prefixRequestTokens, Prompt: promptOf(prefix)})
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

// promptOf returns a prompt that consists of a prefix.
func promptOf(prefix uint64) promptcache.Prompt {
	return promptcache.Prompt{Tokens: prefixTokens, Prefixes: []promptcache.Prefix{{Hash: prefix, Tokens: prefixTokens}}}
}

// prefixTrial simulates engines with prefix caches in virtual time.
type prefixTrial struct {
	sim        *simulation
	vms        []wire.VM
	caches     []*enginemodel.PrefixCache
	running    []int
	peak       int
	runningSum int // of the running requests of all targets, over all arrivals
	hits       int
	zipf       *rand.Zipf
}

func newPrefixTrial(seed int64) *prefixTrial {
	rng := rand.New(rand.NewPCG(uint64(seed), 21))
	p := &prefixTrial{sim: newSimulation(), running: make([]int, prefixTargets), zipf: rand.NewZipf(rng, 1.1, 8, prefixCount-1)}
	for i := range prefixTargets {
		p.vms = append(p.vms, wire.VM{Name: fmt.Sprintf("target-%d", i), DataCentre: "a", State: wire.StateLive})
		p.caches = append(p.caches, enginemodel.NewPrefixCache(prefixesPerCache, prefixBytes))
	}
	return p
}

// run simulates all requests. pick chooses the target of a request and returns a function that receives the load report
// at the end of the request.
func (p *prefixTrial) run(pick func(prefix uint64) (int, func(wire.Load))) {
	for i := range prefixRequests {
		p.sim.after(time.Duration(i)*prefixArrivalInterval, func() {
			prefix := p.zipf.Uint64() + 1
			target, done := pick(prefix)
			took := prefixMissTime
			if p.caches[target].Lookup(fmt.Sprintf("%0*d", prefixBytes, prefix)) > 0 {
				took = prefixHitTime
				p.hits++
			}
			p.begin(target)
			p.sim.after(took, func() {
				p.running[target]--
				done(wire.Load{Slots: prefixSlots, Running: p.running[target], TokensPerS: prefixSlots * prefixSlotRate, CacheTokens: prefixesPerCache * prefixTokens})
			})
		})
	}
	p.sim.run()
}

func (p *prefixTrial) begin(target int) {
	p.running[target]++
	p.peak = max(p.peak, p.running[target])
	for _, n := range p.running {
		p.runningSum += n
	}
}

func (p *prefixTrial) share() float64 { return float64(p.hits) / prefixRequests }

func (p *prefixTrial) peakOverMean() float64 {
	return float64(p.peak) / (float64(p.runningSum) / prefixRequests / prefixTargets)
}
