package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/cuthead"
)

// TestCutHeadIsNoAnswer guards against a head that was cut off, at any byte, and counts as an answer, so that its caller gets a
// success with an empty or a short body; and against a request that counts as not sent after such an answer.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, reused := range map[string]bool{"new connection": false, "connection in use": true} {
		t.Run(name, func(t *testing.T) {
			cuthead.Check(t, func(ctx context.Context, addr string) error {
				p := NewPool()
				defer p.Close()
				p.Dial = (&net.Dialer{}).DialContext // a busy machine may need longer than DialTimeout
				if reused {
					carryRequest(ctx, t, p, addr)
				}
				resp, err := p.Do(ctx, addr, &Request{Method: http.MethodPost, URI: "/", Host: "h"})
				if err == nil {
					resp.Finish(false)
				}
				if NotSent(err) || reused && p.Dials() != 1 {
					t.Errorf("not sent, or not on the connection in use: %v, %d connections", err, p.Dials())
				}
				return err
			})
		})
	}
}

// carryRequest makes a request with a whole answer, so that the pool has a connection that has carried one.
func carryRequest(ctx context.Context, t *testing.T, p *Pool, addr string) {
	resp, err := p.Do(ctx, addr, &Request{Method: http.MethodGet, URI: "/whole", Host: "h"})
	if err != nil {
		t.Error(err)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Finish(err == nil)
}
