package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/ticket"
	"github.com/camphorbank/camphorbank/internal/wire"
)

func init() { log.SetHandler(discard.Default) }

const configDocument = `
revision = 1
preset_in_force = "p"
[[presets]]
name = "p"
short_max_tokens = 200
deadline_short = "5s"
deadline_long = "60s"
deadline_call = "5s"
retry_share = 0.1
max_attempts = 3
long_open = true
`

type fixedClock struct{ t time.Time }

func (c *fixedClock) Now() time.Time { return c.t }

var errBroken = errors.New("connection broken")

// localProcess simulates a local process. It uses a real attempt.Table.
type localProcess struct {
	vm      wire.VM
	starts  int // number of the incarnation
	table   *attempt.Table
	queued  []*attempt.Run        // not dispatched before deliverDelayed
	partial map[*attempt.Run]bool // dispatched runs that have sent the first word and have not ended
}

func (b *localProcess) incarnation() string { return fmt.Sprintf("%s.%d", b.vm.Name, b.starts) }

// delayedAttempt is an attempt that arrives only after its sender has seen a broken connection.
type delayedAttempt struct {
	local   *localProcess
	attempt wire.Attempt
}

// randomFleet is a fleet of simulated local processes behind a network that fails at random. It counts the runs of each
// body or prompt.
type randomFleet struct {
	rt      *rapid.T
	clock   *fixedClock
	locals  []*localProcess
	delayed []delayedAttempt
	runs    map[string]int // by the body of a call or the prompt of a draft
	sends   int
}

func newRandomFleet(t *rapid.T, n int) *randomFleet {
	w := &randomFleet{rt: t, clock: &fixedClock{t: time.Now()}, runs: map[string]int{}}
	for i := range n {
		b := &localProcess{vm: wire.VM{Name: fmt.Sprintf("t%d", i), State: wire.StateLive, Data: fmt.Sprint(i), Control: fmt.Sprint(i)}}
		w.restart(b)
		w.locals = append(w.locals, b)
	}
	return w
}

// restart begins a new incarnation of the process, without any attempts.
func (w *randomFleet) restart(b *localProcess) {
	b.starts++
	b.table = attempt.NewTable(b.incarnation(), w.clock)
	b.queued, b.partial = nil, map[*attempt.Run]bool{}
}

func (w *randomFleet) Targets(wire.Kind, string) []wire.VM {
	var out []wire.VM
	for _, b := range w.locals {
		out = append(out, b.vm)
	}
	return out
}

func (w *randomFleet) localAt(addr string) *localProcess {
	for _, b := range w.locals {
		if b.vm.Data == addr {
			return b
		}
	}
	return nil
}

func (w *randomFleet) Send(_ context.Context, addr string, a wire.Attempt, onFrame func(wire.Frame) error) error {
	w.sends++
	b := w.localAt(addr)
	switch rapid.SampledFrom([]string{"", "", "", "", "connect", "restart", "lost"}).Draw(w.rt, "network") {
	case "connect":
		return &port.NotSentError{Err: errBroken}
	case "restart":
		w.restart(b)
	case "lost":
		w.delayed = append(w.delayed, delayedAttempt{b, a})
		return errBroken
	}
	run, created := b.table.Begin(a)
	if created {
		w.start(b, run)
	}
	return w.follow(run, a.ID, 0, onFrame)
}

func (w *randomFleet) Resume(_ context.Context, addr string, q wire.Resume, onFrame func(wire.Frame) error) error {
	b := w.localAt(addr)
	switch rapid.SampledFrom([]string{"", "", "connect", "restart"}).Draw(w.rt, "resume") {
	case "connect":
		return &port.NotSentError{Err: errBroken}
	case "restart":
		w.restart(b)
	}
	run := b.table.Find(q.ID)
	if run == nil || q.Incarnation != b.incarnation() {
		return port.ErrUnknownAttempt
	}
	if b.partial[run] && rapid.Bool().Draw(w.rt, "go_on") {
		w.finish(run, 1)
	}
	return w.follow(run, q.ID, q.FromSeq, onFrame)
}

