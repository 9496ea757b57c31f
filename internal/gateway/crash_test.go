package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

const (
	promptHeader = "X-Camphorbank-Prompt-Prefix"
	crashingPart = "bad0"
	engineCount  = 6
	restartTime  = 60 * time.Millisecond
)

// crashingEngines are stand-in engines that crash when they begin an answer to a prompt with crashingPart, and are back as
// a new incarnation after restartTime.
type crashingEngines struct {
	f        *fixture
	mu       sync.Mutex
	targets  []targetset.Target
	revision int64
	crashes  int
	reached  int // requests with crashingPart that reached an engine
}

func newCrashingEngines(t *testing.T) *crashingEngines {
	e := &crashingEngines{f: newFixture(t, target.Answer(200, ""), target.Answer(200, "")), revision: 1}
	e.f.gateway.Observe = nil
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range engineCount {
		e.targets = append(e.targets, targetset.Target{ID: fmt.Sprintf("e-%d", i), Service: "s", Slots: 50, DataCentre: "near"})
		e.start(i)
	}
	return e
}

// start starts the process of an engine and lists it. The caller holds the lock.
func (e *crashingEngines) start(i int) {
	var own *target.Target
	own, err := target.Start(func(c net.Conn, a target.Arrival) bool {
		if !strings.Contains(a.Header.Get(promptHeader), crashingPart) {
			return target.Stream(3, time.Millisecond, false)(c, a)
		}
		e.mu.Lock()
		e.reached++
		e.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		e.crash(i, own)
		return false
	})
	if err != nil {
		e.f.t.Error(err)
		return
	}
	e.f.t.Cleanup(own.Close)
	e.revision++
	e.targets[i].Addr, e.targets[i].StartedAtMs, e.targets[i].Position = own.Addr, e.revision, targetset.Position{Revision: e.revision}
	e.f.gateway.Targets.Replace(targetset.Position{Revision: e.revision}, append([]targetset.Target(nil), e.targets...), time.Now())
}

// crash ends the process of an engine, and starts it again after restartTime.
func (e *crashingEngines) crash(i int, own *target.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	own.Crash()
	time.AfterFunc(restartTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.start(i)
	})
}

func (e *crashingEngines) counts() (crashes, reached int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes, e.reached
}

// send sends the n-th request, with the shared parts of all and those given before the part of its own.
func (e *crashingEngines) send(n int, more string) answer {
	return e.f.do("POST", "/stream/x", "prompt", target.HeaderID, fmt.Sprintf("r-%d", n), promptHeader, fmt.Sprintf("aa01:40,%s%x:600", more, n))
}

// maxCrashesOfPart is the number of crashes after which requests with a part that crashes engines must stop.
const maxCrashesOfPart = 5

// TestPartThatCrashesEnginesStops guards against engines that crash one after the other because requests with the same
// part of a prompt are sent to them again and again, and against refusing sound requests that share their other parts.
func TestPartThatCrashesEnginesStops(t *testing.T) {
	e := newCrashingEngines(t)
	for n := range 60 {
		if a := e.send(n, ""); a.status != http.StatusOK {
			t.Fatalf("sound request: %+v", a)
		}
	}
	refused := 0
	for n := 100; n < 140; n++ {
		if a := e.send(n, crashingPart+":90,"); a.status == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(restartTime)
		e.send(2*n, "")
	}
	time.Sleep(2 * restartTime)
	if crashes, reached := e.counts(); crashes > maxCrashesOfPart || reached > maxCrashesOfPart {
		t.Errorf("%d engines crashed under %d requests with the same part, want at most %d", crashes, reached, maxCrashesOfPart)
	}
	if refused < 30 {
		t.Errorf("%d of 40 requests were refused at once, want at least 30", refused)
	}
	for n := 1000; n < 1020; n++ {
		if a := e.send(n, ""); a.status != http.StatusOK || a.err != nil {
			t.Errorf("sound request with the same first part: %+v", a)
		}
	}
}

// TestWhatIsNoCrash guards against a planned stop that counts as a crash under a prompt, against a failure that counts as
// an answer which has begun, and against a large answer that does not.
func TestWhatIsNoCrash(t *testing.T) {
	prompt := []string{promptHeader, "aa01:40,bb02:9,cc:1"}
	for name, c := range map[string]struct {
		b       func(f *fixture) target.Behaviour
		crashes int32
		begun   bool
	}{
		"crash": {func(f *fixture) target.Behaviour {
			return func(net.Conn, target.Arrival) bool { f.first.Crash(); return false }
		}, 1, false},
		"planned stop": {func(f *fixture) target.Behaviour {
			return func(net.Conn, target.Arrival) bool {
				f.gateway.Targets.Announced(targetset.Incarnation{ID: "i-1"})
				f.first.Crash()
				return false
			}
		}, 0, false},
		"reset":        {func(*fixture) target.Behaviour { return target.Reset() }, 0, false},
		"failure":      {func(*fixture) target.Behaviour { return target.Answer(500, "") }, 0, false},
		"refusal":      {func(*fixture) target.Behaviour { return target.Answer(400, "") }, 0, false},
		"small answer": {func(*fixture) target.Behaviour { return target.Answer(200, "ok") }, 0, true},
		"large answer": {func(*fixture) target.Behaviour { return target.Answer(200, strings.Repeat("x", 300<<10)) }, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Reset(), target.Reset())
			f.first.SetBehaviour(c.b(f))
			clock := f.quarantinePart("bb02")
			clock.advance(5 * time.Minute) // the request tests the part
			var crashes atomic.Int32
			var begun atomic.Bool
			f.gateway.Quarantine.Notify = func(e quarantine.Event) {
				switch e.Kind {
				case quarantine.EventCrash:
					crashes.Add(1)
				case quarantine.EventReleased:
					begun.Store(true)
				}
			}
			f.do("POST", "/unsafe/x", "prompt", prompt...)
			<-f.records // the request has ended at the gateway
			if n := crashes.Load(); n != c.crashes {
				t.Errorf("%d crashes, want %d", n, c.crashes)
			}
			if begun.Load() != c.begun {
				t.Errorf("the answer has begun: %v, want %v", begun.Load(), c.begun)
			}
		})
	}
}

