package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// loadClass is a class of callers in a simulated load.
type loadClass struct {
	priority  int
	perSecond func(at time.Duration) float64
	objective time.Duration
	account   func(r *rand.Rand) string
}

// load is a simulated load on two engine groups that several entries share.
type load struct {
	prioritized bool // false for the policy of services without priorities
	entries     int
	groupSize   int
	duration    time.Duration
	classes     []loadClass
	// disturb is called every tick with the simulation. It may be nil.
	disturb func(s *simulation, at time.Duration)
}

// tally counts the requests of a class, by the second in which they arrived.
type tally struct{ arrived, inTime, late, lost int } // lost requests were refused twice

// simulation runs a load with real balancers over a model of engine groups.
type simulation struct {
	load
	seed    uint64
	start   time.Time
	service *routetable.Service
	groups  []*simGroup

	mu       sync.Mutex
	entry    []*Balancer
	targets  []*targetset.Target // that are listed
	tallies  map[int][]tally     // by priority and second
	accounts map[string]*tally
	wg       sync.WaitGroup
}

// simGroup is an engine group: all its streams send an event at the end of each step.
type simGroup struct {
	name      string
	targets   []*targetset.Target
	imbalance float64
	mu        sync.Mutex
	streams   map[*simStream]bool
	seq       int64
}

// simStream is a request that an engine runs.
type simStream struct {
	lease    *Lease
	events   int // number of events that are left
	reading  int // steps in which the prompt is processed, before the first event
	started  bool
	arrived  time.Time
	last     time.Time
	firstAt  time.Duration
	longest  time.Duration
	finished func(first, longest time.Duration)
}

const (
	simTick       = 10 * time.Millisecond  // time between two calls of load.disturb
	simHeartbeat  = 200 * time.Millisecond // time between two exchanges of the entries
	simEventGap   = 120 * time.Millisecond
	simTimeLimit  = 8 * time.Second // of one caller, over both attempts
	simPrefill    = 2 * time.Millisecond
	simMeanEvents = 23 // of one answer
)

var simEngine = &routetable.Engine{
	Slots: 10, Stride: 7, StepTime: 4840 * time.Microsecond, PerRequest: 435 * time.Microsecond,
	Experts: routetable.Experts{Share: 0.85},
}

// run simulates the load and returns the simulation with its tallies.
func (l load) run(t *testing.T, seed uint64) *simulation {
	s := &simulation{load: l, seed: seed, tallies: map[int][]tally{}, accounts: map[string]*tally{},
		service: &routetable.Service{Name: "m", Engine: simEngine}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s.start = time.Now()
		for i := range 2 {
			g := &simGroup{name: fmt.Sprint("g", i), imbalance: 1.25, streams: map[*simStream]bool{}}
			for r := range l.groupSize {
				x := &targetset.Target{ID: fmt.Sprint("i-", i, "-", r), Addr: fmt.Sprint("a-", i, "-", r), Service: "m", Slots: simEngine.Slots, DataCentre: "near"}
				g.targets = append(g.targets, x)
				s.targets = append(s.targets, x)
			}
			s.groups = append(s.groups, g)
		}
		s.restartEntries()
		for _, g := range s.groups {
			s.report(g)
			go s.runSteps(ctx, g)
		}
		for i, c := range l.classes {
			s.tallies[c.priority] = make([]tally, int(l.duration/time.Second)+1)
			go s.arrivals(ctx, c, rand.New(rand.NewPCG(seed, uint64(i))))
		}
		s.wg.Add(1) // held until all callers have arrived
		go s.exchange(ctx)
		for at := time.Duration(0); at < l.duration; at += simTick {
			if l.disturb != nil {
				l.disturb(s, at)
			}
			time.Sleep(simTick)
		}
		s.wg.Done()
		s.wg.Wait()
		cancel()
		time.Sleep(2 * time.Second) // until the loops have ended
	})
	return s
}

// restartEntries replaces all entries by new ones that know nothing yet. The streams of the old ones break.
func (s *simulation) restartEntries() {
	for _, g := range s.groups {
		g.mu.Lock()
		for x := range g.streams {
			x.finished(simTimeLimit, 0)
		}
		clear(g.streams)
		g.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry = nil
	for i := range s.entries {
		b := New("near", time.Now)
		b.Random = rand.New(rand.NewPCG(s.seed, uint64(i))).Float64
		s.entry = append(s.entry, b)
	}
}

func (s *simulation) list() []*targetset.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets
}

func (s *simulation) all() []*Balancer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry
}

func (s *simulation) report(g *simGroup) {
	g.mu.Lock()
	g.seq++
	r := groupReport(g.name, g.seq, g.targets, g.imbalance)
	g.mu.Unlock()
	for _, b := range s.all() {
		b.UpdateGroup(r)
	}
}

// exchange passes the state of each entry to the others, and that of the groups to all.
func (s *simulation) exchange(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		all := s.all()
		for j, from := range all {
			inFlight, demand := from.InFlight(), from.Demand()
			for k, to := range all {
				if k != j {
					to.SetPeerInFlight(fmt.Sprint("e", j), inFlight)
					to.SetPeerDemand(fmt.Sprint("e", j), demand)
				}
			}
			from.Sweep(map[string]*targetset.Target{})
		}
		for _, g := range s.groups {
			s.report(g)
		}
		time.Sleep(simHeartbeat)
	}
}

