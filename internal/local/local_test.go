package local

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/camphorbank/camphorbank/internal/adapter/localhttp"
	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// TestMain guards against goroutines that outlive the requests and the process that they belong to.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTarget is an engine and a plain service. Work ends when the test sends a value to finish, or with its context.
type fakeTarget struct {
	started   chan string   // receives the request id or the operation when work starts
	finish    chan struct{} // each value ends one request or operation
	cancelled chan string   // receives the id of a request whose context ended
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{started: make(chan string, 10), finish: make(chan struct{}, 10), cancelled: make(chan string, 10)}
}

func (f *fakeTarget) Generate(ctx context.Context, r port.EngineRequest, emit func(port.Chunk) error) error {
	_ = emit(port.Chunk{Text: "first ", Tokens: 1})
	f.started <- r.ID
	select {
	case <-f.finish:
		return emit(port.Chunk{Text: "last", Tokens: 1})
	case <-ctx.Done():
		f.cancelled <- r.ID
		return ctx.Err()
	}
}

func (f *fakeTarget) Load(context.Context) (port.EngineLoad, error) {
	return port.EngineLoad{}, errors.New("no report")
}

func (f *fakeTarget) Call(ctx context.Context, operation, body string) (port.ServiceResponse, error) {
	f.started <- operation
	select {
	case <-f.finish:
		return port.ServiceResponse{Status: 200, Body: "done " + body, RetryAfter: time.Second}, nil
	case <-ctx.Done():
		return port.ServiceResponse{}, ctx.Err()
	}
}

// process is a local process behind a test server, with a client for it.
type process struct {
	*Local
	target *fakeTarget
	client *localhttp.Client
	addr   string
	number int // of the latest attempt
}

// startProcess starts a local process for a target with one slot.
func startProcess(t *testing.T, kind wire.Kind) *process {
	t.Helper()
	p := &process{target: newFakeTarget(), client: localhttp.New(nil)}
	policy := admission.PolicyOf(nil)
	policy.MaxWait = [2]time.Duration{time.Minute, time.Minute}
	opt := Options{Incarnation: "i", Clock: port.SystemClock{}, Slots: 1, Revision: func() int64 { return 7 },
		Policy: func() *admission.Policy { return policy }}
	if kind == wire.KindDraft {
		opt.Engine = p.target
	} else {
		opt.Service = p.target
	}
	p.Local = New(opt)
	server := httptest.NewServer(p.Handler())
	p.addr = strings.TrimPrefix(server.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; p.client.CloseIdle(); server.Close() })
	return p
}

// attempt returns a new valid attempt.
func (p *process) attempt(kind wire.Kind, ticket string) wire.Attempt {
	p.number++
	return wire.Attempt{ID: wire.AttemptID{Request: "r", Number: p.number}, Incarnation: "i", Kind: kind, Account: "a",
		RemainingMS: 60_000, Prompt: "p", MaxTokens: 10, Operation: "reserve", Body: "slot", Ticket: ticket}
}

// send sends an attempt. The returned channel delivers its frames when the attempt or ctx ends.
func (p *process) send(ctx context.Context, a wire.Attempt) <-chan []wire.Frame {
	out := make(chan []wire.Frame, 1)
	go func() {
		var frames []wire.Frame
		_ = p.client.Send(ctx, p.addr, a, func(f wire.Frame) error { frames = append(frames, f); return nil })
		out <- frames
	}()
	return out
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timeout: " + what)
		}
	}
}

func lastFrame(frames []wire.Frame) wire.Frame {
	if len(frames) == 0 {
		return wire.Frame{}
	}
	return frames[len(frames)-1]
}

// TestDraftOutlivesItsConnection guards against three faults: a draft at the target is lost when the connection to its
// entry breaks, a draft keeps running although nobody resumes it, and a queued draft is sent to the target although its
// caller has disconnected.
func TestDraftOutlivesItsConnection(t *testing.T) {
	p := startProcess(t, wire.KindDraft)
	ctx, leave := context.WithCancel(context.Background())
	first := p.attempt(wire.KindDraft, "")
	firstEnded := p.send(ctx, first)
	<-p.target.started
	second := p.send(ctx, p.attempt(wire.KindDraft, ""))
	waitFor(t, "second queued", func() bool { return p.Load().Queued == 1 })
	leave()
	<-firstEnded
	<-second
	waitFor(t, "second dropped", func() bool { return p.Load().Queued == 0 })
	p.target.finish <- struct{}{}
	var text string
	var end wire.Frame
	err := p.client.Resume(context.Background(), p.addr, wire.Resume{ID: first.ID, Incarnation: "i", FromSeq: 1},
		func(f wire.Frame) error { text, end = text+f.Text, f; return nil })
	if err != nil || text != "last" || end.Kind != wire.FrameEnd || end.Frames != 2 || end.Load == nil {
		t.Errorf("resumed %q, %+v, %v", text, end, err)
	}
	ctx, leave = context.WithCancel(context.Background())
	third := p.send(ctx, p.attempt(wire.KindDraft, ""))
	if id := <-p.target.started; id != "r-3" {
		t.Errorf("%s runs, want r-3", id)
	}
	leave()
	<-third
	if id := <-p.target.cancelled; id != "r-3" {
		t.Errorf("%s was cancelled, want r-3", id)
	}
	waitFor(t, "slot free", func() bool { return p.Load().Running == 0 })
}

