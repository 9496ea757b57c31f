package rollout

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// Interval is the time between two rounds of a reconciler.
	Interval = time.Second
	// readTimeout bounds a request for what the engine has loaded.
	readTimeout = 2 * time.Second
	// commandTimeout bounds one command to the engine. A load may take long because the weight store is rate-limited.
	commandTimeout = 15 * time.Minute
)

// Service is the part of the local process that the reconciler controls: it takes the target out of service while the
// model version changes.
type Service interface {
	// SetUpdating makes the local process refuse new work while the engine changes its version (on), or accept it again.
	SetUpdating(on bool)
	// Idle reports whether no request is queued or running at the target.
	Idle() bool
	// UsesAdapter reports whether a request for the adapter is queued or running at the target.
	UsesAdapter(adapter string) bool
}

// Options configures a Reconciler.
type Options struct {
	Self    string // name of the VM that this process runs on
	Model   string
	Config  *config.Store
	Targets func() []wire.VM // targets of the model in the VM list
	Engine  port.ModelEngine
	Service Service
	Ask     Ask
	Clock   port.Clock
}

// Reconciler brings one engine to the configured model version and adapters. It stores no state across restarts: it
// reads what the engine has loaded, and sending a command again is harmless.
type Reconciler struct {
	opt   Options
	order *updateOrder

	mu        sync.Mutex
	loaded    port.EngineModel
	everRead  bool // loaded was read at least once
	updating  bool
	lastError string
}

// New returns a reconciler, which does nothing before Run or Round is called.
func New(opt Options) *Reconciler {
	return &Reconciler{opt: opt, order: newUpdateOrder(opt.Self, opt.Clock, opt.Ask)}
}

// Run calls Round once per Interval until ctx ends, and logs its errors.
func (r *Reconciler) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		r.logError(r.Round(ctx))
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// logError keeps the error of a round for Version, and logs it unless the previous round ended with the same error.
func (r *Reconciler) logError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	r.mu.Lock()
	changed := text != r.lastError
	r.lastError = text
	r.mu.Unlock()
	if changed && text != "" {
		log.WithField("model", r.opt.Model).WithError(err).Warn("reconciling the engine with the configured model failed")
	}
}

// Round reads what the engine has loaded and sends it at most one command.
func (r *Reconciler) Round(ctx context.Context) error {
	snapshot := r.opt.Config.Current()
	if snapshot == nil {
		return nil
	}
	if err := r.readLoaded(ctx); err != nil {
		return err
	}
	want := snapshot.Model(r.opt.Model)
	if want == nil {
		return nil
	}
	if r.State().Loading {
		// An earlier incarnation of this process sent the load command that the engine is executing.
		r.setUpdating(true)
		return nil
	}
	next := NextCommand(want, r.State())
	if next.Kind != CommandLoadVersion {
		r.setUpdating(false)
	}
	switch next.Kind {
	case CommandLoadVersion:
		return r.changeVersion(ctx, next.Version, snapshot.Preset().MaxUpdatingShare)
	case CommandLoadAdapter:
		return r.sendCommand(ctx, func(ctx context.Context, fence int64) error {
			return r.opt.Engine.LoadAdapter(ctx, fence, next.Adapter)
		})
	case CommandUnloadAdapter:
		if r.opt.Service.UsesAdapter(next.Adapter) {
			return nil
		}
		return r.sendCommand(ctx, func(ctx context.Context, fence int64) error {
			return r.opt.Engine.UnloadAdapter(ctx, fence, next.Adapter)
		})
	}
	return nil
}

// changeVersion does the next part of a version change. It takes the target out of service once the update order
// permits it, and sends the load command once the target has no queued or running request.
func (r *Reconciler) changeVersion(ctx context.Context, version string, share float64) error {
	if !r.Updating() && !r.order.mayStart(ctx, r.opt.Targets(), version, share) {
		return nil
	}
	r.setUpdating(true)
	if !r.opt.Service.Idle() {
		return nil
	}
	return r.sendCommand(ctx, func(ctx context.Context, fence int64) error { return r.opt.Engine.LoadVersion(ctx, fence, version) })
}

// sendCommand sends a command with a fencing number above the highest that the engine has seen, and then reads again
// what the engine has loaded.
func (r *Reconciler) sendCommand(ctx context.Context, send func(ctx context.Context, fence int64) error) error {
	bounded, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := send(bounded, r.State().Fence+1)
	return errors.Join(err, r.readLoaded(ctx))
}

func (r *Reconciler) readLoaded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	loaded, err := r.opt.Engine.Loaded(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded, r.everRead = loaded, true
	return nil
}

func (r *Reconciler) setUpdating(on bool) {
	r.mu.Lock()
	changed := r.updating != on
	r.updating = on
	r.mu.Unlock()
	if changed {
		r.opt.Service.SetUpdating(on)
		log.WithFields(log.Fields{"model": r.opt.Model, "updating": on}).Info("model version change started or ended")
	}
}

// State returns what the engine had loaded when it was last read.
func (r *Reconciler) State() port.EngineModel {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loaded
}

// Updating reports whether the target is out of service for a change of its version.
func (r *Reconciler) Updating() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updating
}

// Serves reports whether the engine has the adapter loaded. An empty adapter name means the model without an adapter.
// Serves returns true until the engine has been read once.
func (r *Reconciler) Serves(adapter string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return adapter == "" || !r.everRead || slices.Contains(r.loaded.Adapters, adapter)
}

// Version returns what the engine has loaded, for other local processes and for the status that operators read.
func (r *Reconciler) Version() wire.ModelVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return wire.ModelVersion{
		Model: r.opt.Model, Version: r.loaded.Version, Updating: r.updating, Adapters: slices.Clone(r.loaded.Adapters), Problem: r.lastError,
	}
}
