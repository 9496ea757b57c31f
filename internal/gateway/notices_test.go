package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// leavingHeader is the header of a target that leaves.
const leavingHeader = "Server-Leaving: 1\r\n"

// TestLeavingTargetGetsNoMoreRequests guards against requests for a target that has said in an answer that it leaves,
// while the list of targets does not say so.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	for name, b := range map[string]target.Behaviour{
		"with an answer":  target.Raw(head+leavingHeader+"Content-Length: 2\r\n\r\nok", true),
		"with a refusal":  target.Raw("HTTP/1.1 503 Busy\r\n"+target.HeaderID+": ID\r\n"+target.HeaderNotRun+": 1\r\n"+leavingHeader+"Content-Length: 0\r\n\r\n", true),
		"with a failure":  target.Raw("HTTP/1.1 500 Failed\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\n"+leavingHeader+"Content-Length: 0\r\n\r\n", true),
		"with a cut body": target.Raw(head+leavingHeader+"Content-Length: 9\r\n\r\nok", false),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, b, target.Answer(200, "ok"))
			for range 5 {
				f.do("GET", "/safe/x", "")
			}
			if n := len(f.first.Arrivals()); n != 1 {
				t.Errorf("%d requests reached the leaving target, want 1", n)
			}
			leaves, _ := f.gateway.Targets.Leaves(0, time.Now())
			if len(leaves) != 1 || leaves[0].Incarnation != (targetset.Incarnation{ID: "i-1"}) {
				t.Errorf("peers learn of %v", leaves)
			}
		})
	}
}

// TestLeaveOfAnotherTarget guards against a leave that is attributed to the wrong target: one that has taken over the
// address says that it is not the target that was meant, and that it leaves.
func TestLeaveOfAnotherTarget(t *testing.T) {
	f := newFixture(t, target.Raw("HTTP/1.1 421 Misdirected\r\n"+leavingHeader+"Content-Length: 0\r\n\r\n", true), target.Answer(200, "ok"))
	f.do("GET", "/safe/x", "")
	if leaves, _ := f.gateway.Targets.Leaves(0, time.Now()); len(leaves) > 0 {
		t.Errorf("leaves %v", leaves)
	}
}

func refuseFor(retryAfter string) target.Behaviour {
	return target.Raw("HTTP/1.1 503 Busy\r\n"+target.HeaderID+": ID\r\n"+target.HeaderNotRun+": 1\r\nRetry-After: "+retryAfter+"\r\nContent-Length: 0\r\n\r\n", true)
}

// TestQuietTargetIsLeftAlone guards against requests for a target that has asked for none for some time, and against a
// target that is not used again after that time.
func TestQuietTargetIsLeftAlone(t *testing.T) {
	f := newFixture(t, refuseFor("0.7"), target.Answer(200, "ok"))
	start := time.Now()
	for time.Since(start) < 600*time.Millisecond {
		if a := f.do("GET", "/safe/x", ""); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := len(f.first.Arrivals()); n != 1 {
		t.Errorf("%d requests reached the target, want 1", n)
	}
	f.first.SetBehaviour(target.Answer(200, "ok"))
	time.Sleep(200 * time.Millisecond)
	f.do("GET", "/safe/x", "")
	if n := len(f.first.Arrivals()); n != 2 {
		t.Errorf("%d requests reached the target after its time, want 1", n-1)
	}
}

// TestAllTargetsQuiet guards against callers that wait although no target takes their request, and against a
// retry-after time that brings them back before a target does.
func TestAllTargetsQuiet(t *testing.T) {
	f := newFixture(t, refuseFor("0.2"), refuseFor("0.3"))
	f.do("GET", "/safe/x", "")
	for range 20 {
		start := time.Now()
		a := f.do("GET", "/safe/x", "")
		s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil || a.status != 503 || s < 0.1 || s > routeTimeout.Seconds()/3 {
			t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
		}
		if d := time.Since(start); d > 50*time.Millisecond {
			t.Errorf("refused after %v", d)
		}
	}
	if n := f.arrivals(); n != 2 {
		t.Errorf("%d requests reached the targets, want 2", n)
	}
}

// endless writes the start and then the same bytes until the connection is closed, and counts them.
func endless(start, again string, written *atomic.Int64, closed *atomic.Bool) target.Behaviour {
	return func(c net.Conn, a target.Arrival) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(start, "ID", a.Header.Get(target.HeaderID)))
		data := strings.Repeat(again, 1+4096/len(again))
		for {
			n, err := io.WriteString(c, data)
			written.Add(int64(n))
			if err != nil {
				closed.Store(true)
				return false
			}
		}
	}
}

