// Package upstream sends requests to targets on connections of its own, and tells for each failure whether the target
// can have run the request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// DialTimeout bounds the wait for a connection. Targets are a few milliseconds away.
	DialTimeout = 400 * time.Millisecond
	// userTimeout ends connections whose other end no longer acknowledges what was sent.
	userTimeout = 2 * time.Second
	// readBuffer holds a response's head and several events of a stream.
	readBuffer = 4 << 10
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// Dialer returns a dialer whose connections notice a silent other end.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	addr    string
	reader  *bufio.Reader
	writer  *bufio.Writer
	sent    *countingWriter
	idleFor time.Duration // time for which the target keeps the connection while it is idle
	since   time.Time     // start of the present idle time
}

func newConn(addr string, c net.Conn) *conn {
	sent := &countingWriter{to: c}
	return &conn{Conn: c, addr: addr, reader: bufio.NewReaderSize(c, readBuffer), writer: bufio.NewWriter(sent), sent: sent}
}

// abandon ends the exchange on the connection. Closing it then resets it, so that the system sends nothing more of a
// request that the target has not taken yet: a target that was out of reach must not get it later.
func (c *conn) abandon() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.SetDeadline(longAgo)
}

// countingWriter counts the bytes that the network took.
type countingWriter struct {
	to io.Writer
	n  int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.n += n
	return n, err
}

// usable says whether an idle connection is still open and without unread bytes, which would belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Pool keeps idle connections to targets. It is safe for concurrent use.
type Pool struct {
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[string][]*conn
	dials int64
}

// Limits of the idle connections of a pool.
const (
	maxIdlePerTarget = 16
	// idleTimeout closes connections whose target states no time of its own.
	idleTimeout = 4 * time.Second
	// idleMargin is how long before the target's own timeout a connection is no longer used.
	idleMargin = 500 * time.Millisecond
	// freshIdle is the idle time up to which a connection carries a request that must not be repeated. A target that
	// closes an idle connection while such a request is on its way leaves the outcome unknown.
	freshIdle = 400 * time.Millisecond
)

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{Dial: Dialer().DialContext, idle: map[string][]*conn{}}
}

// Dials returns the number of connections that were opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// take returns an idle connection that was used within maxIdle, or a new one.
func (p *Pool) take(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.pop(addr, maxIdle)
		if c == nil {
			break
		}
		if time.Since(c.since) < c.idleFor && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	nc, err := p.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(addr, nc), nil
}

// pop removes the connection that was used last, if it was used within maxIdle. Others stay for requests that accept them.
func (p *Pool) pop(addr string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if time.Since(c.since) >= maxIdle {
		return nil
	}
	p.set(addr, list[:len(list)-1])
	return c
}

// Idle says whether a connection to a target is idle.
func (p *Pool) Idle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

func (p *Pool) set(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
}

// put keeps a connection whose response was read completely.
func (p *Pool) put(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdlePerTarget {
		go c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Sweep closes idle connections that are near the target's timeout, and those to targets that keep does not name.
func (p *Pool) Sweep(now time.Time, keep func(addr string) bool) {
	var closing []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		var left []*conn
		for _, c := range list {
			if now.Sub(c.since) >= c.idleFor || !keep(addr) {
				closing = append(closing, c)
			} else {
				left = append(left, c)
			}
		}
		p.set(addr, left)
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Sweep(time.Now(), func(string) bool { return false })
}

// idleTime reads how long the target keeps an idle connection.
func idleTime(h http.Header) time.Duration {
	if s, ok := keepAliveTimeout(h.Get("Keep-Alive")); ok {
		return max(0, s-idleMargin)
	}
	return idleTimeout
}
