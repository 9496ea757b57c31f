package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestIdleConnectionsMakeRoom guards against idle connections to many targets that use up the descriptors of the process.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const targets, maxOpen = 10, 3
	var open atomic.Int32
	p := NewPool()
	p.MaxOpen = maxOpen
	dial := p.Dial
	p.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		if n := open.Add(1); n > maxOpen {
			t.Errorf("%d connections are open", n)
		}
		return &closingConn{Conn: c, closed: func() { open.Add(-1) }}, nil
	}
	for range targets {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		defer s.Close()
		resp, err := p.Do(t.Context(), s.Listener.Addr().String(), &Request{Method: "GET", URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		resp.Finish(true)
	}
	if open.Load() != maxOpen {
		t.Errorf("%d connections are open, want %d kept", open.Load(), maxOpen)
	}
	p.Sweep(time.Now().Add(time.Hour), func(string) bool { return true })
	if p.open != 0 {
		t.Errorf("%d connections count as open after all were closed", p.open)
	}
}

// closingConn reports its end.
type closingConn struct {
	net.Conn
	closed func()
}

func (c *closingConn) Close() error {
	c.closed()
	return c.Conn.Close()
}
