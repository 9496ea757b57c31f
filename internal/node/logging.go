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
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// serverLog drops the library's lines about broken connections of callers: each request has a line of its own.
var serverLog = stdlog.New(io.Discard, "", 0)

// logRequest writes the line of one request and counts it.
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
	if len(r.Tries) > 0 {
		f["tries"] = tries(r.Tries)
	}
	log.WithFields(f).Info("request")
}

func tries(list []gateway.Try) string {
	var b strings.Builder
	for i, t := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(t.Target)
		if t.Group != "" {
			b.WriteString("@" + t.Group)
		}
		b.WriteString(":" + t.Result + ":" + t.Started.String() + "+" + t.Took.String())
		if t.Err != nil {
			b.WriteString("(" + t.Err.Error() + ")")
		}
	}
	return b.String()
}

func logList(e listwatch.Event) {
	metrics.PlatformEvents.Add(string(e.Kind), 1)
	f := log.Fields{"event": e.Kind, "revision": e.Revision}
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

// logBalance writes what an entry has come to believe of a target or a group.
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
	log.WithFields(f).Info("balance")
}

func logReady(ready bool, config, revision int64, stopping bool) {
	log.WithFields(log.Fields{"ready": ready, "config": config, "list": revision, "stopping": stopping}).Info("readiness")
}

func logStop(inFlight map[string]int) {
	log.WithField("in_flight", total(inFlight)).Info("stopping")
}

func logCutOff(err error, inFlight map[string]int) {
	log.WithFields(log.Fields{"error": err.Error(), "in_flight": total(inFlight)}).Warn("requests cut off at the end of the grace period")
}

func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// logGroup writes the decisions about one group.
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
		if e.Err != nil {
			f["error"] = e.Err.Error()
		}
		log.WithFields(f).Info("group")
	}
}
