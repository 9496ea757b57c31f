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

// same is the map in use, with one more expert on each rank.
var same = [][][]int{{{0, 2, 1}, {1, 3, 0}}}

func (g *Group) must(t *testing.T, rank int, o Order) {
	t.Helper()
	o.Epoch = 1
	if err := g.Ranks[rank].CarryOut(o); err != nil {
		t.Fatalf("%s at rank %d: %v", o.Operation, rank, err)
	}
}

// TestStepWithTwoMapsIsFound guards against a stand-in that judges nothing, so that the tests which use it pass for nothing.
func TestStepWithTwoMapsIsFound(t *testing.T) {
	for name, armed := range map[string]int{"all ranks": 2, "one rank": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGroup()
				for rank := range 2 {
					g.must(t, rank, Order{Operation: Prepare, Version: 1, Map: same})
				}
				time.Sleep(10 * time.Millisecond)
				for rank := range armed {
					g.must(t, rank, Order{Operation: Arm, Version: 1, Step: 2})
				}
				for range 3 {
					g.locked(g.beginStep)
				}
				if broken := g.Broken() != nil; broken != (armed == 1) {
					t.Errorf("found %v", g.Broken())
				}
			})
		})
	}
}

// TestHoldAndFences guards against a stand-in that lets steps begin under a hold, or accepts an order that was overtaken.
func TestHoldAndFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGroup()
		g.must(t, 0, Order{Operation: Hold, Step: 2, FencingToken: 5})
		for range 4 {
			g.locked(g.beginStep)
		}
		if g.Step() != 1 {
			t.Errorf("step %d began under a hold before step 2", g.Step())
		}
		if err := g.Ranks[0].CarryOut(Order{Operation: Go, Step: 2, Epoch: 1, FencingToken: 4}); !errors.Is(err, ErrFenced) {
			t.Errorf("an order that was overtaken: %v", err)
		}
		g.must(t, 0, Order{Operation: Go, Step: 2, FencingToken: 6})
		g.locked(g.beginStep)
		if g.Step() != 2 {
			t.Errorf("step %d after the hold was lifted", g.Step())
		}
	})
}
