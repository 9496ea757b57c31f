package rankgroup

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
)

// Limits of the time from a shift of popularity until all ranks of a large group have a map for it.
const (
	maxMedianFollowTime = 700 * time.Millisecond
	maxFollowTime       = 1200 * time.Millisecond
)

// balancedImbalance is the imbalance below which a map counts as one for the present popularity.
const balancedImbalance = 1.5

// TestLargeGroupFollowsShifts guards against a coordinator whose link carries the readings of all ranks and a map for
// each of them: with 96 ranks on links of 6 Mbit/s, a change of the map then takes longer than popularity stays the
// same. The load is one in which the popular experts change every two seconds.
func TestLargeGroupFollowsShifts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const shifts, interval = 9, 2 * time.Second
		f := newTestFleet(t, 1, largeSize)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go f.coordinate(ctx, 0, always, never)
		go f.g.Run(ctx)
		time.Sleep(interval)
		var took []time.Duration
		for i := range shifts {
			f.g.SetPopular((i*37 + 11) % (largeSize.shape.Experts - largeSize.shape.Popular))
			took = append(took, f.waitForBalance(interval))
		}
		cancel()
		time.Sleep(time.Second)
		slices.Sort(took)
		if median := took[shifts/2]; median > maxMedianFollowTime || took[shifts-1] > maxFollowTime {
			t.Errorf("the map followed a shift in %v, want at most %v at the median and %v at most", took, maxMedianFollowTime, maxFollowTime)
		}
	})
}

// waitForBalance sleeps for the span and returns the time from its start until the map in use is balanced, or the span
// if it never is.
func (f *testFleet) waitForBalance(span time.Duration) time.Duration {
	const pollInterval = 10 * time.Millisecond
	balanced := span
	for waited := time.Duration(0); waited < span; waited += pollInterval {
		if balanced == span && f.g.Imbalance() < balancedImbalance {
			balanced = waited
		}
		time.Sleep(pollInterval)
	}
	return balanced
}

// TestRelayFailureIsNoRankFailure guards against a group that counts as closed because the process that relays the
// calls of a branch has died, while all engines run.
func TestRelayFailureIsNoRankFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, relayedSize)
		var unreachable sync.Map
		links := newTestLinks(f, 0, func(rank int) bool { _, ok := unreachable.Load(rank); return ok })
		c := NewCoordinator(Options{Rank: 0, Size: len(f.g.Ranks), Ranks: links, DataCentre: testDataCentre, Now: testNow, Active: always,
			Engine: f.size.engine, SendReport: func(Report) {}, Notify: func(Event) {}})
		for _, b := range c.branches {
			if b.relay >= 0 {
				unreachable.Store(b.ranks[b.relay], true)
			}
		}
		for reading := range 2 {
			if !c.readAll(t.Context()) {
				t.Errorf("reading %d: the group counts as closed", reading)
			}
		}
	})
}

// TestBranchesCoverAllRanksOnce guards against a rank that is left out of a reading or an order, or that is called
// through a relay of another data centre.
func TestBranchesCoverAllRanksOnce(t *testing.T) {
	for _, size := range []int{1, 8, 16, 24, 32, 72, 96, 128} {
		branches := makeBranches(size, 0, testDataCentre)
		var all []int
		for _, b := range branches {
			all = append(all, b.ranks...)
			for _, rank := range b.ranks {
				if b.relay >= 0 && testDataCentre(rank) != testDataCentre(b.ranks[0]) {
					t.Errorf("%d ranks: rank %d and its relay are in different data centres", size, rank)
				}
			}
			if b.relay >= 0 && slices.Contains(b.ranks, 0) {
				t.Errorf("%d ranks: the coordinator calls its own rank through a relay", size)
			}
		}
		slices.Sort(all)
		for i, rank := range all {
			if len(all) != size || rank != i {
				t.Fatalf("%d ranks: branches cover %v", size, all)
			}
		}
		if size >= minRelayedSize && len(branches) > size/2 {
			t.Errorf("%d ranks: %d calls for a reading", size, len(branches))
		}
	}
}

