package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/platformhttp"
	"github.com/camphorbank/camphorbank/internal/configsync"
	"github.com/camphorbank/camphorbank/internal/membership"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// firstListTimeout bounds the wait for the VM list at the start. Without the list the process knows no peers and can
// get the configuration only from the configuration service.
const firstListTimeout = 2 * time.Second

// setUpPlatform creates the view of the VM list and the synchronizer of the configuration. runPlatform starts them.
func (d *daemon) setUpPlatform() {
	client := platformhttp.NewClient()
	p := d.settings.Platform
	d.view = membership.New(&platformhttp.VMList{URL: p.VMListURL, HTTP: client}, membership.WithSelf(d.settings.Name))
	d.sync = configsync.New(configsync.Options{
		Self: d.hello, Store: d.config, Source: &platformhttp.ConfigSource{URL: p.ConfigURL, HTTP: client},
		Fleet: d.view, Caller: &d.peerPool, Clock: port.SystemClock{}, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
}

// runPlatform keeps the VM list and the configuration up to date until ctx ends.
func (d *daemon) runPlatform(ctx context.Context) {
	firstCtx, cancel := context.WithTimeout(ctx, firstListTimeout)
	_ = d.view.Refresh(firstCtx) // Run reads the list again at once and logs a failure
	cancel()
	go d.view.Run(ctx, vmListInterval, func(err error) { log.WithError(err).Warn("reading the VM list failed") })
	d.sync.Run(ctx)
}

// hello returns what this process tells its peers about itself.
func (d *daemon) hello() wire.Hello {
	return wire.Hello{
		Name: d.settings.Name, DataCentre: d.settings.DataCentre, Role: d.settings.Role, Control: d.controlAddr(),
		Incarnation: d.incarnation, Revision: d.revision(), Draining: d.draining(),
	}
}

// controlAddr returns the control address at which peers reach this process. The address in the VM list takes
// precedence, since it may differ from the one that the process listens on.
func (d *daemon) controlAddr() string {
	if vm, ok := d.view.VM(d.settings.Name); ok {
		return vm.Control
	}
	return d.settings.Listen.Control
}

// draining reports whether the process tells its peers that it is draining. A drain only for a change of the model
// version isn't counted, since it ends soon.
func (d *daemon) draining() bool {
	if d.stopping.Load() || d.local == nil {
		return d.stopping.Load()
	}
	load := d.local.Load()
	return load.Draining && !load.Updating
}

// revision returns the revision of the configuration in force, or 0 if there is none.
func (d *daemon) revision() int64 {
	if s := d.config.Current(); s != nil {
		return s.Revision()
	}
	return 0
}
