package rankgroup

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

// testFleet runs coordinators for one group and counts their switches.
type testFleet struct {
	t        *testing.T
	size     testSize
	g        *expertgroup.Group
	agentsMu sync.Mutex
	agents   []*Agent // replaced as a whole when the processes are restarted
	history  *statusHistory
	links    []*testLink // by rank; nil for links without a limit
	unfenced bool        // coordinators know that the engines ignore fencing numbers
	switched atomic.Int64
	notify   func(Event) // receives each event in addition; may be nil
}

func newTestFleet(t *testing.T, seed uint64, size testSize) *testFleet {
	g := expertgroup.New(rand.New(rand.NewPCG(seed, 1)), size.shape)
	g.Trace = func(string, ...any) {}
	f := &testFleet{t: t, size: size, g: g, history: newStatusHistory(g, size, seed)}
	f.restartAgents()
	if size.bytesPerSecond > 0 {
		for range g.Ranks {
			f.links = append(f.links, &testLink{bytesPerSecond: size.bytesPerSecond})
		}
	}
	return f
}

// restartAgents replaces the agents of all ranks. Coordinators that run already go on with the former ones.
func (f *testFleet) restartAgents() {
	f.agentsMu.Lock()
	defer f.agentsMu.Unlock()
	f.agents = nil
	for _, r := range f.g.Ranks {
		var e Engine = testRank{r}
		if f.size.copiesReports {
			e = &copyingRank{testRank: testRank{r}}
		}
		f.agents = append(f.agents, NewAgent(e, time.Now().UnixNano()))
	}
}

func (f *testFleet) currentAgents() []*Agent {
	f.agentsMu.Lock()
	defer f.agentsMu.Unlock()
	return f.agents
}

// coordinate runs a coordinator beside the rank until ctx ends. unreachable reports the ranks whose agents the
// coordinator cannot reach.
func (f *testFleet) coordinate(ctx context.Context, rank int, active func() bool, unreachable func(int) bool) {
	engine := f.size.engine()
	c := NewCoordinator(Options{
		Rank: rank, Size: len(f.g.Ranks), Ranks: newTestLinks(f, rank, unreachable), DataCentre: testDataCentre, Now: testNow, Active: active,
		Unfenced: f.unfenced,
		Engine:   func() *routetable.Engine { return engine }, SendReport: func(Report) {},
		Notify: func(e Event) {
			if e.Kind == EventSwitched {
				f.switched.Add(1)
			}
			if f.notify != nil {
				f.notify(e)
			}
			f.g.Trace("coordinator of rank %d: %+v", rank, e)
		},
	})
	c.Run(ctx)
}

// lateOrderShare is the share of orders that are carried out late in the run with a seed.
func lateOrderShare(seed uint64) float64 { return []float64{0, 0.1, 0.35, 0.5}[seed%4] }

// testNow returns a time after termEpochUnixMs. The clock of synctest starts in the year 2000.
func testNow() time.Time { return time.Now().AddDate(27, 0, 0) }

// testDataCentre spreads the ranks over three data centres.
func testDataCentre(rank int) string { return string(rune('a' + rank%3)) }

func always() bool   { return true }
func never(int) bool { return false }

// checkNoMixedStep fails the test if a step had two maps.
func (f *testFleet) checkNoMixedStep(seed uint64) {
	f.t.Helper()
	if err := f.g.MixedMaps(); err != nil {
		f.t.Errorf("seed %d: %v", seed, err)
	}
}

// TestMapFollowsPopularity guards against a coordinator that never switches, or that makes the group wait without any
// faults.
func TestMapFollowsPopularity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, smallSize)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		go f.coordinate(ctx, 0, always, never)
		go f.g.Run(ctx)
		time.Sleep(8 * time.Second)
		f.g.SetPopular(4)
		<-ctx.Done()
		time.Sleep(time.Second)
		f.checkNoMixedStep(1)
		if n := f.switched.Load(); n < 2 {
			t.Errorf("%d switches, want one for each popularity at least", n)
		}
		if d := f.g.LongestStall(); d > 0 {
			t.Errorf("the group was held for %v", d)
		}
	})
}