// TestShiftStandsOutFromNoise guards against a shift of popularity that goes unnoticed in a large group, where two
// distributions share most of their choices, and against noise that counts as a shift in a small one.
func TestShiftStandsOutFromNoise(t *testing.T) {
	const experts = 64
	for name, c := range map[string]struct {
		choicesPerReading int
		shiftedShare      float64 // share of the choices that a shift moves to other experts
	}{
		"large group, many choices": {100_000, 0.25},
		"small group, few choices":  {1_500, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			reading := func(firstPopular int) []float64 {
				out := make([]float64, experts)
				for range c.choicesPerReading {
					e := rng.IntN(experts)
					if rng.Float64() < c.shiftedShare {
						e = firstPopular + rng.IntN(4)
					}
					out[e]++
				}
				return out
			}
			p := newPopularity(expertmap.Shape{Ranks: 8, Layers: 1, Experts: experts, SlotsPerRank: 16})
			at := time.Unix(0, 0)
			for i := range 100 {
				at = at.Add(80 * time.Millisecond)
				p.decay(at)
				if p.add(reading(8)) {
					t.Errorf("reading %d counts as a shift", i)
				}
			}
			if !p.add(reading(40)) {
				t.Error("the shift was not noticed")
			}
		})
	}
}

// TestNoPlanFromTwoPopularities guards against a change of the map that is planned from a reading of which a part was made after a
// shift. The shift itself is not noticed while the map is loaded, and callers wait for two changes in place of one.
func TestNoPlanFromTwoPopularities(t *testing.T) {
	const ranks, experts, choices = 8, 64, 100_000
	rng := rand.New(rand.NewPCG(1, 1))
	reading := func(shifted float64) []float64 { // shifted is the part of the choices that was made after the shift
		out := make([]float64, experts)
		for range choices {
			e, popular := rng.IntN(experts), 8
			if rng.Float64() < shifted {
				popular = 40
			}
			if rng.Float64() < 0.25 {
				e = popular + rng.IntN(4)
			}
			out[e]++
		}
		return out
	}
	engine := smallSize.engine()
	engine.Experts.Layers, engine.Experts.Count, engine.Experts.SlotsPerRank = 1, experts, experts/ranks*2
	c := NewCoordinator(Options{Size: ranks, DataCentre: testDataCentre})
	c.engine, c.estimate = engine, newPopularity(expertmap.Shape{Ranks: ranks, Layers: 1, Experts: experts, SlotsPerRank: experts / ranks * 2})
	c.currentMap.Slots = [][][]int{make([][]int, ranks)}
	for e := range experts {
		c.currentMap.Slots[0][e%ranks] = append(c.currentMap.Slots[0][e%ranks], e)
	}
	at := time.Unix(0, 0)
	read := func(shifted float64) (noticed, planned bool) {
		at = at.Add(80 * time.Millisecond)
		c.estimate.decay(at)
		noticed = c.estimate.add(reading(shifted))
		_, planned = c.proposePlan()
		return noticed, planned
	}
	unplanned := 0
	for range 100 {
		if _, planned := read(0); !planned {
			unplanned++
		}
	}
	if unplanned > 10 {
		t.Errorf("%d of 100 readings of the same popularity put off a plan", unplanned)
	}
	if noticed, planned := read(0.2); noticed || planned {
		t.Errorf("a reading with a fifth of the choices after a shift: noticed %t, planned %t, want neither", noticed, planned)
	}
	if !c.urgent {
		t.Error("the next reading does not follow at once")
	}
	if noticed, _ := read(1); !noticed {
		t.Error("the shift was not noticed by the next reading")
	}
}

// TestNoiseDelaysPlanByOneReading guards against a map that is never changed since each reading differs more than the ones before.
func TestNoiseDelaysPlanByOneReading(t *testing.T) {
	p := newPopularity(expertmap.Shape{Ranks: 1, Layers: 1, Experts: 2, SlotsPerRank: 2})
	p.add([]float64{1000, 1000})
	p.usualDistance = 0.02
	p.add([]float64{1070, 930})
	if p.settled() {
		t.Fatal("a reading that differs more than usual is taken for settled")
	}
	p.add([]float64{910, 1090})
	if !p.settled() {
		t.Error("a second reading delays the plan as well")
	}
}