// arrivals starts the callers of a class at random times.
func (s *simulation) arrivals(ctx context.Context, c loadClass, r *rand.Rand) {
	for ctx.Err() == nil {
		at := time.Since(s.start)
		time.Sleep(time.Duration(r.ExpFloat64() / max(0.1, c.perSecond(at)) * float64(time.Second)))
		if at = time.Since(s.start); at >= s.duration {
			return
		}
		account := ""
		if c.account != nil {
			account = c.account(r)
		}
		events, reading := 1+r.IntN(2*simMeanEvents-1), 0
		if r.IntN(4) == 0 {
			reading = 1
		}
		s.wg.Go(func() { s.call(ctx, c, account, events, reading, at) })
	}
}

// call is one caller, who returns once after a refusal.
func (s *simulation) call(ctx context.Context, c loadClass, account string, events, reading int, at time.Duration) {
	arrived := time.Now()
	for attempt := range 2 {
		all := s.all()
		left := simTimeLimit - time.Since(arrived)
		share := 0.45
		if s.prioritized {
			share = 1
		}
		job := &Job{Name: "m", Service: s.service, EventGap: simEventGap, Remaining: left, Priority: c.priority, Class: c.priority, Returning: attempt > 0,
			MaxWait: time.Duration(share * float64(c.objective)), Objective: c.objective, Account: account, Prioritized: s.prioritized, Targets: s.list}
		if job.Returning {
			job.MaxWait = min(1500*time.Millisecond, time.Duration(0.4*float64(left)))
		}
		lease, refusal := all[rand.IntN(len(all))].Acquire(ctx, job)
		if refusal != nil {
			if attempt == 0 {
				time.Sleep(refusal.RetryAfter)
			}
			continue
		}
		done := make(chan struct{})
		s.startStream(&simStream{lease: lease, events: events, reading: reading, arrived: arrived, finished: func(first, longest time.Duration) {
			s.count(c, account, at, first <= c.objective && longest <= simEventGap, true)
			close(done)
		}})
		<-done
		return
	}
	s.count(c, account, at, false, false)
}

func (s *simulation) count(c loadClass, account string, at time.Duration, inTime, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accounts[account] == nil {
		s.accounts[account] = &tally{}
	}
	for _, x := range []*tally{&s.tallies[c.priority][int(at/time.Second)], s.accounts[account]} {
		x.arrived++
		switch {
		case inTime:
			x.inTime++
		case served:
			x.late++
		default:
			x.lost++
		}
	}
}

// startStream adds a stream to the group of its target.
func (s *simulation) startStream(x *simStream) {
	for _, g := range s.groups {
		for _, t := range g.targets {
			if t == x.lease.Target {
				g.mu.Lock()
				g.streams[x] = true
				g.mu.Unlock()
				return
			}
		}
	}
}

// runSteps executes the steps of a group until ctx ends.
func (s *simulation) runSteps(ctx context.Context, g *simGroup) {
	for ctx.Err() == nil {
		perRank, prefill := map[*targetset.Target]int{}, map[*targetset.Target]time.Duration{}
		var taking []*simStream
		g.mu.Lock()
		for x := range g.streams {
			perRank[x.lease.Target]++
			if !x.started {
				x.started = true
				prefill[x.lease.Target] += simPrefill
			}
			taking = append(taking, x)
		}
		imbalance := g.imbalance
		g.mu.Unlock()
		most, longest := 0, time.Duration(0)
		for t, n := range perRank {
			most, longest = max(most, n), max(longest, prefill[t])
		}
		mean := float64(len(taking)) / float64(len(g.targets))
		step := time.Duration(float64(stepTime(simEngine, most, mean, imbalance, 1))*(1-prefillShare)) + longest
		time.Sleep(max(step, simTick))
		for _, x := range taking {
			g.mu.Lock()
			ended := g.streams[x] && x.step()
			if ended {
				delete(g.streams, x)
			}
			g.mu.Unlock()
			if ended {
				x.lease.Done(Served)
				x.finished(x.firstAt, x.longest)
			}
		}
	}
}

// step ends a step of a stream and reports whether the stream is complete.
func (x *simStream) step() bool {
	now := time.Now()
	if x.reading--; x.reading >= 0 {
		return false
	}
	if x.firstAt == 0 {
		x.firstAt = now.Sub(x.arrived)
		x.lease.EventReceived(0)
	} else {
		x.longest = max(x.longest, now.Sub(x.last))
		x.lease.EventReceived(now.Sub(x.last))
	}
	x.last = now
	x.events--
	return x.events <= 0
}

// sum adds up the tallies of a priority over the seconds from and to.
func (s *simulation) sum(priority, from, to int) (out tally) {
	for _, x := range s.tallies[priority][from:to] {
		out.arrived += x.arrived
		out.inTime += x.inTime
		out.late += x.late
		out.lost += x.lost
	}
	return out
}

// goodput is the share of requests that were answered in time.
func (x tally) goodput() float64 {
	if x.arrived == 0 {
		return 1
	}
	return float64(x.inTime) / float64(x.arrived)
}