// TestNoStepWithTwoMaps guards against a step in which two ranks use different maps. Orders are carried out late,
// coordinators are killed and restarted in any phase, two of them run at once, and ranks are unreachable for some time.
func TestNoStepWithTwoMaps(t *testing.T) {
	t.Parallel()
	t.Run("small group", func(t *testing.T) {
		t.Parallel()
		checkNoStepWithTwoMaps(t, smallSize, false, 80, 20)
	})
	t.Run("with relays", func(t *testing.T) {
		t.Parallel()
		checkNoStepWithTwoMaps(t, relayedSize, false, 12, 4)
	})
}

// TestNoStepWithTwoMapsFromCopiesOfReports guards against a new term that decides on an earlier report of an engine, which the
// engine has sent once more when the present one was due.
func TestNoStepWithTwoMapsFromCopiesOfReports(t *testing.T) {
	t.Parallel()
	size := smallSize
	size.copiesReports = true
	checkNoStepWithTwoMaps(t, size, false, 20, 8)
}

// TestNoStepWithTwoMapsUnfenced guards against the same with engines that ignore fencing numbers.
func TestNoStepWithTwoMapsUnfenced(t *testing.T) {
	t.Parallel()
	t.Run("small group", func(t *testing.T) {
		t.Parallel()
		checkNoStepWithTwoMaps(t, smallSize, true, 200, 20)
	})
	t.Run("with relays", func(t *testing.T) {
		t.Parallel()
		checkNoStepWithTwoMaps(t, relayedSize, true, 12, 4)
	})
}

// TestNoStepWithTwoMapsOfTwoCoordinators guards against the same while two coordinators are active all the time, reach the
// engines past the agents of the ranks, and pause between a decision and its order. Only the engines can then refuse the
// orders of the other coordinator. It also guards against a group that stays held after one of the two has ended.
func TestNoStepWithTwoMapsOfTwoCoordinators(t *testing.T) {
	t.Parallel()
	seeds := uint64(60)
	if testing.Short() {
		seeds = 10
	}
	switched := int64(0)
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, seed, smallSize)
			f.g.Late, f.g.Unfenced, f.unfenced = lateOrderShare(seed), true, true
			f.runTwoCoordinators(seed, 20*time.Second, 20*time.Second)
			f.checkNoMixedStep(seed)
			switched += f.switched.Load()
		})
	}
	if switched < int64(seeds) {
		t.Errorf("%d switches in %d runs: too few to test the switch", switched, seeds)
	}
}

// runTwoCoordinators runs two coordinators for the first span and one of them for the second span.
func (f *testFleet) runTwoCoordinators(seed uint64, together, alone time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first, stopFirst := context.WithTimeout(ctx, together)
	defer stopFirst()
	go f.g.Run(ctx)
	go f.injectFaults(first, rand.New(rand.NewPCG(seed, 3)))
	go f.coordinate(first, 0, always, pausingPastAgents(seed, 4))
	go f.coordinate(ctx, 1, always, pausingPastAgents(seed, 5))
	time.Sleep(together + alone/2)
	f.g.SetLateShare(0)
	before := f.g.Step()
	time.Sleep(alone / 2)
	if f.g.Step() == before {
		f.t.Errorf("seed %d: the group is held before step %d", seed, before+1)
	}
	cancel()
	time.Sleep(15 * time.Second) // until all late orders have been carried out
}

// pausingPastAgents returns a function that declares all agents unreachable, and pauses before some calls.
func pausingPastAgents(seed, stream uint64) func(rank int) bool {
	const longestPauseMs = 200
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, stream))
	pause := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(4) > 0 {
			return 0
		}
		return time.Duration(rng.IntN(longestPauseMs)) * time.Millisecond
	}
	return func(int) bool {
		time.Sleep(pause())
		return true
	}
}

// checkNoStepWithTwoMaps runs a group under faults, with as many seeds as given for long and for short tests.
func checkNoStepWithTwoMaps(t *testing.T, size testSize, unfenced bool, seeds, shortSeeds uint64) {
	if testing.Short() {
		seeds = shortSeeds
	}
	checkSeeds(t, size, unfenced, seeds, func(f *testFleet, seed uint64) {
		f.g.Late = lateOrderShare(seed)
		f.runWithFaults(seed, 40*time.Second)
	})
}

