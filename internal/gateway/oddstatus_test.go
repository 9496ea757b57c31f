package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// TestOddStatus guards against an answer of a target whose status is none that reaches the caller, that is taken for an informational
// one, so that the request waits until its time limit, or after which bytes of its body are read as the head of an answer.
func TestOddStatus(t *testing.T) {
	own := target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\n"
	inner := "HTTP/1.1 200 OK\r\n" + own + "Content-Length: 2\r\n\r\nno"
	for name, rest := range map[string]string{
		"no body":           own + "Content-Length: 0\r\n\r\n",
		"body":              own + "Content-Length: 2\r\n\r\nno",
		"chunks":            own + "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"event":             own + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: a\r\n0\r\n\r\n",
		"answer as a body":  own + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner)) + inner,
		"mark of a refusal": own + target.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, status := range oddstatus.Statuses {
			t.Run(status+" with "+name, func(t *testing.T) {
				f := newFixture(t, target.Raw(oddstatus.Head(status)+rest, true), target.Answer(http.StatusOK, "sound"))
				begun := time.Now()
				if a := f.do("POST", "/safe/x", "x"); a.status != http.StatusOK || a.body != "sound" {
					t.Errorf("a request that may be repeated got status %d with %q", a.status, a.body)
				}
				for _, path := range []string{"/unsafe/x", "/once/x"} {
					if a := f.do("POST", path, "x"); a.err != nil || a.status != http.StatusBadGateway && a.body != "sound" {
						t.Errorf("%s: status %d with %q, error %v, want 502", path, a.status, a.body, a.err)
					}
				}
				if took := time.Since(begun); took > routeTimeout {
					t.Errorf("answered after %v", took)
				}
			})
		}
	}
}
