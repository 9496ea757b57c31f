package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/version"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// status returns the status report of this process.
func (d *daemon) status() status.Process {
	p := status.Process{
		Name: d.settings.Name, Role: d.settings.Role, DataCentre: d.settings.DataCentre,
		Version: version.Version, Incarnation: d.incarnation, UptimeS: int64(time.Since(d.started).Seconds()),
		Ready: d.notReadyReason() == "", Alarms: d.alarms.Raised(),
	}
	if snap := d.config.Current(); snap != nil {
		p.Revision, p.Hash, p.Preset = snap.Revision(), snap.Hash, snap.Preset().Name
	}
	sync := d.sync.Status()
	p.ServiceSeenS = -1
	if !sync.ServiceSeenByAny.IsZero() {
		p.ServiceSeenS = int64(time.Since(sync.ServiceSeenByAny).Seconds())
	}
	if r := sync.Rejected; r != nil {
		p.Rejected, p.RejectedReason = r.Revision, r.Reason
	}
	if c := sync.Conflict; c != nil {
		p.Conflict = c.Origin
	}
	if d.rollout != nil {
		v := d.rollout.Version()
		p.Engine = &v
	}
	if d.local != nil {
		load := d.local.Load()
		p.Draining = load.Draining
		p.Target = &status.Target{Kind: d.settings.Target.Kind, Serves: d.settings.Target.Serves, Load: *load}
		if d.group != nil {
			p.Group = d.group.status()
		}
	}
	return p
}

// peerQuery returns a function that sends a request over the control protocol to the process at an address and returns
// its answer.
func peerQuery[T any](d *daemon, method string, in any) func(ctx context.Context, addr string) (T, error) {
	return func(ctx context.Context, addr string) (out T, err error) {
		err = d.peerPool.Call(ctx, addr, method, in, &out)
		return out, err
	}
}

// handleFleet registers the handlers that answer operators for the whole fleet. They query the listed processes.
func (d *daemon) handleFleet(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, status.Collect(r.Context(), d.view.VMs(), peerQuery[status.Process](d, wire.MethodStatus, struct{}{})))
	})
	mux.HandleFunc("GET /fleet/explain/{request_id}", func(w http.ResponseWriter, r *http.Request) {
		q := wire.Explain{RequestID: r.PathValue("request_id")}
		writeJSON(w, status.Explain(r.Context(), d.view.VMs(), peerQuery[wire.ExplainReply](d, wire.MethodExplain, q)))
	})
	mux.HandleFunc("GET /fleet/report", d.serveReport)
}

// serveReport serves the service report of all entries over the given window.
func (d *daemon) serveReport(w http.ResponseWriter, r *http.Request) {
	window := report.MaxWindow
	if text := r.URL.Query().Get("window"); text != "" {
		var err error
		if window, err = time.ParseDuration(text); err != nil || window <= 0 {
			http.Error(w, "window: "+text+" is not a positive duration such as 1m", http.StatusBadRequest)
			return
		}
	}
	window = min(window, report.MaxWindow)
	combined, err := status.CollectService(r.Context(), d.view.VMs(), window, peerQuery[report.Report](d, wire.MethodReport, wire.Report{Window: window}))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	writeJSON(w, combined)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
