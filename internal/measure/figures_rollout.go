package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rollout"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Size of the rollout figure: the number of targets that serve one of 20 models in the fleet expected in two years.
const (
	rolloutTargets = 60
	rolloutShare   = 0.25
	rolloutLimit   = 10 * time.Minute
)

// rolloutFigures lists the figures of a rollout, which changes the version of a model.
func rolloutFigures() []Figure {
	return []Figure{{Name: "rollout_serving_share", Run: rolloutServingShare}}
}

// rolloutServingShare measures the smallest share of a model's targets that serve during a change of its version. In
// the naive version all targets change as soon as they have the new configuration.
func rolloutServingShare(ctx context.Context, seed int64) (Result, error) {
	ours, err := runRollout(ctx, seed, rolloutShare)
	if err != nil {
		return Result{}, err
	}
	naive, err := runRollout(ctx, seed, 1)
	return Result{Ours: ours, Naive: naive, Bound: 1 - rolloutShare}, err
}

// rolloutTarget is a simulated target whose engine takes several rounds of the reconciler to load a version. It serves
// as the engine and the service of its reconciler.
type rolloutTarget struct {
	reconciler     *rollout.Reconciler
	model          port.EngineModel
	loadUntil      time.Time
	loadingVersion string // version being loaded
	updating       bool
	fleet          *rolloutFleet
}

type rolloutFleet struct {
	now     time.Time
	targets []*rolloutTarget
	vms     []wire.VM
	rng     *rand.Rand
}

// Now returns the virtual time.
func (f *rolloutFleet) Now() time.Time { return f.now }

func (f *rolloutFleet) askVersion(_ context.Context, addr string) (wire.ModelVersion, error) {
	var i int
	_, err := fmt.Sscan(addr, &i)
	return f.targets[i].reconciler.Version(), err
}

// SetUpdating takes the target out of service or puts it back.
func (t *rolloutTarget) SetUpdating(on bool) { t.updating = on }

// Idle reports whether the target has no work left, which is always so here.
func (t *rolloutTarget) Idle() bool { return true }

// UsesAdapter reports whether any work uses the adapter, which is never so here.
func (t *rolloutTarget) UsesAdapter(string) bool { return false }

// Loaded returns the model that the engine has loaded or is loading.
func (t *rolloutTarget) Loaded(context.Context) (port.EngineModel, error) {
	if t.model.Loading && !t.fleet.now.Before(t.loadUntil) {
		t.model.Loading, t.model.Version = false, t.loadingVersion
	}
	return t.model, nil
}

// LoadVersion starts to load a version, which takes 5 to 15 s.
func (t *rolloutTarget) LoadVersion(_ context.Context, _ int64, version string) error {
	t.model.Loading, t.loadingVersion = true, version
	t.loadUntil = t.fleet.now.Add(5*time.Second + time.Duration(t.fleet.rng.Int64N(int64(10*time.Second))))
	return nil
}

// LoadAdapter does nothing; the figure uses no adapters.
func (t *rolloutTarget) LoadAdapter(context.Context, int64, string) error { return nil }

// UnloadAdapter does nothing; the figure uses no adapters.
func (t *rolloutTarget) UnloadAdapter(context.Context, int64, string) error { return nil }

// runRollout changes the version of the model with the given share of targets that may update at a time, and returns
// the smallest share of targets that served meanwhile.
func runRollout(ctx context.Context, seed int64, share float64) (smallest float64, err error) {
	store := &config.Store{}
	snapshot, err := config.Parse("document", fmt.Appendf(nil, "revision = 1\npreset_in_force = \"p\"\n[[presets]]\nname = \"p\"\n"+
		"max_updating_share = %g\n[[models]]\nname = \"m\"\nversion = \"2\"\n", share))
	if err != nil {
		return 0, err
	}
	store.Offer(snapshot)
	f := newRolloutFleet(store, seed)
	start := f.now
	smallest = 1
	for f.now.Sub(start) < rolloutLimit {
		for _, i := range f.rng.Perm(len(f.targets)) {
			if err := f.targets[i].reconciler.Round(ctx); err != nil {
				return 0, err
			}
		}
		serving, done := f.countTargets()
		smallest = min(smallest, float64(serving)/rolloutTargets)
		if done == rolloutTargets {
			return smallest, nil
		}
		f.now = f.now.Add(rollout.Interval)
	}
	return 0, fmt.Errorf("the rollout did not end within %s", rolloutLimit)
}

func newRolloutFleet(store *config.Store, seed int64) *rolloutFleet {
	f := &rolloutFleet{now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(uint64(seed), 11))}
	for i := range rolloutTargets {
		t := &rolloutTarget{fleet: f, model: port.EngineModel{Version: "1"}}
		vm := wire.VM{Name: fmt.Sprintf("target-%d", i), State: wire.StateLive, Control: fmt.Sprint(i)}
		t.reconciler = rollout.New(rollout.Options{
			Self: vm.Name, Model: "m", Config: store, Engine: t, Service: t, Clock: f, Ask: f.askVersion,
			Targets: func() []wire.VM { return f.vms },
		})
		f.targets, f.vms = append(f.targets, t), append(f.vms, vm)
	}
	return f
}

func (f *rolloutFleet) countTargets() (serving, done int) {
	for _, t := range f.targets {
		if !t.updating {
			serving++
		}
		if t.reconciler.Version().InServiceWith("2") {
			done++
		}
	}
	return serving, done
}
