package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// unframedHead is the head of a stream that has neither a length nor chunks and ends with its connection.
const unframedHead = "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\nContent-Type: text/event-stream\r\n\r\n"

// TestBrokenContinuationIsReportedToCaller guards against a stream that breaks off, is continued by a second target that
// sends nothing of it, and then ends for the caller as if it were complete.
func TestBrokenContinuationIsReportedToCaller(t *testing.T) {
	first := map[string]target.Behaviour{
		"unframed, inside an event": target.Raw(unframedHead+"id: 1\ndata: e1\n\nid: 2\nda", false),
		"chunked, inside an event":  target.Stream(1, time.Millisecond, true),
	}
	second := map[string]target.Behaviour{
		"unframed without an event": target.Raw(unframedHead, false),
		"500 without a body":        target.Answer(500, ""),
		"404 without a body":        target.Answer(404, ""),
		"500 with a blank line":     target.Answer(500, "out of memory\n\n"),
	}
	for firstName, a := range first {
		for secondName, b := range second {
			t.Run(firstName+"; "+secondName, func(t *testing.T) {
				f := newFixture(t, a, b)
				got := f.do("POST", "/stream/x", "prompt")
				if got.err == nil {
					t.Errorf("the answer %q ended as if it were complete", got.body)
				}
				if !strings.HasPrefix("id: 1\ndata: e1\n\n", got.body) {
					t.Errorf("the caller got %q, want nothing but the first event", got.body)
				}
				if n := f.arrivals(); n != 2 {
					t.Errorf("%d arrivals, want 2", n)
				}
			})
		}
	}
}

// TestHalfOfAnEventIsNoEnd guards against a stream that breaks off within an event, such as in its end or after a line
// without data, and is taken for complete.
func TestHalfOfAnEventIsNoEnd(t *testing.T) {
	for name, rest := range map[string]string{
		"type": "event: token\n",
		"time": "retry: 300\r\n",
		"LF":   "id: 2\ndata: e2\n",
		"CRLF": "id: 2\r\ndata: e2\r\n",
		"CR":   "id: 2\r\ndata: e2\r\n\r",
	} {
		t.Run(name, func(t *testing.T) {
			b := target.Raw(unframedHead+"id: 1\ndata: e1\n\n"+rest, false)
			f := newFixture(t, b, b)
			if got := f.do("POST", "/once/x", "prompt"); got.err == nil {
				t.Errorf("the answer %q ended as if it were complete", got.body)
			}
		})
	}
}

// TestBrokenAnswerOverHTTP10 guards against an answer that breaks off and ends for a caller of HTTP/1.0 like a complete
// one, with an ordinary close of its connection.
func TestBrokenAnswerOverHTTP10(t *testing.T) {
	f := newFixture(t, target.Stream(1, time.Millisecond, true), target.Answer(500, ""))
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, err = io.WriteString(c, "POST /stream/x HTTP/1.0\r\nHost: test.example\r\n"+target.HeaderID+": req-1\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if !errors.Is(err, syscall.ECONNRESET) || !strings.HasSuffix(string(got), "id: 1\ndata: e1\n\n") {
		t.Errorf("the connection ended with %v after %q, want a reset after the first event", err, got)
	}
}

// TestHalfClosedCallerGetsNoEnd guards against an answer that looks complete to a caller that has closed only its sending
// side, which counts as having left.
func TestHalfClosedCallerGetsNoEnd(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		b    target.Behaviour
	}{
		"stream":          {"/stream/x", target.Stream(50, 20*time.Millisecond, false)},
		"before its head": {"/safe/x", target.Silent(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.b, c.b)
			conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = io.WriteString(conn, "POST "+c.path+" HTTP/1.1\r\nHost: test.example\r\n"+target.HeaderID+": req-1\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n")
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // closed without an answer
			}
			defer resp.Body.Close()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("status %d, %q ended as if it were complete", resp.StatusCode, body)
			}
		})
	}
}

// TestEventsOnAnyRoute guards against an event stream that breaks off inside an event and gets a length of the gateway's
// own, because its route or its status is not that of a stream.
func TestEventsOnAnyRoute(t *testing.T) {
	cut := "id: 1\ndata: e1\n\nid: 2\nda"
	for name, c := range map[string]struct{ path, head string }{
		"safe":    {"/safe/x", unframedHead},
		"unsafe":  {"/unsafe/x", unframedHead},
		"created": {"/once/x", strings.Replace(unframedHead, "200 OK", "201 Created", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Raw(c.head+cut, false), target.Raw(c.head+cut, false))
			if got := f.do("POST", c.path, "prompt"); got.err == nil || got.body != "id: 1\ndata: e1\n\n" || f.arrivals() != 1 {
				t.Errorf("%q with error %v after %d arrivals", got.body, got.err, f.arrivals())
			}
		})
	}
}

