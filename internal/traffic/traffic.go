// Package traffic counts the bytes that the process sends and receives on control connections, TLS overhead included.
// It wraps connections, listeners and dialers, and publishes the total as the expvar counter control_bytes.
package traffic

import (
	"context"
	"expvar"
	"net"
	"time"

	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

// controlBytes counts the bytes sent and received on control connections and on connections to the platform.
var controlBytes = expvar.NewInt("control_bytes")

// Bytes returns the number of bytes counted since the process started.
func Bytes() int64 { return controlBytes.Value() }

// CountConn wraps a connection so that its bytes are counted.
func CountConn(c net.Conn) net.Conn { return countedConn{c} }

// CountListener wraps a listener so that the bytes of the connections it accepts are counted.
func CountListener(l net.Listener) net.Listener { return countedListener{l} }

// dialTimeout bounds the time for opening a connection, where the context does not.
const dialTimeout = 5 * time.Second

// Dial connects to addr and returns a connection whose bytes are counted.
func Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := tcpconn.Dialer(dialTimeout).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return CountConn(c), nil
}

// countedConn is a net.Conn that adds the bytes it reads and writes to controlBytes.
type countedConn struct{ net.Conn }

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	controlBytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	controlBytes.Add(int64(n))
	return n, err
}

// NetConn returns the connection that is wrapped.
func (c countedConn) NetConn() net.Conn { return c.Conn }

// countedListener is a net.Listener that wraps accepted connections with CountConn.
type countedListener struct{ net.Listener }

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountConn(c), nil
}
