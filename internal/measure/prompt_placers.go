package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// promptPolicy states how a placer uses what engines keep.
type promptPolicy int

const (
	promptsWeighed  promptPolicy = iota // by the predicted time to the first token, as the router and the balancer do
	promptsIgnored                      // by load only
	promptsFollowed                     // always to the engine that holds the longest prefix
)

// routerPlacer places requests with the router of the own interface, at several entries.
type routerPlacer struct {
	trial   *promptTrial
	policy  promptPolicy
	routers []*routing.Router
	// trackers are what the entries know if the policy follows it.
	trackers []*promptcache.Tracker[string]
	vms      []wire.VM
	index    map[string]int
	choices  map[*promptRequest]*routing.Choice
	decode   time.Duration // mean, for the expected work
}

func newRouterPlacer(t *promptTrial, policy promptPolicy, decode time.Duration, seed uint64) *routerPlacer {
	p := &routerPlacer{trial: t, policy: policy, index: map[string]int{}, choices: map[*promptRequest]*routing.Choice{}, decode: decode}
	for i := range t.engines {
		name := fmt.Sprintf("target-%d", i)
		p.vms = append(p.vms, wire.VM{Name: name, DataCentre: "a", State: wire.StateLive})
		p.index[name] = i
	}
	for i := range entryCount {
		p.routers = append(p.routers, routing.New(routing.Options{DataCentre: "a", Clock: t.sim, Seed: seed<<8 + uint64(i)}))
		p.trackers = append(p.trackers, promptcache.New[string]())
	}
	t.placer = p
	return p
}

// slotRate returns the tokens that a slot generates in a second.
func (p *routerPlacer) slotRate() float64 {
	return p.trial.engines[0].spec.prefillRate / placement.PromptTokensPerGenerated
}

func (p *routerPlacer) place(r *promptRequest) {
	q := &routing.Query{Kind: wire.KindDraft, Serves: "m", Targets: p.vms, Prompt: r.prompt,
		Tokens: int64(r.prompt.Tokens/placement.PromptTokensPerGenerated) + int64(p.decode.Seconds()*p.slotRate())}
	router, tracker := p.routers[r.entry], p.trackers[r.entry]
	var c *routing.Choice
	if p.policy != promptsWeighed {
		q.Prompt.Prefixes = nil
	}
	if p.policy == promptsFollowed {
		if name, ok := longestHolder(tracker.Kept(&r.prompt)); ok {
			c = router.PickNamed(q, name)
		}
	}
	if c == nil {
		c = router.Pick(q)
	}
	if p.policy == promptsFollowed {
		tracker.Sent(c.VM.Name, promptcache.Engine{Memory: p.trial.engines[0].spec.memory}, &r.prompt).Ended(true)
	}
	p.choices[r] = c
	p.trial.send(r, p.index[c.VM.Name])
}

func (p *routerPlacer) firstToken(r *promptRequest) { p.report(r) }

func (p *routerPlacer) ended(r *promptRequest) {
	p.report(r)
	p.choices[r].Done(routing.NoFailure)
	delete(p.choices, r)
}

// report passes the load of a request's engine to its entry.
func (p *routerPlacer) report(r *promptRequest) {
	e := p.trial.engines[r.target]
	wait := time.Duration(0)
	if e.running >= e.spec.slots {
		service := p.decode + time.Duration(float64(r.prompt.Tokens)/e.spec.prefillRate*float64(time.Second))
		wait = service * time.Duration(len(e.queue)+1) / time.Duration(e.spec.slots)
	}
	p.choices[r].Report(&wire.Load{Slots: e.spec.slots, Running: e.running, Queued: len(e.queue), WaitLong: wait, WaitShort: wait,
		TokensPerS: p.slotRate() * float64(e.spec.slots) / e.slowdown, CacheTokens: e.spec.memory})
}

// balancerPlacer places requests with the balancer of the users' platform, at several entries that tell each other their
// requests in flight. Requests that find no place wait in the order of their arrival.
type balancerPlacer struct {
	trial     *promptTrial
	policy    promptPolicy
	service   *routetable.Service
	balancers []*balance.Balancer
	trackers  []*promptcache.Tracker[int]
	targets   []*targetset.Target
	index     map[string]int
	leases    map[*promptRequest]*balance.Lease
	uses      map[*promptRequest]*promptcache.Use[int]
	waiting   []*promptRequest
}

