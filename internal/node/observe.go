package node

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/metrics"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// keptRecords is the number of requests that a process can explain, as on its own interface.
const keptRecords = 1024

func countRequest(r *gateway.Record) {
	metrics.Requests.Add(string(r.Outcome), 1)
	if r.Reason != "" {
		metrics.NotServed.Add(string(r.Reason), 1)
	}
	for _, t := range r.Tries {
		metrics.Attempts.Add(t.Result, 1)
	}
	metrics.RequestDuration.Observe(r.Duration)
	if r.FirstByte > 0 {
		metrics.FirstByte.Observe(r.FirstByte)
	}
	if r.LongestGap > 0 {
		metrics.LongestGap.Observe(r.LongestGap)
	}
}

func countGroup(e rankgroup.Event) {
	metrics.GroupEvents.Add(string(e.Kind), 1)
	if e.Kind == rankgroup.EventSwitched {
		metrics.ExpertLoads.Add(int64(e.Loads))
		metrics.MapSwitchDuration.Observe(e.Took)
	}
}

// serveMetrics serves counters, and on entries the records of the latest requests, at addr until ctx ends. A process
// without metrics goes on serving. explain is nil in processes that take no requests.
func serveMetrics(ctx context.Context, addr string, explain http.HandlerFunc) {
	if addr == "" {
		return
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		log.WithField("error", err.Error()).Warn("metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.Handle("GET /debug/vars", expvar.Handler())
	if explain != nil {
		mux.HandleFunc("GET /fleet/explain/{id}", explain)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: serverLog}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }() // ends with the process
}

// explained turns a record of the gateway into one that the command line shows.
func explained(r *gateway.Record) decision.Record {
	out := decision.Record{
		RequestID: r.ID, ClientAccount: r.Account, Kind: r.Route, Serves: r.Service, Revision: r.ConfigVersion,
		Received: r.Started, Duration: r.Duration, Outcome: outcomeOf(r.Outcome), Reason: outcome.Reason(r.Reason),
	}
	for i, t := range r.Tries {
		a := decision.Attempt{Number: i + 1, Target: t.Target, Started: r.Started.Add(t.Started), Duration: t.Took, Message: t.Result}
		if t.Err != nil {
			a.Message += ": " + t.Err.Error()
		}
		out.Attempts = append(out.Attempts, a)
	}
	return out
}

func outcomeOf(o gateway.Outcome) outcome.Outcome {
	switch o {
	case gateway.OutcomeServed:
		return outcome.Completed
	case gateway.OutcomeRefused, gateway.OutcomeRejected:
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// setGauges publishes what the process believes now.
func (e *entry) setGauges() {
	live, known := e.fleet.EntryCounts()
	list := e.targets.Snapshot()
	metrics.SetGauge("configuration_version", e.tables.Version())
	metrics.SetGauge("list_revision", list.Revision)
	metrics.SetGauge("targets", int64(len(list.ByID)))
	metrics.SetGauge("entries_live", int64(live))
	metrics.SetGauge("entries_known", int64(known))
	metrics.SetGauge("requests_in_flight", int64(total(e.balance.InFlight())))
	metrics.SetGauge("target_connections_opened", e.pool.Dials())
}

// gaugeInterval is the time between two updates of the gauges; the platform reads them every 5 s.
const gaugeInterval = time.Second
