package rankgroup

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

// TestVersionOfEarlierTermIsNotUsedAgain guards against two maps with one version: a coordinator that has just started gives its
// first map the version of a map that a rank is still loading for an earlier coordinator, and does not report yet.
func TestVersionOfEarlierTermIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		size := smallSize
		size.shape.Load = time.Minute
		f := newTestFleet(t, 1, size)
		f.g.SetPopular(rand.IntN(4))
		loading := size.initialMap()
		loading[0][1] = append(loading[0][1], 0)
		order := expertgroup.Order{Operation: expertgroup.Prepare, Version: 1, Map: loading, Epoch: 1}
		if err := f.g.Ranks[1].CarryOut(order); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var versions []int64
		f.g.Trace = func(_ string, args ...any) {
			if len(args) > 4 && args[3] == expertgroup.Prepare {
				versions = append(versions, args[4].(int64))
			}
		}
		go f.g.Run(ctx)
		go f.coordinate(ctx, 0, always, never)
		<-ctx.Done()
		time.Sleep(time.Second)
		if len(versions) == 0 {
			t.Fatal("the coordinator has not changed the map")
		}
		for _, v := range versions {
			if v == order.Version {
				t.Errorf("versions of the maps to load: %d; version %d is being loaded for an earlier coordinator", versions, order.Version)
				break
			}
		}
	})
}

// initialMap returns the map of a group that has just been formed, by layer and rank.
func (s testSize) initialMap() [][][]int {
	out := make([][][]int, s.shape.Layers)
	for l := range out {
		out[l] = make([][]int, s.shape.Ranks)
		for e := range s.shape.Experts {
			out[l][e%s.shape.Ranks] = append(out[l][e%s.shape.Ranks], e)
		}
	}
	return out
}
