package gateway_test

import (
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// trickle writes the start and then the same bytes now and then until the connection is closed.
func trickle(start, again string, closed *atomic.Bool) target.Behaviour {
	return func(c net.Conn, a target.Arrival) bool {
		target.Raw(start, true)(c, a)
		for {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(c, again); err != nil {
				closed.Store(true)
				return false
			}
		}
	}
}

// TestTrickleEnds guards against an answer that never ends because its target sends some bytes now and then: its caller must
// learn in time that it is incomplete, and the connection must be closed.
func TestTrickleEnds(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	const chunked, events = ok + "Transfer-Encoding: chunked\r\n", ok + "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		start, again, path string
		ownError           bool // the caller gets a complete error of the system itself
	}{
		"status line":                  {"HTTP/1.1 200 ", "a", "/unsafe/x", true},
		"header":                       {ok + "X-More: ", " ", "/unsafe/x", true},
		"informational heads":          {"", "HTTP/1.1 100 Continue\r\n\r\n", "/unsafe/x", true},
		"informational heads, retried": {"", "HTTP/1.1 102 Processing\r\n\r\n", "/safe/x", true},
		"body with a length":           {ok + "Content-Length: 1000\r\n\r\n", " ", "/unsafe/x", true},
		"body without a length":        {ok + "\r\n", " ", "/unsafe/x", true},
		"body over HTTP/1.0":           {strings.Replace(ok, "1.1", "1.0", 1) + "\r\n", " ", "/unsafe/x", true},
		"large body":                   {ok + "\r\n" + strings.Repeat("a", 300<<10), " ", "/unsafe/x", false},
		"chunks":                       {chunked + "\r\n", "1\r\n \r\n", "/unsafe/x", true},
		"chunk size":                   {chunked + "\r\n", "0", "/unsafe/x", true},
		"chunk extension":              {chunked + "\r\n1;", "a", "/unsafe/x", true},
		"trailers":                     {chunked + "\r\n0\r\n", "A: b\r\n", "/unsafe/x", true},
		"trailers of a stream":         {events + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: ab\n\n\r\n0\r\n", "A: b\r\n", "/once/x", false},
		"comments before an event":     {events + "\r\n", ":\n\n", "/once/x", false},
		"comments after an event":      {events + "\r\nid: 1\ndata: a\n\n", ": alive\n\n", "/once/x", false},
		"blank lines after an event":   {events + "\r\nid: 1\ndata: a\n\n", "\n", "/once/x", false},
		"comment that does not end":    {events + "\r\nid: 1\ndata: a\n\n:", " ", "/once/x", false},
		"event that does not end":      {events + "\r\nid: 1\ndata: a\n\n", "data: b\n", "/once/x", false},
		"stream that can be resumed":   {events + "\r\nid: 1\ndata: a\n\n", ":\n\n", "/stream/x", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var closed atomic.Bool
			b := trickle(c.start, c.again, &closed)
			f := newFixture(t, b, b)
			start := time.Now()
			a := f.do("POST", c.path, "prompt")
			if d := time.Since(start); d > routeTimeout+time.Second {
				t.Errorf("ended after %v", d)
			}
			if (a.err == nil) != c.ownError || c.ownError && a.status < 500 {
				t.Errorf("status %d, error %v", a.status, a.err)
			}
			if n := f.arrivals(); n != 1 && c.path != "/safe/x" {
				t.Errorf("%d arrivals, want 1", n)
			}
			for end := time.Now().Add(2 * time.Second); !closed.Load() && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			}
			if !closed.Load() {
				t.Error("the connection to the target is still open")
			}
		})
	}
}

// TestSlowAnswerIsNotCut guards against a sound answer that is cut because it arrives in small parts with pauses.
func TestSlowAnswerIsNotCut(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	const events = "id: 1\ndata: a\n\n: alive\n\nid: 2\ndata: b\n\n"
	size := strconv.FormatInt(int64(len(events)), 16)
	for name, c := range map[string]struct{ answer, want, path string }{
		"length":          {ok + "Content-Length: 5\r\n\r\nabcde", "abcde", "/unsafe/x"},
		"chunks":          {ok + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nabcde\r\n0\r\nA: b\r\n\r\n", "abcde", "/unsafe/x"},
		"HTTP/1.0":        {strings.Replace(ok, "1.1", "1.0", 1) + "\r\nabcde", "abcde", "/unsafe/x"},
		"after 1xx heads": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nab", "ab", "/unsafe/x"},
		"stream":          {ok + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + events + "\r\n0\r\n\r\n", events, "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const parts = 20
			b := func(conn net.Conn, a target.Arrival) bool {
				whole := strings.Replace(c.answer, "ID", a.Header.Get(target.HeaderID), 1)
				for i := range parts {
					_, _ = io.WriteString(conn, whole[i*len(whole)/parts:(i+1)*len(whole)/parts])
					time.Sleep(routeTimeout / 2 / parts)
				}
				return false
			}
			f := newFixture(t, b, b)
			if a := f.do("POST", c.path, "prompt"); a.err != nil || a.status != 200 || a.body != c.want || f.arrivals() != 1 {
				t.Errorf("%+v after %d arrivals", a, f.arrivals())
			}
		})
	}
}

// TestRunningRequestsOutliveTheirEntry guards against a request that is cut off or started again elsewhere because its target
// is no longer listed, has lapsed in an outage of the list, or leaves.
func TestRunningRequestsOutliveTheirEntry(t *testing.T) {
	for name, change := range map[string]func(s *targetset.Set){
		"removed": func(s *targetset.Set) { s.Replace(targetset.Position{Revision: 2}, nil, time.Now()) },
		"lapsed": func(s *targetset.Set) {
			s.Regained(time.Now())
			s.Replace(targetset.Position{Revision: 2}, nil, time.Now())
			s.Expire(time.Now().Add(targetset.ReregistrationTime))
		},
		"leaves": func(s *targetset.Set) { s.Announced(targetset.Incarnation{ID: "i-1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			b := target.Stream(10, 50*time.Millisecond, false)
			f := newFixture(t, b, b)
			done := make(chan answer)
			go func() { done <- f.do("POST", "/stream/x", "prompt") }()
			for f.arrivals() == 0 {
				time.Sleep(time.Millisecond)
			}
			change(f.gateway.Targets)
			f.gateway.Balance.Sweep(f.gateway.Targets.Snapshot().ByID)
			f.gateway.Pool.Sweep(time.Now(), func(string) bool { return false })
			if a := <-done; a.err != nil || strings.Count(a.body, "data:") != 10 || f.arrivals() != 1 {
				t.Errorf("%+v after %d arrivals", a, f.arrivals())
			}
		})
	}
}
