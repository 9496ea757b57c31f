package daemon

import (
	"expvar"
	"net/http"
)

// operatorHandler returns the handler of the operators' listener: health, status, fleet queries and drain commands.
func (d *daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := d.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	d.handleExplain(mux)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.status()) })
	d.handleFleet(mux)
	mux.HandleFunc("GET /fleet/plan", d.handlePlan)
	mux.HandleFunc("PUT /drain", d.handleDrain)
	mux.HandleFunc("DELETE /drain", d.handleDrain)
	return mux
}

// notReadyReason returns the reason why the process isn't ready for work, or the empty string if it is ready.
func (d *daemon) notReadyReason() string {
	switch {
	case d.stopping.Load():
		return "stopping"
	case d.local != nil && d.local.Draining():
		return "draining"
	case d.config.Current() == nil:
		return "no configuration yet"
	case !d.sync.Ready():
		return "asking peers for the highest revision"
	default:
		return ""
	}
}
