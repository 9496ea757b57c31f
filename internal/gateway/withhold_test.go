package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// learnedRequests are enough for the gateway to know how long the requests of a route take.
const learnedRequests = 10

// newDrainedFixture returns a gateway in a planned stop that is drained and ends after a time. It knows the streams of the route stream as short.
func newDrainedFixture(t *testing.T, left time.Duration, first, second target.Behaviour) *fixture {
	short := target.Stream(2, time.Millisecond, false)
	f := newFixture(t, short, short)
	f.gateway.Stop = gateway.NewStop()
	for range learnedRequests {
		if a := f.do("POST", "/stream/x", "prompt"); a.err != nil {
			t.Fatal(a.err)
		}
	}
	f.first.SetBehaviour(first)
	f.second.SetBehaviour(second)
	f.gateway.Stop.Begin(gateway.StopTimes{Drained: time.Now(), End: time.Now().Add(left)})
	return f
}

// TestWithheldStreamIsRepeated guards against a stream that breaks while it is withheld and is continued after an event that its caller
// does not have.
func TestWithheldStreamIsRepeated(t *testing.T) {
	for name, c := range map[string]struct{ lastID, want string }{
		"from the start":  {"", "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"},
		"after the first": {"1", "id: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newDrainedFixture(t, time.Second, target.Stream(3, time.Millisecond, true), target.Stream(4, time.Millisecond, false))
			a := f.do("POST", "/stream/x", "prompt", "Last-Event-Id", c.lastID)
			if a.err != nil || a.status != http.StatusOK || a.body != c.want {
				t.Errorf("%+v, want %q", a, c.want)
			}
			arrivals := f.second.Arrivals()
			if n := len(arrivals); n == 0 || arrivals[n-1].Header.Get("Last-Event-Id") != c.lastID {
				t.Errorf("arrivals at the second target: %+v", arrivals)
			}
		})
	}
}

// TestLongAnswerIsNotWithheld guards against an answer that uses up the memory while it is withheld, a stream that is withheld for longer
// than its caller waits for the first event, and one of either kind that is cut.
func TestLongAnswerIsNotWithheld(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	for name, c := range map[string]struct{ path, start, again string }{
		"body":   {"/safe/x", ok + "\r\n", "a"},
		"events": {"/stream/x", ok + "Content-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("a", 1000) + "\n\n"},
		"event":  {"/safe/x", ok + "Content-Type: text/event-stream\r\n\r\n", "data: a\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			var closed atomic.Bool
			b := endless(c.start, c.again, &written, &closed)
			f := newDrainedFixture(t, 5*time.Second, b, b)
			f.setTimeLimit(20 * time.Second)
			if a := f.do("POST", c.path, "x"); a.status != http.StatusBadGateway || a.err != nil {
				t.Errorf("%+v, want 502", a)
			}
			awaitCondition(closed.Load, time.Second)
			if n := written.Load(); !closed.Load() || n > 32<<20 {
				t.Errorf("connection closed: %v, the target sent %d bytes", closed.Load(), n)
			}
		})
	}
	t.Run("slow stream", func(t *testing.T) {
		slow := target.Stream(1000, 10*time.Millisecond, false)
		f := newDrainedFixture(t, 5*time.Second, slow, slow)
		f.setTimeLimit(20 * time.Second)
		begun := time.Now()
		if a := f.do("POST", "/stream/x", "x"); a.status != http.StatusBadGateway || a.err != nil {
			t.Errorf("%+v, want 502", a)
		}
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("answered after %v", took)
		}
	})
}