// TestBookingOutlivesItsCaller guards against a booking that is cancelled because its caller disconnects or the process
// stops, and against a retry with the same ticket that runs the booking twice.
func TestBookingOutlivesItsCaller(t *testing.T) {
	p := startProcess(t, wire.KindCall)
	ctx, leave := context.WithCancel(context.Background())
	abandoned := p.send(ctx, p.attempt(wire.KindCall, "t"))
	<-p.target.started
	queued := p.send(context.Background(), p.attempt(wire.KindCall, "other"))
	waitFor(t, "booking queued", func() bool { return p.Load().Queued == 1 })
	leave()
	<-abandoned
	retried := p.send(context.Background(), p.attempt(wire.KindCall, "t"))
	p.SetStopping()
	if !p.Load().Draining || p.table.Draining() {
		t.Error("load reports must say draining before any work is refused")
	}
	p.Stop()
	if f := lastFrame(<-queued); f.Kind != wire.FrameRefused || f.Reason != outcome.Stopping || !f.Load.Draining {
		t.Errorf("queued booking: %+v", f)
	}
	waiting := make(chan error, 1)
	go func() { waiting <- p.Wait(context.Background()) }()
	p.target.finish <- struct{}{}
	if f := lastFrame(<-retried); f.Kind != wire.FrameEnd || !f.Repeated || f.Status != 200 || f.RetryAfterMS != 1000 {
		t.Errorf("retry with the same ticket: %+v", f)
	}
	if err := <-waiting; err != nil || len(p.target.started) != 0 {
		t.Errorf("wait: %v; %d more bookings started", err, len(p.target.started))
	}
}

// TestDrain guards against new work at a target whose VM is leaving, a response whose load report doesn't say draining,
// and a drain that ends when one of its causes ends while another still holds.
func TestDrain(t *testing.T) {
	p := startProcess(t, wire.KindCall)
	p.SetOperatorDrain(true)
	p.updateCauses(func(c *drainCauses) { c.vmLeaving = true })
	p.SetOperatorDrain(false)
	f := lastFrame(<-p.send(context.Background(), p.attempt(wire.KindCall, "")))
	if f.Kind != wire.FrameRefused || f.Reason != outcome.Draining || f.Load == nil || !f.Load.Draining {
		t.Errorf("while the VM leaves: %+v", f)
	}
	p.updateCauses(func(c *drainCauses) { c.vmLeaving = false })
	p.target.finish <- struct{}{}
	if f := lastFrame(<-p.send(context.Background(), p.attempt(wire.KindCall, ""))); f.Kind != wire.FrameEnd || f.Load.Draining {
		t.Errorf("after the drain: %+v", f)
	}
}

// TestMalformedAttempts guards against running an attempt whose id could be taken for another one, that is meant for
// another kind of target, or that is out of range.
func TestMalformedAttempts(t *testing.T) {
	p := startProcess(t, wire.KindCall)
	for name, change := range map[string]func(*wire.Attempt){
		"no request id":     func(a *wire.Attempt) { a.ID.Request = "" },
		"negative number":   func(a *wire.Attempt) { a.ID.Number = -1 },
		"other kind":        func(a *wire.Attempt) { a.Kind = wire.KindDraft },
		"negative tokens":   func(a *wire.Attempt) { a.MaxTokens = -1 },
		"oversized payload": func(a *wire.Attempt) { a.Body = strings.Repeat("x", maxAttemptBytes) },
	} {
		a := p.attempt(wire.KindCall, "")
		change(&a)
		if frames := <-p.send(context.Background(), a); len(frames) != 0 || p.table.Live() != 0 {
			t.Errorf("%s: %+v", name, frames)
		}
	}
}

// TestLargestTextIsServed guards against a bound on the size of attempts that refuses texts within the callers' limits.
// The largest attempt has a text of control characters, each of which takes six bytes in JSON.
func TestLargestTextIsServed(t *testing.T) {
	text := strings.Repeat("\x01", wire.MaxTextBytes)
	for _, kind := range []wire.Kind{wire.KindDraft, wire.KindCall} {
		p := startProcess(t, kind)
		a := p.attempt(kind, "")
		if kind == wire.KindDraft {
			a.Prompt, a.Model, a.Adapter = text, strings.Repeat("\x01", 200), strings.Repeat("\x01", 200)
		} else {
			a.Body, a.Service = text, strings.Repeat("\x01", 200)
		}
		p.target.finish <- struct{}{}
		frames := <-p.send(context.Background(), a)
		if end := lastFrame(frames); end.Kind != wire.FrameEnd || kind == wire.KindCall && !strings.HasSuffix(frames[0].Text, text) {
			t.Errorf("%s: %d frames, the last is of kind %q with reason %q", kind, len(frames), end.Kind, end.Reason)
		}
	}
}
