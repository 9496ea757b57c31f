package tcpconn

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// option returns the value of an option of a connection.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value, failed := 0, error(nil)
	if err := raw.Control(func(fd uintptr) { value, failed = syscall.GetsockoptInt(int(fd), level, name) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return value
}

// TestSilentPeerIsNoticed guards against connections, opened or accepted, that stay in use for minutes after their peer has gone
// without a reset. The kernel has to give up within a few seconds, with data under way and without.
func TestSilentPeerIsNoticed(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	opened, err := Dialer(time.Second).Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for name, c := range map[string]net.Conn{"opened": opened, "accepted": accepted} {
		if ms := option(t, c, syscall.IPPROTO_TCP, userTimeoutOption); ms != int(unackedTimeout.Milliseconds()) {
			t.Errorf("%s: user timeout of %d ms", name, ms)
		}
		idle := option(t, c, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		interval := option(t, c, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)
		count := option(t, c, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
		if option(t, c, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) == 0 || idle+interval*count > 5 {
			t.Errorf("%s: probes after %d s, every %d s, %d times", name, idle, interval, count)
		}
	}
}

// TestWaitingConnectionsAreBounded guards against connections that fill the memory of a process which does not accept them.
func TestWaitingConnectionsAreBounded(t *testing.T) {
	const maxWaiting, more = 8, 20
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := LimitBacklog(l.(*net.TCPListener), maxWaiting); err != nil {
		t.Fatal(err)
	}
	open := 0
	for range maxWaiting + more {
		if c, err := net.DialTimeout("tcp", l.Addr().String(), 50*time.Millisecond); err == nil {
			defer c.Close()
			open++
		}
	}
	if open > maxWaiting+1 { // Linux allows one more
		t.Errorf("%d connections wait, want %d at most", open, maxWaiting)
	}
	for range open {
		if _, err := l.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	c, err := net.DialTimeout("tcp", l.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatalf("a connection after those that waited were accepted: %v", err)
	}
	c.Close()
}
