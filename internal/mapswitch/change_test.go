package mapswitch

import (
	"context"
	"errors"
	"reflect"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rankmodel"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// drawMap draws a map of the given size.
func drawMap(t *rapid.T, name string, layers, perLayer int) port.ExpertMap {
	m := port.ExpertMap{Epoch: rapid.Int64Range(0, 5).Draw(t, name+" epoch"), Slots: make([][][]int, layers)}
	for l := range m.Slots {
		for range perLayer {
			m.Slots[l] = append(m.Slots[l], rapid.SliceOfN(rapid.IntRange(0, 7), 1, 3).Draw(t, name+" row"))
		}
	}
	return m
}

// TestAppliedChangeReproducesMap guards against a rank that builds a map from a change that differs from the planned
// map, and against a change that is applied to a map for which it was not made.
func TestAppliedChangeReproducesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, perLayer := rapid.IntRange(1, 3).Draw(t, "layers"), rapid.IntRange(1, 4).Draw(t, "ranks")
		base, next := drawMap(t, "base", layers, perLayer), drawMap(t, "next", layers, perLayer)
		c := diffMaps(base, next)
		if got, err := applyChange(base, c); err != nil || !reflect.DeepEqual(got, next) {
			t.Fatalf("got %v, %v; want %v", got, err, next)
		}
		other := drawMap(t, "other", layers, perLayer)
		got, err := applyChange(other, c)
		if err == nil && !reflect.DeepEqual(got, next) {
			t.Fatalf("applied to %v it gives %v", other, got)
		}
		if err != nil && !errors.Is(err, errOtherBase) {
			t.Fatal(err)
		}
	})
}

// TestSwitchSendsOnlyDifference guards against a change of the map that fails when messages are lost, or when the ranks
// use another map than the coordinator assumes.
func TestSwitchSendsOnlyDifference(t *testing.T) {
	g := newTestGroup(t, rankmodel.Options{ChecksFence: true})
	g.lossShare = 0.3
	ctx := context.Background()
	var changes, fullMaps atomic.Int64
	base := expertmap.RoundRobin(groupShape)
	c := g.newCoordinator("c")
	c.opt.Current = func(context.Context) (port.ExpertMap, error) { return base, nil }
	c.opt.Call = func(ctx context.Context, rank int, method string, message any) (wire.GroupReply, error) {
		if m, ok := message.(wire.GroupStage); ok && m.Change != nil {
			changes.Add(1)
		} else if ok {
			fullMaps.Add(1)
		}
		return g.call(ctx, rank, method, message)
	}
	if _, err := c.Recover(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Switch(ctx, nextMap()); err != nil {
		t.Fatal(err)
	}
	g.waitEpoch(t, 1)
	if changes.Load() == 0 || fullMaps.Load() != 0 {
		t.Errorf("%d changes and %d whole maps were sent, want changes only", changes.Load(), fullMaps.Load())
	}
	if _, err := c.Switch(ctx, expertmap.RoundRobin(groupShape)); err != nil { // base is out of date now
		t.Fatal(err)
	}
	g.waitEpoch(t, 2)
	if fullMaps.Load() == 0 {
		t.Error("no whole map was sent to ranks that cannot apply the change")
	}
}
