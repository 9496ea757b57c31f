package attempt

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

func booking(n int, ticket string, expires time.Time) wire.Attempt {
	return wire.Attempt{ID: wire.AttemptID{Request: "r", Number: n}, Incarnation: "i1", Kind: wire.KindCall,
		RemainingMS: 5000, Operation: "reserve", Body: "slot", Ticket: ticket, TicketExpires: expires}
}

func followAndLeave(run *Run) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = run.Follow(cancelled, run.Attempt().ID, 0, func(wire.Frame) error { return nil })
}

// TestTicketKeepsResponseUntilExpiry guards against dropping a response while a retry with the ticket may still ask
// for it, and against a second run after the ticket's expiry.
func TestTicketKeepsResponseUntilExpiry(t *testing.T) {
	c := &fakeClock{now: time.Unix(1_800_000_000, 0)}
	table := NewTable("i1", c)
	expires := c.now.Add(8 * time.Minute)
	run, _ := table.Begin(booking(1, "t", expires))
	run.Dispatch(func() {})
	run.AppendText("done")
	run.End(0, 200, 0)
	c.now = c.now.Add(7 * time.Minute)
	table.Sweep()
	again, created := table.Begin(booking(2, "t", expires))
	if last := lastFrame(again, wire.AttemptID{Request: "r", Number: 2}); created || last.Kind != wire.FrameEnd || !last.Repeated {
		t.Errorf("retry before the expiry: created %t, %+v", created, last)
	}
	for _, step := range []time.Duration{2 * time.Minute, 70 * time.Minute, 5 * time.Hour} {
		c.now = c.now.Add(step)
		table.Sweep()
		late, created := table.Begin(booking(3+int(step), "t", expires))
		if last := lastFrame(late, wire.AttemptID{}); created || last.Kind != wire.FrameFailed || last.Reason != outcome.TicketExpired {
			t.Errorf("retry after the expiry: created %t, %+v", created, last)
		}
	}
}

// TestClosedTicket guards against running a booking after its ticket was reported as not run, by a refusal or by a
// revoke, also one that arrives while the table has no attempt with the ticket.
func TestClosedTicket(t *testing.T) {
	closeTicket := map[string]func(table *Table, run *Run){
		"revoke after the drop of a queued attempt": func(table *Table, run *Run) {
			followAndLeave(run)
			if !table.Revoke(wire.Revoke{ID: wire.AttemptID{Request: "other", Number: 1}, Ticket: "t"}) {
				t.Error("not revoked")
			}
		},
		"revoke while queued": func(table *Table, run *Run) { table.Revoke(wire.Revoke{ID: run.Attempt().ID, Ticket: "t"}) },
		"refusal":             func(_ *Table, run *Run) { run.Refuse(outcome.QueueFull, time.Second) },
		"drain": func(table *Table, run *Run) {
			followAndLeave(run)
			table.SetDraining(true)
			table.Begin(booking(2, "t", time.Time{}))
			table.SetDraining(false)
		},
	}
	for name, closeBy := range closeTicket {
		t.Run(name, func(t *testing.T) {
			table := NewTable("i1", &fakeClock{now: time.Unix(1_800_000_000, 0)})
			run, _ := table.Begin(booking(1, "t", time.Time{}))
			closeBy(table, run)
			retry, created := table.Begin(booking(3, "t", time.Time{}))
			if f := lastFrame(retry, wire.AttemptID{}); created || f.Kind != wire.FrameRefused || f.Reason != outcome.TicketClosed {
				t.Errorf("retry: created %t, %+v", created, f)
			}
		})
	}
}

// TestCallerLeft guards against dispatching or continuing work whose caller has left, and against closing a ticket or
// cancelling a booking because its caller left.
func TestCallerLeft(t *testing.T) {
	c := &fakeClock{now: time.Unix(1_800_000_000, 0)}
	table := NewTable("i1", c)
	queued, _ := table.Begin(booking(1, "t", time.Time{}))
	followAndLeave(queued)
	if queued.Dispatch(func() {}) {
		t.Error("a dropped run was dispatched")
	}
	second, created := table.Begin(booking(2, "t", time.Time{}))
	if !created || !second.Dispatch(func() { t.Error("a booking was cancelled") }) {
		t.Error("the ticket was closed because its caller left")
	}
	followAndLeave(second)
	draft := booking(3, "", time.Time{})
	draft.Kind = wire.KindDraft
	running, _ := table.Begin(draft)
	cancelled := false
	running.Dispatch(func() { cancelled = true })
	followAndLeave(running)
	table.Sweep()
	if cancelled {
		t.Error("cancelled before the grace period")
	}
	c.now = c.now.Add(OrphanGrace)
	table.Sweep()
	if !cancelled {
		t.Error("a draft without a follower was not cancelled")
	}
}

// TestMemoryIsBounded guards against memory use that grows with the number of ended attempts, and against forgetting an
// attempt that ran within the longest deadline of a request.
func TestMemoryIsBounded(t *testing.T) {
	c := &fakeClock{now: time.Unix(1_800_000_000, 0)}
	table := NewTable("i1", c)
	first := wire.AttemptID{Request: "r", Number: 1}
	for n := 1; n <= 200; n++ {
		run, created := table.Begin(wire.Attempt{ID: wire.AttemptID{Request: "r", Number: n}, Incarnation: "i1", RemainingMS: 1000})
		if !created {
			t.Fatalf("attempt %d refused: %+v", n, lastFrame(run, first))
		}
		run.Dispatch(func() {})
		run.AppendText(strings.Repeat("x", maxEndedTextBytes/20))
		run.End(1, 0, 0)
		table.Sweep()
		if table.endedTextBytes > maxEndedTextBytes+maxEndedTextBytes/20 {
			t.Fatalf("%d bytes kept", table.endedTextBytes)
		}
	}
	for range 7 {
		c.now = c.now.Add(generationSpan - time.Second)
		for range generations {
			table.Sweep()
		}
	}
	if table.Revoke(wire.Revoke{ID: first}) {
		t.Error("an attempt that ran was forgotten within the longest deadline of a request")
	}
	for range 20 {
		c.now = c.now.Add(generationSpan)
		table.Sweep()
	}
	if n := table.history.len() + len(table.runs); n != 0 {
		t.Errorf("%d attempts are never forgotten", n)
	}
}
