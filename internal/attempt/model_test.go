package attempt

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// model drives a Table and records, without ever forgetting, what was dispatched and what was reported as not run. It
// fails the test when the two contradict.
type model struct {
	clock            *fakeClock
	table            *Table
	runs             []*Run
	attempts         map[wire.AttemptID]wire.Attempt // every attempt that was sent
	answers          map[*Run][]wire.AttemptID       // attempts that get a run's response
	deadlines        map[wire.AttemptID]time.Time
	ran              map[string]bool // dispatched attempts and tickets
	notRun           map[string]bool // attempts and tickets that were reported as not run
	remainingAdvance time.Duration   // by which the clock may still be advanced
}

func newModel() *model {
	c := &fakeClock{now: time.Date(2026, 1, 5, 18, 0, 0, 0, time.UTC)}
	return &model{
		clock: c, table: NewTable("i1", c), attempts: map[wire.AttemptID]wire.Attempt{},
		answers: map[*Run][]wire.AttemptID{}, deadlines: map[wire.AttemptID]time.Time{},
		ran: map[string]bool{}, notRun: map[string]bool{}, remainingAdvance: MaxDeadline,
	}
}

func idName(id wire.AttemptID) string { return fmt.Sprintf("attempt %s/%d", id.Request, id.Number) }

// report records that an attempt, and its ticket if ticketed, was reported as not run.
func (m *model) report(t *rapid.T, id wire.AttemptID, ticketed bool) {
	names := []string{idName(id)}
	if ticket := m.attempts[id].Ticket; ticketed && ticket != "" {
		names = append(names, "ticket "+ticket)
	}
	for _, name := range names {
		if m.ran[name] {
			t.Fatalf("%s ran and was reported as not run", name)
		}
		m.notRun[name] = true
	}
}

// attempt returns the attempt with an id. It draws its content at the first call, since an entry never changes an
// attempt.
func (m *model) attempt(t *rapid.T, id wire.AttemptID) wire.Attempt {
	a, ok := m.attempts[id]
	if ok {
		return a
	}
	a = wire.Attempt{ID: id, Incarnation: "i1", Kind: wire.KindCall, RemainingMS: rapid.Int64Range(0, 9000).Draw(t, "remaining"),
		Body: rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body"), Ticket: rapid.SampledFrom([]string{"", "t1", "t2"}).Draw(t, "ticket")}
	if a.Ticket != "" {
		a.TicketExpires = m.clock.now.Add(time.Minute)
	}
	m.attempts[id] = a
	return a
}

func (m *model) deliver(t *rapid.T) {
	id := drawID(t)
	a := m.attempt(t, id)
	run, created := m.table.Begin(a)
	if created {
		if m.ran[idName(id)] || m.notRun[idName(id)] {
			t.Fatalf("%s runs again", idName(id))
		}
		m.runs = append(m.runs, run)
		m.deadlines[id] = m.clock.now.Add(time.Duration(a.RemainingMS) * time.Millisecond)
	}
	if !slices.Contains(m.answers[run], id) {
		m.answers[run] = append(m.answers[run], id)
	}
	m.checkAnswers(t, run)
}

func drawID(t *rapid.T) wire.AttemptID {
	return wire.AttemptID{Request: rapid.SampledFrom([]string{"q1", "q2", "q3"}).Draw(t, "request"), Number: rapid.IntRange(1, 3).Draw(t, "number")}
}

// checkAnswers records what an ended run reports to the attempts that follow it.
func (m *model) checkAnswers(t *rapid.T, run *Run) {
	select {
	case <-run.Done():
	default:
		return
	}
	for _, id := range m.answers[run] {
		last := lastFrame(run, id)
		dropped := last.Reason == outcome.CallerLeft
		if last.Kind == wire.FrameRefused && !dropped {
			// A mismatch doesn't say whether the ticket's own booking ran.
			m.report(t, id, last.Reason != outcome.TicketMismatch)
		}
	}
	delete(m.answers, run)
}

// lastFrame returns the last frame of an ended run, or an empty one if the run hasn't ended.
func lastFrame(run *Run, id wire.AttemptID) (last wire.Frame) {
	select {
	case <-run.Done():
	default:
		return last
	}
	_ = run.Follow(context.Background(), id, 0, func(f wire.Frame) error { last = f; return nil })
	return last
}

func (m *model) dispatch(t *rapid.T, run *Run) {
	a := run.Attempt()
	if !run.Dispatch(func() {}) {
		return
	}
	if !m.clock.now.Before(m.deadlines[a.ID]) {
		t.Fatalf("%s dispatched after its deadline", idName(a.ID))
	}
	names := []string{"ticket " + a.Ticket}
	if a.Ticket == "" {
		names = nil
	}
	for _, id := range m.answers[run] {
		names = append(names, idName(id))
	}
	for _, name := range names {
		if m.ran[name] || m.notRun[name] {
			t.Fatalf("%s dispatched, ran before: %t, reported not run: %t", name, m.ran[name], m.notRun[name])
		}
		m.ran[name] = true
	}
}

func (m *model) revoke(t *rapid.T) {
	id := drawID(t)
	ticket := m.attempt(t, id).Ticket
	if m.table.Revoke(wire.Revoke{ID: id, Ticket: ticket}) {
		m.report(t, id, true)
		return
	}
	if !m.ran[idName(id)] && !m.ran["ticket "+ticket] {
		t.Fatalf("%s never ran and is not revoked", idName(id))
	}
}

func (m *model) advanceClock(t *rapid.T) {
	d := time.Duration(rapid.SampledFrom([]int64{1, 500, 3000, 40_000, 700_000}).Draw(t, "ms")) * time.Millisecond
	if m.remainingAdvance -= d; m.remainingAdvance > 0 {
		m.clock.now = m.clock.now.Add(d)
	}
}

func (m *model) step(t *rapid.T) {
	action := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "dispatch", "dispatch", "end", "refuse", "leave",
		"revoke", "drain", "undrain", "jump", "sweep", "stop"}).Draw(t, "action")
	var run *Run
	if len(m.runs) > 0 {
		run = m.runs[rapid.IntRange(0, len(m.runs)-1).Draw(t, "run")]
	}
	switch action {
	case "deliver":
		m.deliver(t)
	case "revoke":
		m.revoke(t)
	case "drain", "undrain":
		m.table.SetDraining(action == "drain")
	case "jump":
		m.advanceClock(t)
	case "sweep":
		m.table.Sweep()
	case "stop":
		if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
			m.table.Stop()
		}
	}
	if run != nil {
		m.stepRun(t, action, run)
	}
	for _, run := range m.runs {
		m.checkAnswers(t, run)
	}
}

func (m *model) stepRun(t *rapid.T, action string, run *Run) {
	switch action {
	case "dispatch":
		m.dispatch(t, run)
	case "end":
		run.AppendText("x")
		run.End(1, 0, 0)
	case "refuse":
		if run.state == Queued {
			run.Refuse(outcome.QueueFull, time.Second)
		}
	case "leave":
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = run.Follow(cancelled, wire.AttemptID{}, 1000, func(wire.Frame) error { return nil })
	}
}

// TestTableAgainstModel guards against running an attempt that was reported as not run, running an attempt or a ticket
// twice, dispatching after the deadline, and reporting an attempt that ran as not run, in any order of deliveries,
// retries, revokes, drains, dispatches and pauses.
func TestTableAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.step(t)
		}
	})
}
