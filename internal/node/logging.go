package node

import (
	"io"
	stdlog "log"
	"strconv"
	"strings"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/metrics"
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// serverLog discards the log lines of net/http about broken connections. Each request has its own log line instead.
var serverLog = stdlog.New(io.Discard, "", 0)

// logRequest logs a finished request and updates the metrics.
func logRequest(r *gateway.Record) {
	countRequest(r)
	f := log.Fields{
		"id": r.ID, "outcome": r.Outcome, "status": r.Status, "took": r.Duration, "config": r.ConfigVersion,
		"list": r.ListRevision, "route": r.Route, "account": r.Account,
	}
	if r.Reason != "" {
		f["reason"] = r.Reason
	}
	if r.RetryAfter > 0 {
		f["retry_after"] = r.RetryAfter
	}
	if r.FirstByte > 0 {
		f["first"] = r.FirstByte
	}
	if r.LongestGap > 0 {
		f["gap"] = r.LongestGap
	}
	if r.Part != "" {
		f["part"] = r.Part
	}
	if len(r.Parts) > 0 {
		f["parts"] = joinParts(r.Parts)
	}
	if len(r.Attempts) > 0 {
		f["tries"] = formatAttempts(r.Attempts)
	}
	log.WithFields(f).Info("request")
}

// formatAttempts returns the attempts of a request as comma-separated text:
// TARGET@GROUP:RESULT/ENDING/EVENTS/kept=TOKENS/spilled:START+DURATION(ERROR), where START is relative to the request's
// arrival. What does not apply is left out.
func formatAttempts(list []gateway.Attempt) string {
	out := make([]string, len(list))
	for i, a := range list {
		out[i] = formatAttempt(a)
	}
	return strings.Join(out, ",")
}

func formatAttempt(a gateway.Attempt) string {
	var b strings.Builder
	b.WriteString(a.Target)
	if a.Group != "" {
		b.WriteString("@" + a.Group)
	}
	b.WriteString(":" + a.Result)
	if a.Ending != "" {
		b.WriteString("/" + string(a.Ending))
	}
	if a.Events > 0 {
		b.WriteString("/" + strconv.Itoa(a.Events))
	}
	if a.KeptTokens > 0 {
		b.WriteString("/kept=" + strconv.Itoa(a.KeptTokens))
	}
	if a.Spilled {
		b.WriteString("/spilled")
	}
	b.WriteString(":" + a.Started.String() + "+" + a.Took.String())
	if a.Err != nil {
		b.WriteString("(" + a.Err.Error() + ")")
	}
	return b.String()
}

// logPlatform logs and counts an event of the connection to the platform.
func logPlatform(e listwatch.Event) {
	metrics.PlatformEvents.Add(string(e.Kind), 1)
	f := log.Fields{"event": e.Kind, "revision": e.Revision}
	if e.Era > 0 {
		f["era"] = e.Era
	}
	if e.Version > 0 {
		f["config"] = e.Version
	}
	if e.Changes > 0 {
		f["changes"] = e.Changes
	}
	if e.Err != nil {
		f["error"] = e.Err.Error()
	}
	log.WithFields(f).Info("platform")
}

// logFleet logs and counts a change in the view of the other entries.
func logFleet(e fleet.Event) {
	metrics.PeerEvents.Add(string(e.Kind), 1)
	f := log.Fields{"event": e.Kind, "peer": e.Peer}
	if e.Value > 0 {
		f["value"] = e.Value
	}
	if e.Err != nil {
		f["error"] = e.Err.Error()
	}
	log.WithFields(f).Info("fleet")
}

// logBalance logs and counts a change in the load balancer's view of a target or an engine group.
func logBalance(e balance.Event) {
	metrics.BalanceEvents.Add(string(e.Kind), 1)
	f := log.Fields{"event": e.Kind}
	if e.Target != "" {
		f["target"] = e.Target
	}
	if e.Group != "" {
		f["group"] = e.Group
	}
	if e.Backoff > 0 {
		f["weight"], f["backoff"] = e.Weight, e.Backoff
	}
	if e.Age > 0 {
		f["age"] = e.Age
	}
	if e.Service != "" {
		f["service"] = e.Service
	}
	if e.Kind == balance.EventCalm {
		f["admitted"], f["waited"], f["refused"] = e.Counts.Admitted, e.Counts.Waited, e.Counts.Refused
	}
	log.WithFields(f).Info("balance")
}

// logEvacuation logs and counts a change of the evacuations in force, with the requests that still run at the targets of the
// data centre.
func (e *entry) logEvacuation(change targetset.EvacuationEvent) {
	metrics.EvacuationEvents.Add(string(change.Kind), 1)
	log.WithFields(log.Fields{"event": change.Kind, "data_centre": change.DataCentre, "revision": change.Revision,
		"targets": change.Targets, "in_flight": e.inFlightIn(change.DataCentre)}).Info("evacuation")
}

// logQuarantine logs and counts what the process has learned about parts of prompts that crash engines.
func logQuarantine(e quarantine.Event) {
	metrics.QuarantineEvents.Add(string(e.Kind), 1)
	f := log.Fields{"event": e.Kind}
	if e.Engine != "" {
		f["target"], f["parts"] = e.Engine, joinParts(e.Parts)
	}
	if e.Part != "" {
		f["part"] = e.Part
	}
	if e.For > 0 {
		f["crashes"], f["for"] = e.Crashes, e.For
	}
	log.WithFields(f).Info("quarantine")
}

// joinParts returns parts of a prompt as comma-separated text.
func joinParts(parts []quarantine.Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = string(p)
	}
	return strings.Join(ids, ",")
}

// logReadiness logs a change of the process's readiness, with the configuration version and target list revision in
// use.
func logReadiness(ready bool, config, revision int64, stopping bool) {
	log.WithFields(log.Fields{"ready": ready, "config": config, "list": revision, "stopping": stopping}).Info("readiness")
}

// logStopping logs the start of a graceful stop with the number of requests in flight.
func logStopping(inFlight map[string]int) {
	log.WithField("in_flight", sumCounts(inFlight)).Info("stopping")
}

// logCutOff logs that the grace period ended before all requests did.
func logCutOff(err error, inFlight map[string]int) {
	log.WithFields(log.Fields{"error": err.Error(), "in_flight": sumCounts(inFlight)}).Warn("requests cut off at the end of the grace period")
}

func sumCounts(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// logGroup returns a function that logs and counts the coordinator's events of the named engine group.
func logGroup(group string) func(rankgroup.Event) {
	return func(e rankgroup.Event) {
		countGroup(e)
		f := log.Fields{"group": group, "event": e.Kind, "epoch": e.Epoch}
		if e.Version > 0 {
			f["map"], f["loads"], f["took"] = e.Version, e.Loads, e.Took
			f["before"], f["after"] = strconv.FormatFloat(e.Before, 'f', 3, 64), strconv.FormatFloat(e.After, 'f', 3, 64)
		}
		if e.Step > 0 {
			f["step"] = e.Step
		}
		switch e.Kind {
		case rankgroup.EventRankSilent, rankgroup.EventRankAnswers:
			f["rank"] = e.Rank
		case rankgroup.EventRecovery:
			f["found"] = e.Recovery.String()
		}
		if e.Err != nil {
			f["error"] = e.Err.Error()
		}
		log.WithFields(f).Info("group")
	}
}
