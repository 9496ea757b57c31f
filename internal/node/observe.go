package node

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/contention"
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/metrics"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/resources"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// maxRecords is the number of recent requests whose decision records a process keeps for operators. It is the same as
// for processes with camphorbank's own interface.
const maxRecords = 1024

// countRequest updates the metrics with a finished request.
func countRequest(r *gateway.Record) {
	metrics.Requests.Add(string(r.Outcome), 1)
	if r.Reason != "" {
		metrics.NotServed.Add(string(r.Reason), 1)
	}
	for _, a := range r.Attempts {
		metrics.Attempts.Add(a.Result, 1)
		countKeptPrompt(a)
		if a.Ending != "" {
			metrics.AnswerEndings.Add(string(a.Ending), 1)
		}
	}
	metrics.RequestDuration.Observe(r.Duration)
	if r.FirstByte > 0 {
		metrics.FirstByte.Observe(r.FirstByte)
	}
	if r.LongestGap > 0 {
		metrics.LongestGap.Observe(r.LongestGap)
	}
}

// countDecision updates the metrics with a decision about a request of a service with priorities.
func countDecision(class int, d contention.Decision) {
	metrics.Contention.Add(fmt.Sprintf("%s/%02d", d, class), 1)
}

// countKeptPrompt updates the metrics with what was believed about the prompt of an attempt.
func countKeptPrompt(a gateway.Attempt) {
	if a.KeptTokens > 0 {
		metrics.KeptPrompts.Add("hit", 1)
		metrics.KeptPrompts.Add("tokens", int64(a.KeptTokens))
	}
	if a.Spilled {
		metrics.KeptPrompts.Add("spilled", 1)
	}
}

// countGroup updates the metrics with an event of the coordinated engine group.
func countGroup(e rankgroup.Event) {
	metrics.GroupEvents.Add(string(e.Kind), 1)
	if e.Kind == rankgroup.EventSwitched {
		metrics.ExpertLoads.Add(int64(e.Loads))
		metrics.MapSwitchDuration.Observe(e.Took)
	}
}

// serveMetrics serves the metrics, and the handlers by pattern, at addr until ctx ends. It serves nothing if addr is empty. A failure to listen is only logged, so that the process still accepts requests.
func serveMetrics(ctx context.Context, addr string, conns *connlimit.Limit, handlers map[string]http.HandlerFunc) {
	if addr == "" {
		return
	}
	l, err := resources.Listen(addr, conns)
	if err != nil {
		log.WithField("error", err.Error()).Warn("metrics are not served")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler())
	mux.Handle("GET /debug/vars", expvar.Handler())
	for pattern, handler := range handlers {
		mux.HandleFunc(pattern, handler)
	}
	server := newServer(mux)
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(conns.Listener(l)) }() // ends with the process
}

// decisionRecord converts a gateway record into the decision record that the command-line tool shows.
func decisionRecord(r *gateway.Record) decision.Record {
	out := decision.Record{
		RequestID: r.ID, ClientAccount: r.Account, Kind: r.Route, Serves: r.Service, Revision: r.ConfigVersion,
		Received: r.Started, Duration: r.Duration, Outcome: outcomeOf(r.Outcome), Reason: outcome.Reason(r.Reason),
	}
	for i, t := range r.Attempts {
		a := decision.Attempt{Number: i + 1, Target: t.Target, Started: r.Started.Add(t.Started), Duration: t.Took, Message: t.Result,
			KeptTokens: t.KeptTokens, Spilled: t.Spilled}
		if t.Ending != "" {
			a.Message += " (" + string(t.Ending) + ")"
		}
		if t.Err != nil {
			a.Message += ": " + t.Err.Error()
		}
		out.Attempts = append(out.Attempts, a)
	}
	return out
}

// outcomeOf converts the gateway's outcome of a request into the outcome that operators see.
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

// setGauges publishes the entry's current state as gauges.
func (e *entry) setGauges() {
	live, known := e.fleet.EntryCounts()
	list := e.targets.Snapshot()
	metrics.SetGauge("configuration_version", e.tables.Version())
	metrics.SetGauge("list_revision", list.Revision)
	metrics.SetGauge("targets", int64(len(list.ByID)))
	metrics.SetGauge("entries_live", int64(live))
	metrics.SetGauge("entries_known", int64(known))
	metrics.SetGauge("requests_in_flight", int64(sumCounts(e.balance.InFlight())))
	metrics.SetGauge("request_body_bytes", e.resources.Requests.Held())
	metrics.SetGauge("cold_targets", int64(e.cold.ColdTargets(time.Now())))
	metrics.SetGauge("quarantined_parts", int64(e.quarantine.Quarantined()))
	metrics.SetGauge("caller_connections", int64(e.resources.Callers.Open()))
	metrics.SetGauge("target_connections_opened", e.pool.Dials())
	for _, p := range e.balance.Places() {
		metrics.SetGauge("free_places/"+p.Service, int64(p.Free))
		metrics.SetGauge("kept_places/"+p.Service, int64(p.Kept))
	}
	if e.settings.Bounds.Evacuation > 0 {
		e.setEvacuationGauges(list)
	}
}

// setEvacuationGauges publishes the evacuations in force, the targets that get no requests because of them, and the requests
// of this entry that still run there.
func (e *entry) setEvacuationGauges(list *targetset.Snapshot) {
	targets, inFlight := 0, 0
	for _, setAside := range list.SetAside {
		targets += len(setAside)
	}
	for _, evacuation := range list.Evacuations {
		inFlight += e.inFlightIn(evacuation.DataCentre)
	}
	metrics.SetGauge("evacuated_data_centres", int64(len(list.Evacuations)))
	metrics.SetGauge("evacuated_targets", int64(targets))
	metrics.SetGauge("evacuated_requests_in_flight", int64(inFlight))
}

// inFlightIn returns the number of requests of this entry in flight at the targets of a data centre.
func (e *entry) inFlightIn(dataCentre string) int {
	n, list := 0, e.targets.Snapshot()
	for id, count := range e.balance.InFlight() {
		if t := list.ByID[id]; t != nil && t.DataCentre == dataCentre {
			n += count
		}
	}
	return n
}

// gaugeInterval is the time between two updates of the gauges; the platform reads them every 5 s.
const gaugeInterval = time.Second
