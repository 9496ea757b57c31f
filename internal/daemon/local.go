package daemon

import (
	"crypto/tls"
	"net/http"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/enginehttp"
	"github.com/camphorbank/camphorbank/internal/adapter/servicehttp"
	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/local"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/settings"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// setUpRole creates the parts of the role. It returns the handler of the role's work listener, the address of that
// listener and its TLS configuration.
func (d *daemon) setUpRole() (http.Handler, string, *tls.Config) {
	if d.settings.Role == settings.RoleEntry {
		return d.entryHandler(), d.settings.Listen.Callers, d.tls.callers
	}
	t := d.settings.Target
	opt := local.Options{
		Incarnation: d.incarnation, Clock: port.SystemClock{}, Slots: t.Slots, Revision: d.revision,
		Policy: admission.PolicySource(d.config), Leaving: d.leaving, Refusals: outcome.NewCounters("refusals"),
		Memory: d.resources.Requests,
	}
	if t.Kind == wire.KindDraft {
		engine := enginehttp.New(t.URL)
		opt.Engine = engine
		opt.Serves = func(adapter string) bool { return d.rollout == nil || d.rollout.Serves(adapter) }
		d.local = local.New(opt)
		d.rollout = d.newRollout(engine)
	} else {
		opt.Service = servicehttp.New(t.URL)
		d.local = local.New(opt)
	}
	d.group = d.newRankGroup()
	return d.local.Handler(), d.settings.Listen.Data, d.tls.peers
}

// leaving reports whether the VM list marks the process's own VM as leaving. A VM that isn't listed doesn't count as
// leaving, since the list lags.
func (d *daemon) leaving() bool {
	vm, ok := d.view.VM(d.settings.Name)
	return ok && vm.State == wire.StateLeaving
}

// handleDrain starts a drain of the target by an operator (PUT) or ends it (DELETE).
func (d *daemon) handleDrain(w http.ResponseWriter, r *http.Request) {
	if d.local == nil {
		http.Error(w, "only a local process drains its target; stop an entry with SIGTERM", http.StatusNotFound)
		return
	}
	on := r.Method == http.MethodPut
	d.local.SetOperatorDrain(on)
	log.WithField("drain", on).Info("drain set by an operator")
	writeJSON(w, d.status())
}
