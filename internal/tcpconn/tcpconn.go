// Package tcpconn opens and accepts TCP connections that fail when the peer no longer responds. Without its options, a
// connection that has gone silent stays in use for minutes.
package tcpconn

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// unackedTimeout is the time after which a connection is closed whose peer does not acknowledge data that was sent.
	unackedTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount are those of the keep-alive probes on idle connections.
	probeIdle, probeInterval = time.Second, time.Second
	probeCount               = 2
	// userTimeoutOption is the number of the socket option TCP_USER_TIMEOUT, which package syscall does not define.
	userTimeoutOption = 0x12
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dialer returns a dialer that waits for a connection for the given time at most.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen listens on a TCP address. The connections that it accepts have the options of the listening socket.
func Listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(context.Background(), "tcp", addr)
}

// LimitBacklog bounds the number of connections that wait on a listener to be accepted, of which the system allows thousands.
// What their clients have sent is held meanwhile, so that they cost memory while the process stands still. The system drops the
// first packet of a connection above the bound, and the client's system sends it again after about a second.
func LimitBacklog(l *net.TCPListener, max int) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), max) })
	return errors.Join(err, failed)
}

// As returns c, or the outermost of the connections that it wraps, that is a T. Connections with TLS and the wrappers of this project
// return the one that they wrap with the method NetConn.
func As[T any](c net.Conn) (found T, ok bool) {
	for {
		if found, ok = c.(T); ok {
			return found, true
		}
		outer, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			return found, false
		}
		c = outer.NetConn()
	}
}

// setUserTimeout sets the time for which data may stay unacknowledged on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