// TestLargeEventOnOtherRoutes guards against a sound answer that is dropped because it has an event that exceeds the buffer,
// although its route is none for streams and passes on large answers; and against one that breaks off within that event.
func TestLargeEventOnOtherRoutes(t *testing.T) {
	for _, size := range []int{largeBytes, 4 * largeBytes} {
		for _, end := range []string{"\n", "\r\n"} {
			events := strings.ReplaceAll("id: 1\ndata: "+strings.Repeat("x", size)+"\ndata: y\n\nid: 2\ndata: e2\n\n", "\n", end)
			for _, path := range []string{"/safe/x", "/unsafe/x"} {
				f := newFixture(t, chunkedEvents(events), target.Reset())
				if a := f.do("POST", path, "prompt"); a.err != nil || a.body != events || f.arrivals() != 1 {
					t.Errorf("%s: status %d, %d of %d bytes with error %v", path, a.status, len(a.body), len(events), a.err)
				}
				cut := events[:size]
				f = newFixture(t, chunkedEvents(cut), target.Reset())
				if a := f.do("POST", path, "prompt"); a.err == nil || !strings.HasPrefix(cut, a.body) {
					t.Errorf("%s: %d bytes of a cut event ended as if they were complete", path, len(a.body))
				}
			}
		}
	}
}

// TestUnframedEventsWithoutAnEvent guards against an event stream that breaks off before its first event and is passed on as
// an empty answer, because its route is not that of a stream and its framing does not state its end.
func TestUnframedEventsWithoutAnEvent(t *testing.T) {
	for name, body := range map[string]string{"nothing": "", "a comment": ": wait\n\n"} {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				b := target.Raw(unframedHead+body, false)
				f := newFixture(t, b, b)
				if got := f.do("POST", path, "prompt"); got.status == 200 && got.err == nil {
					t.Errorf("status 200 with %q ended as if it were complete", got.body)
				}
			})
		}
	}
}

// TestByteOrderMark guards against a sound stream that is broken off since a byte order mark hides its first field, and against
// one in the middle of a stream that was continued.
func TestByteOrderMark(t *testing.T) {
	const mark = "\ufeff"
	for name, c := range map[string]struct {
		path          string
		first, second target.Behaviour
		want          string
	}{
		"only event": {"/once/x", chunkedEvents(mark + "data: e1\n\n"), target.Reset(), mark + "data: e1\n\n"},
		"continued": {"/stream/x", target.Raw(unframedHead+mark+"id: 1\ndata: e1\n\nid: 2\nda", false), chunkedEvents(mark + "id: 2\ndata: e2\n\n"),
			mark + "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := newFixture(t, c.first, c.second).do("POST", c.path, "prompt"); got.err != nil || got.body != c.want {
				t.Errorf("%q with error %v, want %q", got.body, got.err, c.want)
			}
		})
	}
}

// TestContinuationWithAnotherSpellingOfItsType guards against a sound continuation that is refused because its head spells
// the type of the stream in another way.
func TestContinuationWithAnotherSpellingOfItsType(t *testing.T) {
	for _, contentType := range []string{"Content-Type: Text/Event-Stream; charset=utf-8\r\n", ""} {
		head := strings.Replace(unframedHead, "Content-Type: text/event-stream\r\n", contentType, 1)
		f := newFixture(t, target.Stream(1, time.Millisecond, true), target.Raw(head+"id: 2\ndata: e2\n\n", false))
		if got := f.do("POST", "/stream/x", "prompt"); got.err != nil || got.body != "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" {
			t.Errorf("%q: %q with error %v", contentType, got.body, got.err)
		}
	}
}

// TestContinuationWithAnotherStatus guards against the events of an answer that says by its status that it is not the rest of
// the stream, and that end the caller's stream as if they were.
func TestContinuationWithAnotherStatus(t *testing.T) {
	for _, status := range []string{"201 Created", "202 Accepted", "206 Partial Content"} {
		head := strings.Replace(unframedHead, "200 OK", status, 1)
		f := newFixture(t, target.Stream(1, time.Millisecond, true), target.Raw(head+"id: 2\ndata: e2\n\n", false))
		if got := f.do("POST", "/stream/x", "prompt"); got.err == nil || got.body != "id: 1\ndata: e1\n\n" {
			t.Errorf("%s: %q with error %v", status, got.body, got.err)
		}
	}
}

