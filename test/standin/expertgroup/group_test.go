package expertgroup

import (
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

func newTestGroup() *Group {
	return New(rand.New(rand.NewPCG(1, 1)), Shape{Ranks: 2, Layers: 1, Experts: 4, StepTime: 10 * time.Millisecond, Load: time.Millisecond})
}

// testMap is the initial map of a new group with one more expert on each rank.
var testMap = [][][]int{{{0, 2, 1}, {1, 3, 0}}}

func (g *Group) mustCarryOut(t *testing.T, rank int, o Order) {
	t.Helper()
	o.Epoch = 1
	if err := g.Ranks[rank].CarryOut(o); err != nil {
		t.Fatalf("%s at rank %d: %v", o.Operation, rank, err)
	}
}

// TestDetectsStepWithTwoMaps guards against a stand-in that does not notice a step in which the ranks use different
// maps. The tests that rely on it would then pass without checking anything.
func TestDetectsStepWithTwoMaps(t *testing.T) {
	for name, armed := range map[string]int{"all ranks": 2, "one rank": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGroup()
				for rank := range 2 {
					g.mustCarryOut(t, rank, Order{Operation: Prepare, Version: 1, Map: testMap})
				}
				time.Sleep(10 * time.Millisecond)
				for rank := range armed {
					g.mustCarryOut(t, rank, Order{Operation: Arm, Version: 1, Step: 2})
				}
				for range 3 {
					g.withLock(g.beginStep)
				}
				if mixed := g.MixedMaps() != nil; mixed != (armed == 1) {
					t.Errorf("MixedMaps() = %v", g.MixedMaps())
				}
			})
		})
	}
}

// TestHoldAndFencing guards against a stand-in that begins a step under a hold, or accepts an order with a lower
// fencing number than an earlier order.
func TestHoldAndFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup()
		g.mustCarryOut(t, 0, Order{Operation: Hold, Step: 2, FencingToken: 5})
		for range 4 {
			g.withLock(g.beginStep)
		}
		if g.Step() != 1 {
			t.Errorf("step %d began under a hold before step 2", g.Step())
		}
		if err := g.Ranks[0].CarryOut(Order{Operation: Release, Step: 2, Epoch: 1, FencingToken: 4}); !errors.Is(err, ErrFenced) {
			t.Errorf("order with an old fencing number: error %v, want ErrFenced", err)
		}
		g.mustCarryOut(t, 0, Order{Operation: Release, Step: 2, FencingToken: 6})
		g.withLock(g.beginStep)
		if g.Step() != 2 {
			t.Errorf("step %d after the hold was released, want 2", g.Step())
		}
	})
}

// TestExpectedOrders guards against a stand-in that accepts an order although it expects another number of accepted orders.
// The tests of engines that ignore fencing numbers would then find orders that real engines refuse.
func TestExpectedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup()
		expect := func(n int64) *int64 { return &n }
		g.mustCarryOut(t, 0, Order{Operation: Prepare, Version: 1, Map: testMap, Expect: expect(0)})
		if err := g.Ranks[0].CarryOut(Order{Operation: Hold, Step: 2, Epoch: 1, Expect: expect(0)}); !errors.Is(err, ErrConflict) {
			t.Errorf("order that expects 0 accepted orders after 1: error %v, want ErrConflict", err)
		}
		g.mustCarryOut(t, 0, Order{Operation: Hold, Step: 2, Expect: expect(1)})
	})
}