// TestEndlessBytes guards against a target that sends bytes without end: in a head, which must not be stored, and in a
// body, which must neither be stored nor look complete to the caller. The connection must be closed soon. A body is passed on
// once the gateway has read more than it stores; if the machine is too slow for that before the deadline, the caller gets an
// error of the system.
func TestEndlessBytes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	largeChunk := fmt.Sprintf("%x\r\n%s\r\n", largeBytes, strings.Repeat("a", largeBytes))
	for name, c := range map[string]struct {
		start, again string
		path         string
		maxBytes     int64 // that the target can send, buffers of the connection included
		begunAfter   int64 // bytes after which the answer has begun; 0 if the caller gets a complete one of the system itself
	}{
		"status line":              {"HTTP/1.1 200 ", "a", "/unsafe/x", 8 << 20, 0},
		"header line":              {ok + "X-Long: ", "a", "/unsafe/x", 8 << 20, 0},
		"header lines":             {ok, "X-More: a\r\n", "/unsafe/x", 8 << 20, 0},
		"informational heads":      {"", "HTTP/1.1 100 Continue\r\n\r\n", "/unsafe/x", 8 << 20, 0},
		"no answer at all":         {"", "\x00", "/unsafe/x", 8 << 20, 0},
		"body":                     {ok + "\r\n", "a", "/unsafe/x", 64 << 20, largeBytes},
		"chunks":                   {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", "/unsafe/x", 400 << 20, 6 * largeBytes},
		"chunks after a large one": {ok + "Transfer-Encoding: chunked\r\n\r\n" + largeChunk, "1\r\na\r\n", "/unsafe/x", 400 << 20, largeBytes},
		"chunk extension":          {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "a", "/unsafe/x", 8 << 20, 0},
		"trailer lines":            {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", "/unsafe/x", 8 << 20, 0},
		"trailer line":             {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "a", "/unsafe/x", 8 << 20, 0},
		"body over HTTP/1.0":       {strings.Replace(ok, "1.1", "1.0", 1) + "\r\n", "a", "/unsafe/x", 64 << 20, largeBytes},
		"body of a refusal":        {"HTTP/1.1 503 Busy\r\n" + target.HeaderNotRun + ": 1\r\n\r\n", "a", "/unsafe/x", 8 << 20, 0},
		"event":                    {ok + "Content-Type: text/event-stream\r\n\r\ndata: ", "a", "/once/x", 8 << 20, 0},
		"comments in a stream":     {ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", ":\n\n", "/once/x", 64 << 20, largeBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			var closed atomic.Bool
			b := endless(c.start, c.again, &written, &closed)
			f := newFixture(t, b, b)
			read := f.countReads()
			ended := make(chan discarded, 1)
			go func() { ended <- f.doAndDiscard("POST", c.path) }()
			a, inTime := await(ended, (<-f.begun).Add(routeTimeout), finalAnswerGrace)
			if !inTime {
				t.Fatal("no answer half a second after the route's timeout")
			}
			switch own := a.err == nil && a.status >= 500; {
			case a.status == 0:
				t.Fatal(a.err)
			case c.begunAfter == 0 && !own:
				t.Errorf("status %d, error %v, want an error of the system", a.status, a.err)
			case c.begunAfter > 0 && a.err == nil && (read.Load() >= c.begunAfter || a.status != 504):
				t.Errorf("status %d, complete after %d bytes, want one that is cut", a.status, read.Load())
			}
			awaitCondition(closed.Load, time.Second)
			if n := written.Load(); !closed.Load() || n > c.maxBytes {
				t.Errorf("connection closed: %v; the target sent %d bytes, want at most %d", closed.Load(), n, c.maxBytes)
			}
		})
	}
}

// discarded is an answer whose body was read and not stored, which takes seconds for 32 MB with the race detector.
type discarded struct {
	status int // 0 without a head
	err    error
}