// chunkedEvents returns a behaviour that sends an event stream in one chunk and ends it in order.
func chunkedEvents(events string) target.Behaviour {
	chunk := ""
	if events != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
	}
	return target.Raw(strings.TrimSuffix(unframedHead, "\r\n")+"Transfer-Encoding: chunked\r\n\r\n"+chunk+"0\r\n\r\n", true)
}

// TestEmptyContinuationOfABegunEvent guards against a stream whose next event had begun, and that ends as complete since
// the second target says that nothing is left.
func TestEmptyContinuationOfABegunEvent(t *testing.T) {
	f := newFixture(t, target.Stream(1, time.Millisecond, true), chunkedEvents(""))
	if got := f.do("POST", "/stream/x", "prompt"); got.err == nil {
		t.Errorf("%q ended as if it were complete", got.body)
	}
}

// TestContinuationWithoutABegunEvent guards against a stream that ends as complete without an event that had begun, since the
// second target goes on after it. Ids may have gaps otherwise.
func TestContinuationWithoutABegunEvent(t *testing.T) {
	const first = "id: 1\ndata: e1\n\n"
	for name, c := range map[string]struct {
		cut, second string
		sound       bool
	}{
		"the next event":            {"id: 2\nda", "id: 2\ndata: e2\n\nid: 4\ndata: e4\n\n", true},
		"a gap before the cut":      {"id: 3\nda", "id: 3\ndata: e3\n\n", true},
		"a later event":             {"id: 2\nda", "id: 3\ndata: e3\n\n", false},
		"another id than a number":  {"id: b\nda", "id: c\ndata: ec\n\n", false},
		"the id itself was cut off": {"id: 2", "id: 3\ndata: e3\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Raw(unframedHead+first+c.cut, false), chunkedEvents(c.second))
			got := f.do("POST", "/stream/x", "prompt")
			want := first
			if c.sound {
				want += c.second
			}
			if (got.err == nil) != c.sound || got.body != want {
				t.Errorf("%q with error %v, want %q", got.body, got.err, want)
			}
		})
	}
}

// TestEmptyContinuationAfterAnEventThatWasDropped guards against a stream that ends as complete since another target says that
// nothing is left, although a further event has arrived and was not passed on.
func TestEmptyContinuationAfterAnEventThatWasDropped(t *testing.T) {
	for name, c := range map[string]struct{ resumeAfter, first string }{
		"an event with the bytes of a second answer": {"", "id: 1\ndata: e1\n\nid: 2\ndata: e2\nHTTP/1.1 200 OK\r\n\r\n"},
		"an event without an id":                     {"1", "data: e2\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, chunkedEvents(c.first), chunkedEvents(""))
			if got := f.do("POST", "/stream/x", "prompt", "Last-Event-Id", c.resumeAfter); got.status == 200 && got.err == nil || f.arrivals() != 2 {
				t.Errorf("status %d with %q and error %v after %d arrivals", got.status, got.body, got.err, f.arrivals())
			}
		})
	}
}

// TestEmptyContinuationAfterTheLastEvent guards against a stream that is broken off although another target says that
// nothing is left.
func TestEmptyContinuationAfterTheLastEvent(t *testing.T) {
	f := newFixture(t, target.Raw(strings.TrimSuffix(unframedHead, "\r\n")+"Content-Length: 99\r\n\r\nid: 1\ndata: e1\n\n", false), chunkedEvents(""))
	if got := f.do("POST", "/stream/x", "prompt"); got.err != nil || got.body != "id: 1\ndata: e1\n\n" {
		t.Errorf("%q with error %v", got.body, got.err)
	}
}

// TestContinuationWithoutIDs guards against events that a caller gets twice because the continuation has no ids and begins
// at the start.
func TestContinuationWithoutIDs(t *testing.T) {
	f := newFixture(t, target.Stream(1, time.Millisecond, true), chunkedEvents("data: e1\n\ndata: e2\n\n"))
	if got := f.do("POST", "/stream/x", "prompt"); got.err == nil || got.body != "id: 1\ndata: e1\n\n" {
		t.Errorf("%q with error %v", got.body, got.err)
	}
}

// TestSecondAnswerInAStream guards against the bytes of a second answer that stand between the events of a stream without
// a length.
func TestSecondAnswerInAStream(t *testing.T) {
	second := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops\n\n"
	b := target.Raw(unframedHead+"id: 1\ndata: e1\n\n"+second, false)
	f := newFixture(t, b, b)
	if got := f.do("POST", "/once/x", "prompt"); got.err == nil || got.body != "id: 1\ndata: e1\n\n" {
		t.Errorf("%q with error %v", got.body, got.err)
	}
}

