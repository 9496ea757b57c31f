package connlimit

import (
	"net"
	"net/http"
	"sync"
)

// Listener returns a listener of which at most max connections are open. The slots of its connections follow the states that
// an http.Server with the hook ConnState reports.
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

// ConnState is a hook of an http.Server for the connections of a Limit's Listener.
func ConnState(c net.Conn, s http.ConnState) {
	if c, ok := c.(*conn); ok && s == http.StateIdle {
		c.slot.Idle()
	}
}
