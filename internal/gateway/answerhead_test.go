package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// TestUnmarkedRefusalIsNoPromise guards against a status that callers read as a promise that their request has not run,
// when the target that sent it has not promised that. Large answers take another path.
func TestUnmarkedRefusalIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for name, body := range map[string]string{"small": "busy", "large": strings.Repeat("b", 300<<10)} {
			for _, path := range []string{"/unsafe/x", "/safe/x"} {
				t.Run(fmt.Sprint(status, " ", name, " ", path), func(t *testing.T) {
					f := newFixture(t, target.Answer(status, body), target.Answer(status, body))
					if a := f.do("POST", path, "book"); a.status != 502 {
						t.Errorf("status %d, want 502", a.status)
					}
				})
			}
		}
	}
}

// TestMisdirectionIsTriedElsewhere guards against giving up a request, or against not naming it as not run, although the
// target that has taken over the address states that it has not run it or that it is not the one that was meant.
func TestMisdirectionIsTriedElsewhere(t *testing.T) {
	for name, header := range map[string]string{"marked": target.HeaderNotRun + ": 1\r\n", "of another target": target.HeaderInstance + ": i-9\r\n"} {
		t.Run(name, func(t *testing.T) {
			other := target.Raw("HTTP/1.1 421 Misdirected\r\n"+target.HeaderID+": ID\r\n"+header+"Content-Length: 0\r\n\r\n", true)
			f := newFixture(t, other, target.Answer(200, "fine"))
			if a := f.do("POST", "/safe/x", "book"); a.status != 200 || a.body != "fine" {
				t.Errorf("%+v", a)
			}
			f = newFixture(t, other, other)
			if a := f.do("POST", "/unsafe/x", "book"); a.status != 503 {
				t.Errorf("status %d, want 503: the request has not run", a.status)
			}
		})
	}
}

// TestMisdirectionByTheNamedTarget guards against a promise that a request has not run, made because of the status of the
// target that the request names.
func TestMisdirectionByTheNamedTarget(t *testing.T) {
	named := func(id string) target.Behaviour {
		return target.Raw("HTTP/1.1 421 Misdirected\r\n"+target.HeaderID+": ID\r\n"+target.HeaderInstance+": "+id+"\r\nContent-Length: 0\r\n\r\n", true)
	}
	f := newFixture(t, named("i-1"), named("i-2"))
	if a := f.do("POST", "/unsafe/x", "book"); a.status != 502 {
		t.Errorf("status %d, want 502: the request may have run", a.status)
	}
}

// TestUnaskedUpgradeIsNoAnswer guards against a caller that gets the head of a change of protocol for an answer, although no
// request to a target asks for one and the answer itself may follow.
func TestUnaskedUpgradeIsNoAnswer(t *testing.T) {
	head := target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	b := target.Raw("HTTP/1.1 101 Switching Protocols\r\n"+head+"\r\nHTTP/1.1 200 OK\r\n"+head+"Content-Length: 2\r\n\r\nok", true)
	f := newFixture(t, b, b)
	if a := f.do("POST", "/unsafe/x", "book"); a.status != 502 || f.arrivals() != 1 {
		t.Errorf("status %d after %d arrivals, want 502", a.status, f.arrivals())
	}
}

// TestFramingWithASpaceIsNotIgnored guards against a length or chunks that are overlooked because a space follows the name of
// their header, so that an answer that was cut off counts as one that ends with its connection.
func TestFramingWithASpaceIsNotIgnored(t *testing.T) {
	for name, rest := range map[string]string{
		"length":         "Content-Length : 4\r\n\r\nok",
		"length and tab": "Content-Length\t: 4\r\n\r\nok",
		"chunks":         "Transfer-Encoding : chunked\r\n\r\n4\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			b := target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\n"+rest, false)
			f := newFixture(t, b, b)
			if a := f.do("POST", "/unsafe/x", "book"); a.status != 502 {
				t.Errorf("status %d with %q, want 502", a.status, a.body)
			}
		})
	}
}

// TestHeadOnStreamRoute guards against an answer to HEAD that is dropped since it has no events.
func TestHeadOnStreamRoute(t *testing.T) {
	b := target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\nContent-Type: text/event-stream\r\n\r\n", true)
	for _, path := range []string{"/stream/x", "/once/x"} {
		f := newFixture(t, b, b)
		if a := f.do("HEAD", path, ""); a.status != 200 || a.err != nil || a.header.Get(target.HeaderStamp) == "" || f.arrivals() != 1 {
			t.Errorf("%s: status %d, error %v after %d arrivals", path, a.status, a.err, f.arrivals())
		}
	}
}

// TestAnswerWithoutBody guards against a length of 0 in the answer to HEAD, whose head states the length of the answer to
// GET, and in answers whose status allows no body.
func TestAnswerWithoutBody(t *testing.T) {
	for name, c := range map[string]struct{ method, status, length, want string }{
		"HEAD":                  {"HEAD", "200 OK", "Content-Length: 12\r\n", "12"},
		"HEAD without a length": {"HEAD", "200 OK", "", ""},
		"204":                   {"GET", "204 No Content", "", ""},
		"304":                   {"GET", "304 Not Modified", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := target.Raw("HTTP/1.1 "+c.status+"\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\n"+c.length+"\r\n", true)
			f := newFixture(t, b, b)
			a := f.do(c.method, "/safe/x", "")
			if got := a.header.Get("Content-Length"); a.err != nil || got != c.want || a.body != "" {
				t.Errorf("status %d, error %v, length %q, want %q", a.status, a.err, got, c.want)
			}
		})
	}
}
