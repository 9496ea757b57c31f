package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// targetBehaviour is what the local process of a target does with an attempt for its incarnation. The zero value
// answers at once.
type targetBehaviour struct {
	frozen    bool // sends no frame and doesn't answer control requests
	queued    bool // sends no frame, and answers a revoke with not run
	slow      bool // sends its first frame long after FirstFrame has passed
	refused   bool // refuses connections
	textFirst bool // sends a text frame and then behaves as frozen
}

// slowFirstFrame is many times Bounds.FirstFrame in these tests.
const slowFirstFrame = 400 * time.Millisecond

// scriptedFleet is a fleet whose targets have fixed behaviours.
type scriptedFleet struct {
	targets map[string]targetBehaviour
	vms     []wire.VM

	mu      sync.Mutex
	sent    map[string]int
	revoked []wire.Revoke
}

func newScriptedFleet(targets map[string]targetBehaviour) *scriptedFleet {
	s := &scriptedFleet{targets: targets, sent: map[string]int{}}
	for i := range len(targets) {
		name := fmt.Sprint("t", i)
		s.vms = append(s.vms, wire.VM{Name: name, State: wire.StateLive, Data: name, Control: name})
	}
	return s
}

func (s *scriptedFleet) Targets(wire.Kind, string) []wire.VM { return s.vms }