// testClock is a settable clock.
type testClock struct{ t time.Time }

func (c *testClock) now() time.Time          { return c.t }
func (c *testClock) advance(d time.Duration) { c.t = c.t.Add(d) }

// quarantinePart gives the gateway a tracker that has quarantined a part, and returns the clock of the tracker.
func (f *fixture) quarantinePart(part quarantine.Part) *testClock {
	c := &testClock{time.Now().Add(-24 * time.Hour)}
	f.gateway.Quarantine = quarantine.New(c.now)
	send := func(part quarantine.Part) *quarantine.Prompt {
		c.advance(time.Second)
		return f.gateway.Quarantine.Prompt("s", []quarantine.Part{part})
	}
	for range 100 {
		p := send("aa01")
		p.Begun()
		p.Done()
	}
	for n := range 2 {
		p := send(part)
		p.Crashed(targetset.Incarnation{ID: "i-1", StartedAtMs: int64(1 + n)})
		p.Done()
	}
	c.advance(time.Second)
	f.gateway.Quarantine.Sweep()
	return c
}

// TestFailedTestIsNotRetried guards against a test of a quarantined part that reaches a second engine because the first one
// was not seen to refuse connections.
func TestFailedTestIsNotRetried(t *testing.T) {
	f := newFixture(t, target.Reset(), target.Reset())
	clock := f.quarantinePart(crashingPart)
	prompt := []string{promptHeader, "aa01:40," + crashingPart + ":90,c:1"}
	if a := f.do("POST", "/safe/x", "prompt", prompt...); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Fatalf("status %d, want 503 with Retry-After: the part is quarantined", a.status)
	}
	clock.advance(5 * time.Minute)
	if a := f.do("POST", "/safe/x", "prompt", prompt...); a.status != http.StatusBadGateway {
		t.Errorf("status %d of the request that tests the part, want 502", a.status)
	}
	if n := f.arrivals(); n != 1 {
		t.Errorf("%d arrivals at engines, want 1", n)
	}
	clock.advance(10 * time.Minute)
	f.do("POST", "/safe/x", "prompt", prompt...)
	if n := f.arrivals(); n != 1 {
		t.Errorf("%d arrivals at engines, want 1: the test that was lost has failed", n)
	}
}

// TestCrashUnderAContinuation guards against a crash of a second engine that counts for nothing because the first one had
// begun the answer.
func TestCrashUnderAContinuation(t *testing.T) {
	f := newFixture(t, target.Stream(3, time.Millisecond, true), target.Reset())
	f.second.SetBehaviour(func(net.Conn, target.Arrival) bool { f.second.Crash(); return false })
	var crashed []string
	f.gateway.Quarantine.Notify = func(e quarantine.Event) {
		if e.Kind == quarantine.EventCrash {
			crashed = append(crashed, e.Engine)
		}
	}
	f.do("POST", "/stream/x", "prompt", promptHeader, "aa01:40,bb02:9,cc:1")
	<-f.records // the request has ended at the gateway
	if !slices.Equal(crashed, []string{"i-2"}) {
		t.Errorf("crashes of %q, want that of i-2", crashed)
	}
}

// TestEngineThatRefusesLate guards against a crash that is not noticed because the process of the engine still accepts
// connections for a moment after it has closed those of its requests.
func TestEngineThatRefusesLate(t *testing.T) {
	f := newFixture(t, target.Reset(), target.Answer(200, "ok"))
	f.first.SetBehaviour(func(c net.Conn, a target.Arrival) bool {
		time.AfterFunc(50*time.Millisecond, f.first.Crash)
		return target.Reset()(c, a)
	})
	crashed := make(chan string, 1)
	f.gateway.Quarantine.Notify = func(e quarantine.Event) { crashed <- e.Engine }
	if a := f.do("POST", "/safe/x", "prompt", promptHeader, "aa01:40,bb02:9,cc:1"); a.status != http.StatusOK {
		t.Errorf("status %d of a request that may be retried", a.status)
	}
	select {
	case engine := <-crashed:
		if engine != "i-1" {
			t.Errorf("crash of %q, want that of i-1", engine)
		}
	case <-time.After(2 * time.Second):
		t.Error("no crash is recorded")
	}
}
