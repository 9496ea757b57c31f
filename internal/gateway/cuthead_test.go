package gateway_test

import (
	"io"
	"net"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// cutHeadCase is a cut in the head of a target's answer.
type cutHeadCase struct {
	path  string
	bytes int // of the head before the cut
	// body follows the cut, reset ends the connection with a reset, and reused makes another request before, whose connection
	// is used again unless the machine is slow.
	body, reset, reused bool
}

// cutHead is the head of an answer after the lines that make it the target's own.
const cutHead = "Content-Type: text/event-stream\r\nContent-Length: 1234\r\n\r\n"

// send is the behaviour of the first target.
func (c cutHeadCase) send(conn net.Conn, a target.Arrival) bool {
	if a.URI == "/safe/before" {
		return target.Answer(200, "ok")(conn, a)
	}
	head := "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": req-1\r\n" + target.HeaderStamp + ": s\r\n" + cutHead
	sent := head[:c.bytes]
	if c.body {
		sent += eventTexts(firstEvents)[0] + eventTexts(firstEvents)[1]
	}
	_, _ = io.WriteString(conn, sent)
	if c.reset {
		return target.Reset()(conn, a)
	}
	return false
}

// check makes the request with a kind of caller and compares what the caller saw with what it may see.
func (c cutHeadCase) check(t *testing.T, kind callerKind) {
	f := newFixture(t, c.send, chunkedEvents(eventText(1)))
	f.prepareForLoad()
	if c.reused {
		f.do("GET", "/safe/before", "")
	}
	got, err := kind.call(f.server.Listener.Addr().String(), c.path, "", func(string) {})
	status, body := 200, eventText(1)
	if runsOnce := c.path == "/unsafe/x" || c.path == "/once/x"; runsOnce {
		status, body = 502, `{"error":"outcome-unknown"}`+"\n"
	}
	if err != nil || got.status != status || got.body != body || got.end != endedInOrder {
		t.Errorf("%+v, %s: error %v, %v; want status %d with %q", c, kind.name, err, got, status, body)
	}
	if n := len(f.second.Arrivals()); n > 0 && status != 200 {
		t.Errorf("%+v, %s: the request reached the second target too", c, kind.name)
	}
}

// TestCutHeadIsNoAnswer guards against a caller that gets a success with an empty or a short body because the head of its answer
// was cut off. A request that may be repeated is tried at the second target; of any other one the outcome is unknown.
func TestCutHeadIsNoAnswer(t *testing.T) {
	whole := len("HTTP/1.1 200 OK\r\n"+target.HeaderID+": req-1\r\n"+target.HeaderStamp+": s\r\n") + len(cutHead)
	for p, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		for k, kind := range callerKinds {
			t.Run(path+" "+kind.name, func(t *testing.T) {
				t.Parallel()
				for n := range whole {
					mix := n + p + k // all combinations of the following occur, also at neighbouring bytes
					cutHeadCase{path: path, bytes: n, body: mix%2 == 1, reset: mix/2%2 == 1, reused: mix/4%2 == 1}.check(t, kind)
				}
			})
		}
	}
}
