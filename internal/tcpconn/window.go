package tcpconn

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const (
	// waitingWindowBytes is the receive window of connections that wait to be accepted. A sender does not send more in its first
	// round trip, since ten packets are its first congestion window.
	waitingWindowBytes = 16 << 10
	// windowClampOption is the number of the socket option TCP_WINDOW_CLAMP, which package syscall does not define.
	windowClampOption = 10
	// openWindowBytes lets the system size the window.
	openWindowBytes = 1 << 30
)

// ListenUntrusted listens on a TCP address for clients that are not trusted. A connection that waits to be accepted gets a small
// receive window, as the bytes that have arrived on it count toward the memory of the process. OpenWindow must be called for each
// connection that is accepted. On a system without this option the window is that of any connection.
func ListenUntrusted(addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return setWindow(c, waitingWindowBytes) }}
	return config.Listen(context.Background(), "tcp", addr)
}

// ListenUntrustedPeers is ListenUntrusted for connections that fail when the peer no longer responds.
func ListenUntrustedPeers(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: func(network, address string, c syscall.RawConn) error {
		return errors.Join(setUserTimeout(network, address, c), setWindow(c, waitingWindowBytes))
	}}
	return config.Listen(context.Background(), "tcp", addr)
}

// OpenWindow lets the system size the receive window of a connection.
func OpenWindow(c net.Conn) {
	t, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		_ = setWindow(raw, openWindowBytes)
	}
}

// setWindow limits the receive window of a socket. An error is ignored, since the system may not have the option.
func setWindow(c syscall.RawConn, bytes int) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, windowClampOption, bytes)
	})
}
