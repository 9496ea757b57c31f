package entry

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

func refusalOf(t *rapid.T, err error) *Refusal {
	var r *Refusal
	if !errors.As(err, &r) {
		t.Fatalf("error %v is not a Refusal", err)
	}
	return r
}

// TestOutcomeRules guards against a not-run outcome for a request that ran or runs later, against a second run of a
// non-idempotent request, and against an answer that is incomplete or mixes two attempts.
func TestOutcomeRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomFleet(t, rapid.IntRange(1, 4).Draw(t, "targets"))
		e := w.entry(rapid.Uint64().Draw(t, "seed"))
		for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
			w.clock.t = w.clock.t.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pass_s")) * time.Second)
			id := fmt.Sprint("request-", i)
			kind := rapid.SampledFrom([]wire.Kind{wire.KindDraft, wire.KindCall}).Draw(t, "kind")
			idempotent := kind == wire.KindDraft || rapid.Bool().Draw(t, "idempotent")
			var c collector
			before := w.sends
			ans, err := e.Do(t.Context(), w.request(id, kind, idempotent), &c)
			w.deliverDelayed()
			if n := w.sends - before; n > 2*(3+1) {
				t.Fatalf("%d sends for 3 attempts and one test of a target with an open circuit", n)
			}
			if !idempotent && w.runs[id] > 1 {
				t.Fatalf("non-idempotent %s ran %d times", id, w.runs[id])
			}
			if err == nil {
				whole := strings.Join(words, "")
				if ans.Text != whole || c.text.String() != whole || w.runs[id] == 0 {
					t.Fatalf("answer %q, caller has %q, %d runs", ans.Text, c.text.String(), w.runs[id])
				}
				continue
			}
			r := refusalOf(t, err)
			if r.Outcome == outcome.NotRun && w.runs[id] > 0 {
				t.Fatalf("%s is reported not-run (%s) and ran %d times", id, r.Reason, w.runs[id])
			}
			if r.Outcome == outcome.NotRun && r.RetryAfter == 0 {
				t.Fatalf("not-run (%s) without a Retry-After", r.Reason)
			}
		}
	})
}

// TestTicketRules guards against a second run of a booking that is retried with its ticket through several entries,
// and against a not-run outcome for a booking that ran or that a later retry can still run.
func TestTicketRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRandomFleet(t, 2)
		entries := []*Entry{w.entry(1), w.entry(2)}
		req := w.request("ticket", wire.KindCall, false)
		issued, err := entries[0].IssueTicket(t.Context(), req)
		if err != nil {
			t.Skip("no ticket issued")
		}
		notRun, completed := false, 0
		for i := range rapid.IntRange(1, 4).Draw(t, "repeats") {
			body := rapid.SampledFrom([]string{"slot", "slot", "slot", "other"}).Draw(t, "body")
			r := w.request(fmt.Sprint("repeat-", i), wire.KindCall, false)
			r.Attempt.Body = body
			e := entries[rapid.IntRange(0, 1).Draw(t, "entry")]
			if refusal := e.OpenTicket(r, issued.Opaque); refusal != nil {
				t.Fatal(refusal)
			}
			ans, err := e.Do(t.Context(), r, &collector{})
			switch {
			case err == nil && ans.Text != strings.Join(words, ""):
				t.Fatalf("answer %q", ans.Text)
			case err == nil:
				completed++
			case refusalOf(t, err).Outcome == outcome.NotRun && refusalOf(t, err).Reason != outcome.TicketMismatch:
				notRun = true
			}
			if rapid.Bool().Draw(t, "settle") {
				w.deliverDelayed()
			}
		}
		w.deliverDelayed()
		switch runs := w.runs["slot"] + w.runs["other"]; {
		case runs > 1:
			t.Fatalf("a booking with a ticket ran %d times", runs)
		case notRun && runs > 0:
			t.Fatal("a booking reported not-run ran")
		case completed > 0 && runs == 0:
			t.Fatal("a booking reported completed did not run")
		}
	})
}