func (f *fixture) doAndDiscard(method, path string) discarded {
	resp, err := http.DefaultClient.Do(f.request(method, path, "x"))
	if err != nil {
		return discarded{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return discarded{resp.StatusCode, err}
}

// countReads returns the counter of the bytes that the gateway reads from targets.
func (f *fixture) countReads() *atomic.Int64 {
	var read atomic.Int64
	dial := f.gateway.Pool.Dial
	f.gateway.Pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{c.(*net.TCPConn), &read}, nil
	}
	return &read
}

// TestStalledStreamEnds guards against a stream that never ends because its target sends a byte now and then.
func TestStalledStreamEnds(t *testing.T) {
	trickle := func(c net.Conn, a target.Arrival) bool {
		target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\ndata: ", true)(c, a)
		for {
			time.Sleep(100 * time.Millisecond)
			if _, err := io.WriteString(c, "b"); err != nil {
				return false
			}
		}
	}
	f := newFixture(t, trickle, trickle)
	ended := make(chan answer, 1)
	go func() { ended <- f.do("POST", "/once/x", "prompt") }()
	begun := <-f.begun
	a, inTime := await(ended, begun.Add(routeTimeout), 300*time.Millisecond)
	if a.err == nil || !inTime {
		t.Errorf("%+v after %v; in time: %v", a, time.Since(begun), inTime)
	}
}

// TestSlowStreamIsNotCut guards against a sound stream that is cut because its events are far apart.
func TestSlowStreamIsNotCut(t *testing.T) {
	f := newFixture(t, target.Stream(4, 320*time.Millisecond, false), target.Stream(4, 320*time.Millisecond, false))
	if a := f.do("POST", "/once/x", "prompt"); a.err != nil || strings.Count(a.body, "data:") != 4 || f.arrivals() != 1 {
		t.Errorf("%+v after %d arrivals", a, f.arrivals())
	}
}

// TestLateCopyOnConnectionInUse guards against a second copy of an answer that arrives when the next request has already
// been sent on the connection, and is taken for the answer to that request. A copied refusal must not make the system
// promise that the next request has not run.
func TestLateCopyOnConnectionInUse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\nContent-Length: 2\r\n\r\nok"
	const refusal = "HTTP/1.1 503 Busy\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	const anonymous = "HTTP/1.1 503 Busy\r\n" + target.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	for name, first := range map[string]string{"answer": ok, "refusal": refusal, "refusal without an id": anonymous} {
		t.Run(name, func(t *testing.T) {
			firstID := ""
			b := func(c net.Conn, a target.Arrival) bool {
				id := a.Header.Get(target.HeaderID)
				if firstID == "" {
					firstID = id
					return target.Raw(first, true)(c, a)
				}
				copied := strings.ReplaceAll(first, "ID", firstID)
				return target.Raw(copied+ok, true)(c, a)
			}
			f := newFixture(t, b, b)
			f.second.SetBehaviour(target.Reset())
			f.do("POST", "/unsafe/x", "one", target.HeaderID, "first")
			a := f.do("POST", "/unsafe/x", "two", target.HeaderID, "second")
			if a.status != 502 || a.header.Get(target.HeaderID) == "first" {
				t.Errorf("%+v, want 502, which leaves open whether the request has run", a)
			}
		})
	}
}

// TestLateCopyWithoutID guards against a late copy of an answer without an id that is passed on to the caller of the next
// request on its connection.
func TestLateCopyWithoutID(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\n" + target.HeaderStamp + ": s\r\nContent-Length: 5\r\n\r\nfirst"
	b := func(c net.Conn, a target.Arrival) bool { return target.Raw(first, true)(c, a) }
	f := newFixture(t, b, target.Answer(200, "second"))
	f.do("GET", "/safe/x", "")
	if a := f.do("GET", "/safe/x", ""); a.body != "second" {
		t.Errorf("status %d, %q", a.status, a.body)
	}
}

// TestLateCopyOfFailureWithoutID guards against a late copy of a failure without an id that is passed on to the caller of the
// next request on its connection, and against a target whose own failures without an id no caller gets.
func TestLateCopyOfFailureWithoutID(t *testing.T) {
	for _, status := range []string{"302 Found", "404 Not Found", "409 Conflict"} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(status+path, func(t *testing.T) {
				answer := func(body string) string {
					return fmt.Sprintf("HTTP/1.1 %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", status, target.HeaderStamp, len(body), body)
				}
				before := map[int]string{} // last answer, by connection
				f := newFixture(t, func(c net.Conn, a target.Arrival) bool {
					own := answer(a.Body)
					copied := before[a.Conn]
					before[a.Conn] = own
					return target.Raw(copied+own, true)(c, a)
				}, target.Reset())
				for _, body := range []string{"one", "two", "three", "four"} {
					if a := f.do("POST", path, body); a.body != body || a.status == 502 {
						t.Errorf("status %d, %q, want the own answer %q", a.status, a.body, body)
					}
				}
			})
		}
	}
}

// TestLateCopyOfRefusalWithoutID guards against a late copy of a refusal without an id that is taken for the answer to the next
// request on its connection. Its caller would be told that the request has not run, while the target runs it.
func TestLateCopyOfRefusalWithoutID(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x", "/once/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, target.RefuseNotRun(), target.RefuseNotRun())
			if a := f.do("POST", path, "one", target.HeaderID, "first"); a.status != 503 {
				t.Errorf("status %d on a new connection, want 503", a.status)
			}
			if a := f.do("POST", path, "two", target.HeaderID, "second"); a.status != 502 {
				t.Errorf("status %d on a connection in use, want 502, which leaves open whether the request has run", a.status)
			}
		})
	}
}

// TestLeaveDuringConnect guards against a request that is sent to a target whose leave has become known, from its answer to
// another request or from a peer, while the connection for this request was opened. The first connection to the target
// takes until the leave is known.
func TestLeaveDuringConnect(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, target.Answer(200, "from the leaving target"), target.Answer(200, "ok"))
			dial := f.gateway.Pool.Dial
			f.gateway.Pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				if addr == f.first.Addr {
					f.gateway.Targets.Announced(targetset.Incarnation{ID: "i-1"})
				}
				return c, err
			}
			if a := f.do("POST", path, "book"); a.status != 200 || a.body != "ok" {
				t.Errorf("%+v", a)
			}
			if n := len(f.first.Arrivals()); n != 0 {
				t.Errorf("%d requests reached the leaving target", n)
			}
		})
	}
}