func (s *scriptedFleet) Send(ctx context.Context, addr string, a wire.Attempt, onFrame func(wire.Frame) error) error {
	b := s.targets[addr]
	f := wire.Frame{ID: a.ID, Incarnation: addr}
	if b.refused {
		return &port.NotSentError{Err: errBroken}
	}
	if a.Incarnation == "" && !b.frozen {
		f.Kind, f.Reason = wire.FrameRefused, outcome.WrongIncarnation
		return onFrame(f)
	}
	s.mu.Lock()
	s.sent[addr]++
	s.mu.Unlock()
	if b.textFirst {
		f.Kind, f.Text = wire.FrameText, "lost "
		if err := onFrame(f); err != nil {
			return err
		}
	}
	if b.frozen || b.queued || b.textFirst {
		<-ctx.Done()
		return ctx.Err()
	}
	if b.slow {
		sleep(ctx, slowFirstFrame)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return sendWholeAnswer(a.ID, onFrame)
}

func sendWholeAnswer(id wire.AttemptID, onFrame func(wire.Frame) error) error {
	if err := onFrame(wire.Frame{ID: id, Kind: wire.FrameText, Text: "whole"}); err != nil {
		return err
	}
	return onFrame(wire.Frame{ID: id, Seq: 1, Kind: wire.FrameEnd, Frames: 1, Status: http.StatusOK, TextHash: stream.Hash("whole")})
}

func (s *scriptedFleet) Resume(ctx context.Context, _ string, _ wire.Resume, _ func(wire.Frame) error) error {
	<-ctx.Done()
	return ctx.Err()
}

func (s *scriptedFleet) Incarnation(ctx context.Context, addr string) (string, error) {
	if b := s.targets[addr]; b.frozen || b.textFirst {
		<-ctx.Done()
		return "", ctx.Err()
	}
	return addr, nil
}

func (s *scriptedFleet) Revoke(ctx context.Context, addr string, r wire.Revoke) (wire.RevokeReply, error) {
	s.mu.Lock()
	s.revoked = append(s.revoked, r)
	s.mu.Unlock()
	if b := s.targets[addr]; b.frozen || b.textFirst {
		<-ctx.Done()
		return wire.RevokeReply{}, ctx.Err()
	}
	return wire.RevokeReply{NotRun: s.targets[addr].queued, Incarnation: r.Incarnation}, nil
}

func (s *scriptedFleet) entry(seed uint64) *Entry {
	return New(Options{Seed: seed, Fleet: s, Sender: s, Control: s, Clock: port.SystemClock{},
		Bounds: Bounds{FirstFrame: 50 * time.Millisecond, NextFrame: 50 * time.Millisecond, Control: 50 * time.Millisecond}})
}

func (s *scriptedFleet) request(t *testing.T, id string, idempotent bool, deadline time.Duration) *Request {
	t.Helper()
	snap, err := config.Parse("test", []byte(configDocument))
	if err != nil {
		t.Fatal(err)
	}
	return &Request{ID: id, Snapshot: snap, Account: &config.ClientAccount{Name: "a"}, Deadline: time.Now().Add(deadline),
		Attempt: wire.Attempt{Kind: wire.KindCall, Service: "s", Operation: "op", Body: id, Idempotent: idempotent}}
}

// faultyFirst is a fleet whose target t0 answers attempts for its incarnation with the function, and whose target t1 answers at once.
type faultyFirst struct {
	*scriptedFleet
	answer func(wire.Attempt, func(wire.Frame) error) error
}

// newFaultyFirst returns such a fleet and an entry whose first choice is t0.
func newFaultyFirst(answer func(wire.Attempt, func(wire.Frame) error) error) (*faultyFirst, *Entry) {
	f := &faultyFirst{scriptedFleet: newScriptedFleet(map[string]targetBehaviour{"t0": {}, "t1": {}}), answer: answer}
	f.vms[1].DataCentre = "far"
	e := f.entry(1)
	e.opt.Sender = f
	e.storeIncarnation("t0", "t0")
	return f, e
}

func (f *faultyFirst) Send(ctx context.Context, addr string, a wire.Attempt, onFrame func(wire.Frame) error) error {
	if addr != "t0" || a.Incarnation == "" {
		return f.scriptedFleet.Send(ctx, addr, a, onFrame)
	}
	return f.answer(a, onFrame)
}

// TestUnresponsiveTargets guards against waiting for a local process that doesn't respond until the request's deadline,
// although another target could serve the request, against giving up on a live process that is slow, and against
// running a booking twice.
func TestUnresponsiveTargets(t *testing.T) {
	const long, brief = time.Minute, 400 * time.Millisecond
	for _, c := range []struct {
		name       string
		first      targetBehaviour
		unknown    bool // the entry doesn't know the incarnation of the first target
		idempotent bool
		deadline   time.Duration
		outcome    outcome.Outcome
		usesOther  bool // an attempt is sent to the other target
	}{
		{"frozen, idempotent", targetBehaviour{frozen: true}, false, true, long, outcome.Completed, true},
		{"frozen, booking", targetBehaviour{frozen: true}, false, false, brief, outcome.Unknown, false},
		{"frozen, booking, not sent to an incarnation", targetBehaviour{frozen: true}, true, false, long, outcome.Completed, true},
		{"queued, idempotent", targetBehaviour{queued: true}, false, true, brief, outcome.NotRun, false},
		{"queued, booking", targetBehaviour{queued: true}, true, false, brief, outcome.NotRun, false},
		{"slow, idempotent", targetBehaviour{slow: true}, false, true, long, outcome.Completed, false},
		{"slow, booking", targetBehaviour{slow: true}, true, false, long, outcome.Completed, false},
		{"frozen after text, idempotent", targetBehaviour{textFirst: true}, false, true, long, outcome.Completed, true},
		{"frozen after text, booking", targetBehaviour{textFirst: true}, false, false, brief, outcome.Unknown, false},
		{"refused, booking", targetBehaviour{refused: true}, false, false, long, outcome.Completed, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedFleet(map[string]targetBehaviour{"t0": c.first, "t1": {}})
			s.vms[1].DataCentre = "far" // so that t0 is the first choice
			e := s.entry(1)
			if !c.unknown {
				e.storeIncarnation("t0", "t0")
			}
			var caller collector
			_, err := e.Do(t.Context(), s.request(t, "r", c.idempotent, c.deadline), &caller)
			got := outcome.Completed
			if err != nil {
				got = err.(*Refusal).Outcome
			}
			if got != c.outcome || (s.sent["t1"] > 0) != c.usesOther {
				t.Errorf("outcome %s (%v), sent %v", got, err, s.sent)
			}
			if c.first.frozen {
				// The target's circuit is open now, so the next booking goes to the other target without a wait.
				if _, err := e.Do(t.Context(), s.request(t, "second", false, brief), &collector{}); err != nil {
					t.Errorf("second booking: %v", err)
				}
			}
			if got == outcome.Completed && caller.text.String() != "whole" {
				t.Errorf("caller has %q", caller.text.String())
			}
		})
	}
}

