package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// testTarget is a simulated target: its engine, its local process and the reconciler between them.
type testTarget struct {
	vm          wire.VM
	r           *Reconciler
	model       port.EngineModel
	checksFence bool
	busy        int // running requests
	updating    bool
	down        bool
	violation   string
}

func (n *testTarget) SetUpdating(on bool)             { n.updating = on }
func (n *testTarget) Idle() bool                      { return n.busy == 0 }
func (n *testTarget) UsesAdapter(adapter string) bool { return n.busy > 0 && adapter == "old" }

func (n *testTarget) Loaded(context.Context) (port.EngineModel, error) {
	m := n.model
	m.Adapters = slices.Clone(m.Adapters)
	return m, nil
}

func (n *testTarget) accept(fence int64) error {
	if n.checksFence && fence < n.model.Fence {
		return errors.New("old fencing number")
	}
	if n.checksFence {
		n.model.Fence = fence
	}
	return nil
}

func (n *testTarget) LoadVersion(_ context.Context, fence int64, version string) error {
	if n.busy > 0 || !n.updating {
		n.violation = "the version was changed while the target was in service"
	}
	if err := n.accept(fence); err != nil {
		return err
	}
	n.model.Version = version
	return nil
}

func (n *testTarget) LoadAdapter(_ context.Context, fence int64, adapter string) error {
	n.model.Adapters = append(n.model.Adapters, adapter)
	return n.accept(fence)
}

func (n *testTarget) UnloadAdapter(_ context.Context, fence int64, adapter string) error {
	if n.UsesAdapter(adapter) {
		n.violation = "an adapter in use was unloaded"
	}
	n.model.Adapters = slices.DeleteFunc(n.model.Adapters, func(a string) bool { return a == adapter })
	return n.accept(fence)
}

type testFleet struct {
	clock      *fakeClock
	store      *config.Store
	targetList []*testTarget
}

func newTestFleet(t *rapid.T) *testFleet {
	f := &testFleet{clock: &fakeClock{now: time.Unix(1_000_000, 0)}, store: &config.Store{}}
	for i := range rapid.IntRange(1, 12).Draw(t, "targets") {
		n := &testTarget{
			vm: wire.VM{Name: fmt.Sprintf("t%d", i), State: wire.StateLive, Control: fmt.Sprintf("t%d", i)}, checksFence: rapid.Bool().Draw(t, "checks"),
			model: port.EngineModel{Version: "1", Adapters: []string{"old"}, Fence: int64(i)},
		}
		f.targetList = append(f.targetList, n)
		f.start(n)
	}
	return f
}

// start starts the local process of a target, without the state of an earlier incarnation.
func (f *testFleet) start(n *testTarget) {
	n.updating = false
	n.r = New(Options{Self: n.vm.Name, Model: "m", Config: f.store, Targets: f.targets, Engine: n, Service: n, Ask: f.ask, Clock: f.clock})
}

func (f *testFleet) targets() []wire.VM {
	var out []wire.VM
	for _, n := range f.targetList {
		out = append(out, n.vm)
	}
	return out
}

func (f *testFleet) ask(_ context.Context, addr string) (wire.ModelVersion, error) {
	for _, n := range f.targetList {
		if n.vm.Control == addr && !n.down {
			return n.r.Version(), nil
		}
	}
	return wire.ModelVersion{}, errors.New("unreachable")
}

func (f *testFleet) publish(t *rapid.T, revision int, version string) {
	body := fmt.Sprintf("revision = %d\npreset_in_force = \"p\"\n[[presets]]\nname = \"p\"\nmax_updating_share = 0.25\n"+
		"[[models]]\nname = \"m\"\nversion = %q\nadapters = [\"new\"]\n", revision, version)
	s, err := config.Parse("document", []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	f.store.Offer(s)
}

func (f *testFleet) updating() (n int) {
	for _, node := range f.targetList {
		if node.updating {
			n++
		}
	}
	return n
}

// TestRollout guards against a version change that takes more targets out of service than the preset permits, that
// changes an engine while it runs requests, or that never ends after a local process was unreachable, restarted or
// slow.
func TestRollout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(t)
		f.publish(t, 1, "2")
		limit := maxOutOfService(len(f.targetList), 0.25)
		for range rapid.IntRange(0, 60).Draw(t, "rounds") {
			n := f.targetList[rapid.IntRange(0, len(f.targetList)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"round", "round", "round", "work", "end", "down", "up", "restart"}).Draw(t, "event") {
			case "round":
				if !n.down {
					_ = n.r.Round(context.Background())
				}
			case "work":
				if !n.updating {
					n.busy++
				}
			case "end":
				n.busy = 0
			case "down":
				n.down = true
			case "up":
				n.down = false
			case "restart":
				f.start(n)
			}
			if got := f.updating(); got > limit {
				t.Fatalf("%d of %d targets out of service at once, at most %d are permitted", got, len(f.targetList), limit)
			}
		}
		f.checkCompletes(t)
	})
}

// checkCompletes ends all faults, except that one target may stay unreachable, and checks that the rollout completes at
// every other target.
func (f *testFleet) checkCompletes(t *rapid.T) {
	unreachable := rapid.IntRange(-1, len(f.targetList)-1).Draw(t, "away")
	for i, n := range f.targetList {
		n.busy, n.down = 0, i == unreachable
	}
	for range 40 * len(f.targetList) {
		f.clock.now = f.clock.now.Add(Interval)
		for i, n := range f.targetList {
			if i != unreachable {
				_ = n.r.Round(context.Background())
			}
		}
	}
	for i, n := range f.targetList {
		if n.violation != "" {
			t.Fatalf("%s: %s", n.vm.Name, n.violation)
		}
		if i != unreachable && (n.model.Version != "2" || n.updating || !slices.Equal(n.model.Adapters, []string{"new"})) {
			t.Fatalf("%s ended with %+v, updating %v", n.vm.Name, n.model, n.updating)
		}
	}
}