// TestCommentsArePassedOnAtOnce guards against comments that keep a connection alive and are kept back, without bound,
// until the first event.
func TestCommentsArePassedOnAtOnce(t *testing.T) {
	f := newFixture(t, func(c net.Conn, a target.Arrival) bool {
		target.Raw(unframedHead+": wait\n\n", true)(c, a)
		time.Sleep(time.Second)
		return false
	}, target.Reset())
	start := time.Now()
	resp, err := http.DefaultClient.Do(f.request("POST", "/once/x", "prompt"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if d := time.Since(start); d > 500*time.Millisecond {
		t.Errorf("the head arrived after %v", d)
	}
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a stream without an event ended as if it were complete")
	}
}

// TestUnframedAnswerOfACrashedTarget guards against an answer without a length or chunks that ends since its target has
// crashed, and is taken for complete since the operating system closes the connection in order.
func TestUnframedAnswerOfACrashedTarget(t *testing.T) {
	whole := strings.Replace(unframedHead, "text/event-stream", "text/plain", 1) + "half"
	for name, c := range map[string]struct {
		path, answer string
		ok           func(a answer) bool
	}{
		"stream":                   {"/once/x", unframedHead + "id: 1\ndata: e1\n\n", func(a answer) bool { return a.err != nil }},
		"resumable stream":         {"/stream/x", unframedHead + "id: 1\ndata: e1\n\n", func(a answer) bool { return a.err == nil && strings.Count(a.body, "data:") == 2 }},
		"safe request":             {"/safe/x", whole, func(a answer) bool { return a.status == 200 && a.body == "whole" }},
		"request that is run once": {"/unsafe/x", whole, func(a answer) bool { return a.status == 502 }},
	} {
		t.Run(name, func(t *testing.T) {
			second := target.Answer(200, "whole")
			if c.path == "/stream/x" {
				second = chunkedEvents("id: 2\ndata: e2\n\n")
			}
			f := newFixture(t, target.Reset(), second)
			f.first.SetBehaviour(func(conn net.Conn, a target.Arrival) bool {
				target.Raw(c.answer, true)(conn, a)
				f.first.Close()
				return false
			})
			if a := f.do("POST", c.path, "prompt"); !c.ok(a) {
				t.Errorf("status %d, %q, error %v", a.status, a.body, a.err)
			}
		})
	}
}

// TestAnswerWithoutIDAfterAnUnframedOne guards against an answer without an id that is dropped as a possible late copy, although
// its connection has carried no request: the gateway opened it to see whether the target has crashed.
func TestAnswerWithoutIDAfterAnUnframedOne(t *testing.T) {
	f := newFixture(t, target.Raw(strings.Replace(unframedHead, "text/event-stream", "text/plain", 1)+"whole", false), target.Reset())
	if a := f.do("POST", "/unsafe/x", "book"); a.status != 200 || a.body != "whole" {
		t.Errorf("status %d, %q", a.status, a.body)
	}
	f.first.SetBehaviour(target.Raw("HTTP/1.1 500 Failed\r\n"+target.HeaderStamp+": s\r\nContent-Length: 3\r\n\r\nown", true))
	if a := f.do("POST", "/unsafe/x", "book"); a.status != 500 || a.body != "own" {
		t.Errorf("status %d, %q, want the target's own 500", a.status, a.body)
	}
}

// TestUnframedAnswerOfALeavingTarget guards against a complete answer that is dropped since its target has stopped as
// planned.
func TestUnframedAnswerOfALeavingTarget(t *testing.T) {
	f := newFixture(t, target.Reset(), target.Reset())
	f.first.SetBehaviour(func(conn net.Conn, a target.Arrival) bool {
		target.Raw(strings.Replace(unframedHead, "Content-Type", "Server-Leaving: 1\r\nX-Type", 1)+"last", true)(conn, a)
		f.first.Close()
		return false
	})
	if a := f.do("POST", "/unsafe/x", "book"); a.status != 200 || a.body != "last" {
		t.Errorf("status %d, %q", a.status, a.body)
	}
}

// TestCallerResumesAfterTheLastEvent guards against a head of the gateway's own, without the target's signature, for a caller
// that resumes a stream of which nothing is left.
func TestCallerResumesAfterTheLastEvent(t *testing.T) {
	for _, path := range []string{"/stream/x", "/safe/x"} {
		f := newFixture(t, chunkedEvents(""), chunkedEvents(""))
		a := f.do("POST", path, "prompt", "Last-Event-Id", "9")
		if a.status != 200 || a.err != nil || a.body != "" || a.header.Get(target.HeaderStamp) == "" {
			t.Errorf("%s: status %d, error %v, %q, stamp %q", path, a.status, a.err, a.body, a.header.Get(target.HeaderStamp))
		}
	}
}