// checkSeeds runs a group with each of the seeds, and fails the test if a step had two maps or maps were hardly switched.
func checkSeeds(t *testing.T, size testSize, unfenced bool, seeds uint64, run func(f *testFleet, seed uint64)) {
	switched := int64(0)
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, seed, size)
			f.g.Unfenced, f.unfenced = unfenced, unfenced
			run(f, seed)
			f.checkNoMixedStep(seed)
			switched += f.switched.Load()
		})
	}
	if switched < int64(seeds) {
		t.Errorf("%d switches in %d runs: too few to test the switch", switched, seeds)
	}
}

// runWithFaults runs coordinators one after the other, and some at the same time, under faults that are drawn from the
// seed.
func (f *testFleet) runWithFaults(seed uint64, span time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	go f.g.Run(ctx)
	go f.history.run(ctx)
	go f.injectFaults(ctx, rand.New(rand.NewPCG(seed, 3)))
	for ctx.Err() == nil {
		life := time.Duration(300+rng.IntN(6000)) * time.Millisecond
		first, stop := context.WithTimeout(ctx, life)
		rank := rng.IntN(2)
		unreachableRank := rng.IntN(2 * len(f.g.Ranks))
		go f.coordinate(first, rank, always, func(r int) bool { return r == unreachableRank })
		if rng.IntN(3) == 0 { // a second coordinator, which assumes that the first one has stopped
			second, stopSecond := context.WithTimeout(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
			go f.coordinate(second, 1-rank, always, never)
			<-second.Done()
			stopSecond()
		}
		<-first.Done()
		stop()
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	}
	time.Sleep(15 * time.Second) // until all late orders have been carried out
}

// injectFaults changes the popularity of experts, makes ranks unreachable and breaks the group at random times.
func (f *testFleet) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1000+rng.IntN(3000)) * time.Millisecond)
		f.g.SetPopular(rng.IntN(f.size.shape.Experts - 1))
		r := f.g.Ranks[rng.IntN(len(f.g.Ranks))]
		r.SetUnresponsive(rng.IntN(4) == 0)
		breaks := rng.IntN(8) == 0
		if breaks {
			f.g.Break()
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		r.SetUnresponsive(false)
		if breaks {
			f.g.Form()
		}
	}
}

// TestHoldOfKilledCoordinatorEnds guards against a group that is held forever after its coordinator was killed between
// the hold and its release.
func TestHoldOfKilledCoordinatorEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 7, smallSize)
		held := f.g.Step() + 3
		same := make([][][]int, f.size.shape.Layers)
		for l := range same {
			for _, r := range f.g.Ranks {
				same[l] = append(same[l], r.Experts()[l])
			}
		}
		for rank, orders := range map[int][]expertgroup.Order{
			0: {{Operation: expertgroup.Hold, Step: held}},
			1: {{Operation: expertgroup.Prepare, Version: 1, Map: same}, {Operation: expertgroup.Arm, Version: 1, Step: held}},
		} {
			for _, o := range orders {
				o.Epoch = f.g.Ranks[rank].Status().Epoch
				if err := f.g.Ranks[rank].CarryOut(o); err != nil {
					t.Fatal(err)
				}
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		go f.g.Run(ctx)
		time.Sleep(time.Second)
		go f.coordinate(ctx, 0, always, never)
		<-ctx.Done()
		time.Sleep(time.Second)
		f.checkNoMixedStep(7)
		if f.g.Step() < held {
			t.Errorf("the group is still held before step %d", held)
		}
	})
}

// TestMissingFencingIsDetected shows that the runs of TestNoStepWithTwoMaps can find orders that are carried out late:
// with engines that ignore fencing numbers, and coordinators that do not know it, some steps have two maps. About one run in a
// hundred has one, and the order of goroutines is not that of the seed, so the search ends with the first.
func TestMissingFencingIsDetected(t *testing.T) {
	const maxRuns = 1000
	t.Parallel()
	broken := 0
	for seed := uint64(0); seed < maxRuns && broken == 0; seed++ {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, seed, smallSize)
			f.g.Late, f.g.Unfenced = 0.5, true
			f.runWithFaults(seed, 40*time.Second)
			if f.g.MixedMaps() != nil {
				broken++
			}
		})
	}
	if broken == 0 {
		t.Error("no run with engines that ignore fencing numbers had a step with two maps: the runs cannot detect late orders")
	}
}
