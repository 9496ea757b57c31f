package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

const (
	// HeaderTime bounds the time for the head of a request, and IdleTime the time between two requests, where the
	// configuration states no shorter ones.
	HeaderTime = 5 * time.Second
	IdleTime   = 60 * time.Second
	// MaxHeaderBytes is above the limits that configurations state.
	MaxHeaderBytes = 64 << 10
	// headerLine is what a header takes besides its name and value.
	headerLine = len(": \r\n")
)

// NewServer returns a server of callers for connections of a Listener.
func NewServer(g *Gateway) *http.Server {
	return &http.Server{Handler: g, ReadHeaderTimeout: HeaderTime, IdleTimeout: IdleTime, MaxHeaderBytes: MaxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// setBodyDeadline bounds the reading of a request's body. The zero time ends the bound.
func setBodyDeadline(r *http.Request, t time.Time) error {
	c, ok := r.Context().Value(connKey{}).(*limitedConn)
	if !ok {
		return nil // a server without limits
	}
	return c.Conn.SetReadDeadline(t)
}

// Listener returns a listener whose connections keep to the limits of the present configuration.
func Listener(l net.Listener, limits func() routetable.Limits) net.Listener {
	return &listener{Listener: l, limits: limits}
}

type listener struct {
	net.Listener
	limits func() routetable.Limits
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.limits}, nil
}

// limitedConn shortens the deadlines that the server sets. The limits of a server are fixed when it starts; those of the
// configuration change.
type limitedConn struct {
	net.Conn
	limits func() routetable.Limits
}

// SetReadDeadline sets a deadline of the server. One that is further away than HeaderTime is for an idle connection.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.Conn.SetReadDeadline(t)
	}
	limits, now := c.limits(), time.Now()
	limit := limits.HeaderTimeout
	if t.Sub(now) > HeaderTime {
		limit = limits.IdleTimeout
	}
	if limit > 0 && t.After(now.Add(limit)) {
		t = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// headerBytes is the size of the head of a request.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len(" ") + len("Host") + len(r.Host) + headerLine
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLine
		}
	}
	return n
}