// TestCallerLeavingCancelsAttempt guards against an attempt that continues to run, and against further attempts, after
// the caller has left.
func TestCallerLeavingCancelsAttempt(t *testing.T) {
	s := newScriptedFleet(map[string]targetBehaviour{"t0": {slow: true}, "t1": {slow: true}})
	e := s.entry(1)
	e.opt.Bounds.FirstFrame = time.Minute
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan error)
	go func() {
		_, err := e.Do(ctx, s.request(t, "r", true, time.Minute), &collector{})
		done <- err
	}()
	for total := 0; total == 0; {
		s.mu.Lock()
		total = s.sent["t0"] + s.sent["t1"]
		s.mu.Unlock()
	}
	leave()
	r := (<-done).(*Refusal)
	if r.Reason != outcome.CallerLeft || len(s.revoked) != 1 || !s.revoked[0].Cancel || s.sent["t0"]+s.sent["t1"] != 1 {
		t.Errorf("refusal %v, revoked %+v, sent %v", r, s.revoked, s.sent)
	}
}

// TestOutageStaysWithinBudget guards against a retry storm. While a third of the targets refuse connections, the
// attempts may exceed the requests at most by the retry budget, and at least 95% of the requests must complete.
func TestOutageStaysWithinBudget(t *testing.T) {
	const requests, share, burst = 2000, 0.1, 10
	targets := map[string]targetBehaviour{}
	for i := range 12 {
		targets[fmt.Sprint("t", i)] = targetBehaviour{refused: i%3 == 0}
	}
	for seed := range uint64(5) {
		s := newScriptedFleet(targets)
		e := s.entry(seed)
		for _, vm := range s.vms {
			e.storeIncarnation(vm.Name, vm.Name)
		}
		completed, attempts := 0, 0
		for i := range requests {
			x := newExecution(e, s.request(t, fmt.Sprint(i), true, time.Minute), &collector{})
			if ans, _ := x.admitAndRun(t.Context()); ans != nil {
				completed++
			}
			attempts += len(x.attempts)
		}
		if limit := requests + requests*share + burst; float64(attempts) > limit {
			t.Errorf("seed %d: %d attempts for %d requests, limit %.0f", seed, attempts, requests, limit)
		}
		if completed < requests*95/100 {
			t.Errorf("seed %d: %d of %d requests completed", seed, completed, requests)
		}
	}
}

// TestLowTrafficServiceSurvivesOutage guards against a service with little traffic whose retry budget is used up by the
// tests of dead targets, so that bookings fail although a target is healthy.
func TestLowTrafficServiceSurvivesOutage(t *testing.T) {
	s := newScriptedFleet(map[string]targetBehaviour{"t0": {refused: true}, "t1": {}, "t2": {refused: true}})
	e := s.entry(1)
	clock := &fixedClock{t: time.Now()}
	e.opt.Clock = clock
	e.router = routing.New(routing.Options{Clock: clock, Seed: 1})
	for i := range 500 {
		clock.t = clock.t.Add(10 * time.Second)
		r := s.request(t, fmt.Sprint(i), false, 0)
		r.Deadline = clock.t.Add(time.Minute)
		if _, err := e.Do(t.Context(), r, &collector{}); err != nil {
			t.Fatalf("booking %d: %v", i, err)
		}
	}
}

// TestAccountLimits guards against an account that exceeds its rate or its number of requests in flight, and against a
// refusal without the time after which a request would be admitted.
func TestAccountLimits(t *testing.T) {
	l := newAccountLimits()
	now := time.Unix(1000, 0)
	slow := &config.ClientAccount{Name: "slow", RequestsPerSecond: 2}
	for i, want := range []time.Duration{0, 0, 500 * time.Millisecond} {
		if _, wait := l.admit(slow, now); wait != want {
			t.Errorf("request %d: wait %s, want %s", i, wait, want)
		}
	}
	if release, _ := l.admit(slow, now.Add(500*time.Millisecond)); release == nil {
		t.Error("refused after the stated wait")
	}
	slow.RequestsPerSecond = 100 // as after a change of the configuration
	if release, _ := l.admit(slow, now.Add(time.Second)); release == nil {
		t.Error("refused under the new limit")
	}
	narrow := &config.ClientAccount{Name: "narrow", MaxInFlight: 1}
	release, _ := l.admit(narrow, now)
	if second, wait := l.admit(narrow, now); second != nil || wait == 0 {
		t.Error("admitted a second request in flight")
	}
	release()
	if again, _ := l.admit(narrow, now); again == nil {
		t.Error("refused after the first request ended")
	}
}
