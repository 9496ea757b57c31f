package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

// Listener returns a listener of which at most max connections are open. The slots of its connections follow the states that
// an http.Server with the hook ConnState reports. It may be wrapped by listeners whose connections have the method NetConn, as
// those with TLS do.
func (l *Limit) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limit: l}
}

type listener struct {
	net.Listener
	limit *Limit
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if slot, ok := l.limit.Admit(c); ok {
			return &conn{Conn: c, slot: slot}, nil
		}
		_ = c.Close()
	}
}

type conn struct {
	net.Conn
	slot *Slot
	free sync.Once
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.slot.Received(n)
	}
	return n, err
}

func (c *conn) Close() error {
	c.free.Do(c.slot.Free)
	return c.Conn.Close()
}

// NetConn returns the connection that is wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, if the connection that is wrapped can do that.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// ConnState is a hook of an http.Server for the connections of a Limit's Listener.
func ConnState(c net.Conn, s http.ConnState) {
	if c, ok := tcpconn.As[*conn](c); ok && s == http.StateIdle {
		c.slot.Idle()
	}
}

// slotKey is the context key of the slot of a request's connection.
type slotKey struct{}

// ConnContext is a hook of an http.Server, with which SlotOf knows the connections of a Limit's Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := tcpconn.As[*conn](c); ok {
		return context.WithValue(ctx, slotKey{}, c.slot)
	}
	return ctx
}

// SlotOf returns the slot of the connection on which a request has arrived, or nil, which has no limit.
func SlotOf(r *http.Request) *Slot {
	s, _ := r.Context().Value(slotKey{}).(*Slot)
	return s
}
