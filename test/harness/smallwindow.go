package harness

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// smallBufferBytes is the size of the receive buffer of a connection with a small window.
const smallBufferBytes = 8 << 10

// ListenWithSmallWindow listens on a loopback address. A peer of an accepted connection that is not read from soon has to wait
// before it can write on.
func ListenWithSmallWindow(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
		})
		return errors.Join(err, failed)
	}}
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}