func (w *randomFleet) Revoke(_ context.Context, addr string, r wire.Revoke) (wire.RevokeReply, error) {
	b := w.localAt(addr)
	if rapid.Bool().Draw(w.rt, "revoke_lost") {
		return wire.RevokeReply{}, errBroken
	}
	if r.Incarnation != b.incarnation() {
		return wire.RevokeReply{Incarnation: b.incarnation()}, nil
	}
	return wire.RevokeReply{NotRun: b.table.Revoke(r), Incarnation: b.incarnation()}, nil
}

func (w *randomFleet) Incarnation(_ context.Context, addr string) (string, error) {
	return w.localAt(addr).incarnation(), nil
}

// start chooses at random what happens to a new run.
func (w *randomFleet) start(b *localProcess, run *attempt.Run) {
	switch rapid.SampledFrom([]string{"finish", "finish", "part", "fail", "refuse", "queue"}).Draw(w.rt, "run") {
	case "finish":
		w.dispatch(run)
		w.finish(run, 0)
	case "part":
		w.dispatch(run)
		run.AppendText(words[0])
		b.partial[run] = true
	case "fail":
		w.dispatch(run)
		run.Fail(outcome.TargetFailed, 0)
	case "refuse":
		run.Refuse(rapid.SampledFrom([]outcome.Reason{outcome.QueueFull, outcome.ConnectFailed, outcome.DeadlinePassed}).Draw(w.rt, "reason"), 0)
	case "queue":
		b.queued = append(b.queued, run)
	}
}

var words = []string{"one ", "two ", "three "}

func bodyOrPrompt(a wire.Attempt) string { return a.Body + a.Prompt }

func (w *randomFleet) dispatch(run *attempt.Run) bool {
	if !run.Dispatch(func() {}) {
		return false
	}
	w.runs[bodyOrPrompt(run.Attempt())]++
	return true
}

func (w *randomFleet) finish(run *attempt.Run, from int) {
	for _, word := range words[from:] {
		run.AppendText(word)
	}
	run.End(len(words), 200, 0)
}

// follow passes on the frames that exist now, and breaks or corrupts the stream at random.
func (w *randomFleet) follow(run *attempt.Run, id wire.AttemptID, from int, onFrame func(wire.Frame) error) error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return run.Follow(ended, id, from, func(f wire.Frame) error {
		switch rapid.SampledFrom([]string{"", "", "", "", "", "", "break", "text", "foreign", "gap"}).Draw(w.rt, "frame") {
		case "break":
			return errBroken
		case "text":
			f.Text += "x"
		case "foreign":
			f.ID.Request = "other"
		case "gap":
			f.Seq++
		}
		return onFrame(f)
	})
}

// deliverDelayed delivers all delayed attempts, and dispatches all runs that may still be dispatched.
func (w *randomFleet) deliverDelayed() {
	for _, d := range w.delayed {
		if run, created := d.local.table.Begin(d.attempt); created {
			w.dispatch(run)
		}
	}
	for _, b := range w.locals {
		for _, run := range b.queued {
			w.dispatch(run)
		}
	}
	w.delayed = nil
}

func (w *randomFleet) entry(seed uint64) *Entry {
	return New(Options{
		Seed: seed, Fleet: w, Sender: w, Control: w, Tickets: ticket.NewSealer([]byte("key")), Clock: w.clock,
		Bounds: Bounds{FirstFrame: time.Minute, NextFrame: time.Minute, Control: time.Second},
	})
}

func (w *randomFleet) request(id string, kind wire.Kind, idempotent bool) *Request {
	snap, err := config.Parse("test", []byte(configDocument))
	if err != nil {
		w.rt.Fatal(err)
	}
	a := wire.Attempt{Kind: kind, Account: "a", Idempotent: idempotent}
	if kind == wire.KindDraft {
		a.Model, a.Prompt, a.MaxTokens = "m", id, 10
	} else {
		a.Service, a.Operation, a.Body = "s", "op", id
	}
	return &Request{ID: id, Snapshot: snap, Account: &config.ClientAccount{Name: "a"}, Deadline: w.clock.t.Add(time.Minute), Attempt: a}
}

// collector is the Listener of a caller that keeps the streamed text.
type collector struct{ text strings.Builder }

func (c *collector) Text(seq int, text string) error {
	c.text.WriteString(text)
	return nil
}

func (c *collector) Restart() error {
	c.text.Reset()
	return nil
}