// peerReportInterval is the time between two reports of an entry's requests in flight.
const peerReportInterval = 200 * time.Millisecond

func newBalancerPlacer(t *promptTrial, policy promptPolicy, seed uint64) *balancerPlacer {
	spec := t.engines[0].spec
	p := &balancerPlacer{trial: t, policy: policy, index: map[string]int{}, leases: map[*promptRequest]*balance.Lease{},
		uses: map[*promptRequest]*promptcache.Use[int]{},
		service: &routetable.Service{Name: "m", Engine: &routetable.Engine{Slots: spec.slots, MemoryTokens: spec.memory, Stride: 1,
			StepTime: spec.stepTime, PrefillRate: spec.prefillRate, KeepsPrompts: !spec.inFlight}}}
	for i := range t.engines {
		id := fmt.Sprintf("i-%d", i)
		p.targets = append(p.targets, &targetset.Target{ID: id, Addr: id, Service: "m", Slots: spec.slots, DataCentre: "a"})
		p.index[id] = i
	}
	for i := range entryCount {
		b := balance.New("a", t.sim.Now)
		b.Random = rand.New(rand.NewPCG(seed, uint64(i))).Float64
		p.balancers = append(p.balancers, b)
		p.trackers = append(p.trackers, promptcache.New[int]())
	}
	t.placer = p
	return p
}

// exchange reports the requests in flight of each entry to the others, and the paces of the engines to all, until the time
// end.
func (p *balancerPlacer) exchange(end time.Duration) {
	seq := int64(0)
	p.trial.sim.every(peerReportInterval, end, func() {
		seq++
		p.reportPaces(seq)
		for i, from := range p.balancers {
			counts := from.InFlight()
			for j, to := range p.balancers {
				if i != j {
					to.SetPeerInFlight(fmt.Sprint(i), counts)
				}
			}
		}
	})
}

// reportPaces reports all engines as one group.
func (p *balancerPlacer) reportPaces(seq int64) {
	group := balance.GroupReport{Name: "g", Seq: seq, TakesRequests: true, Imbalance: 1}
	for i, t := range p.targets {
		group.Ranks = append(group.Ranks, balance.RankReport{Engine: t.Addr, Pace: p.trial.engines[i].slowdown})
	}
	for _, b := range p.balancers {
		b.UpdateGroup(group)
	}
}

func (p *balancerPlacer) place(r *promptRequest) {
	p.waiting = append(p.waiting, r)
	p.placeWaiting()
}

// placeWaiting places the waiting requests that find a place.
func (p *balancerPlacer) placeWaiting() {
	kept := p.waiting[:0]
	for _, r := range p.waiting {
		if !p.tryPlace(r) {
			kept = append(kept, r)
		}
	}
	p.waiting = kept
}

// tryPlace places a request if a place is free for it.
func (p *balancerPlacer) tryPlace(r *promptRequest) bool {
	targets := p.targets
	if p.policy == promptsFollowed {
		if i, ok := longestHolder(p.trackers[r.entry].Kept(&r.prompt)); ok {
			targets = targets[i : i+1]
		}
	}
	job := &balance.Job{Name: "m", Service: p.service, Returning: true, Targets: func() []*targetset.Target { return targets }}
	if p.policy == promptsWeighed {
		job.Prompt = r.prompt
	}
	lease, refusal := p.balancers[r.entry].Acquire(context.Background(), job)
	if refusal != nil {
		return false
	}
	i := p.index[lease.Target.ID]
	p.leases[r] = lease
	if p.policy == promptsFollowed {
		state := promptcache.Engine{Memory: p.service.Engine.MemoryTokens}
		if !p.service.Engine.KeepsPrompts {
			state.Retention = promptcache.InFlight
		}
		p.uses[r] = p.trackers[r.entry].Sent(i, state, &r.prompt)
	}
	p.trial.send(r, i)
	return true
}

func (p *balancerPlacer) firstToken(r *promptRequest) { p.leases[r].EventReceived(0) }

func (p *balancerPlacer) ended(r *promptRequest) {
	p.leases[r].Done(balance.Served)
	delete(p.leases, r)
	if u := p.uses[r]; u != nil {
		u.Ended(true)
		delete(p.uses, r)
	}
	p.placeWaiting()
}
