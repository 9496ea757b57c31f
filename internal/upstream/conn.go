// Package upstream is an HTTP/1.1 client for requests to targets, with its own pool of connections. Unlike net/http, it
// reports for each failure whether bytes of the request were sent, so that the target may have run it, and it never
// sends a request again by itself.
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

	"github.com/camphorbank/camphorbank/internal/httphead"
	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

const (
	// DialTimeout bounds the time for opening a connection. The latency to targets is a few milliseconds.
	DialTimeout = 400 * time.Millisecond
	// readBufferBytes is enough for the head of a response and several events of a stream.
	readBufferBytes = 4 << 10
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	addr      string
	reader    *bufio.Reader
	writer    *bufio.Writer
	sent      *countingWriter
	received  *headReader
	idleLimit time.Duration // longest idle time after which the connection may be used again
	idleSince time.Time     // time since which the connection is idle
	carried   bool          // it has carried a request
	onClose   func()        // called once
	closed    sync.Once
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closed.Do(c.onClose)
	return c.Conn.Close()
}

func newConn(addr string, c net.Conn, onClose func()) *conn {
	sent, received := &countingWriter{to: c}, &headReader{from: c}
	return &conn{Conn: c, addr: addr, onClose: onClose, reader: bufio.NewReaderSize(received, readBufferBytes),
		writer: bufio.NewWriter(sent), sent: sent, received: received}
}

// abandon makes the exchange on the connection fail at once. When the connection is closed, it is then reset, so that
// the kernel discards unsent data: a target that could not be reached must not receive the rest of an abandoned request
// later.
func (c *conn) abandon() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.SetDeadline(pastTime)
}

// countingWriter counts the bytes that were written to the connection.
type countingWriter struct {
	to io.Writer
	n  int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.n += n
	return n, err
}

// maxHeadBytes bounds the heads of the answers to one request, since a faulty target may send header lines without end.
const maxHeadBytes = 64 << 10

var errHeadTooLong = errors.New("head of the answer is too long")

// headReader reads from the connection. While it reads the heads of an answer, it checks their lines and stops at a limit.
type headReader struct {
	from   io.Reader
	inHead bool
	lines  httphead.Lines
	left   int64 // bytes that may be read while inHead
}

func (r *headReader) beginHead(limit int64) {
	r.inHead, r.lines, r.left = true, httphead.Lines{}, limit
}

func (r *headReader) endHead() { r.inHead = false }

func (r *headReader) Read(p []byte) (int, error) {
	if !r.inHead {
		return r.from.Read(p)
	}
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.from.Read(p)
	r.left -= int64(n)
	if malformed := r.lines.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// usable reports whether an idle connection is open and has no unread bytes, which would belong to no request.
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
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// MaxOpen is the number of open connections from which on an idle one is closed for each new one; 0 means no limit.
	MaxOpen int

	mu    sync.Mutex
	idle  map[string][]*conn
	open  int
	dials int64
}

// Limits of the idle connections of a pool.
const (
	maxIdlePerTarget = 16
	// defaultMaxIdle is the longest idle time of a connection whose target states no timeout.
	defaultMaxIdle = 4 * time.Second
	// idleMargin is the time before the target's idle timeout in which a connection is no longer used.
	idleMargin = 500 * time.Millisecond
	// atMostOnceMaxIdle is the longest idle time after which a connection is used for a request that must not be
	// retried. If the target closes an idle connection while such a request is being sent, its outcome is unknown.
	atMostOnceMaxIdle = 400 * time.Millisecond
)

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{Dial: tcpconn.Dialer(DialTimeout).DialContext, idle: map[string][]*conn{}}
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// get returns a connection that has been idle for less than maxIdle, or a new one.
func (p *Pool) get(ctx context.Context, addr string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.popIdle(addr, maxIdle)
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleLimit && c.usable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.dial(ctx, addr)
}

// dial opens a connection to a target.
func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	if surplus := p.countDial(); surplus != nil {
		_ = surplus.Close()
	}
	nc, err := p.Dial(ctx, "tcp", addr)
	if err != nil {
		p.countClose()
		return nil, err
	}
	return newConn(addr, nc, p.countClose), nil
}

// countDial counts a connection that is about to be opened. It returns the idle connection that has to be closed for it, or
// nil if there is none.
func (p *Pool) countDial() (surplus *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dials++
	p.open++
	if p.MaxOpen <= 0 || p.open <= p.MaxOpen {
		return nil
	}
	for _, list := range p.idle {
		if surplus == nil || list[0].idleSince.Before(surplus.idleSince) {
			surplus = list[0]
		}
	}
	if surplus != nil {
		p.setIdle(surplus.addr, p.idle[surplus.addr][1:])
	}
	return surplus
}

// countClose counts a connection that was closed.
func (p *Pool) countClose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// popIdle removes and returns the connection that was used last, or returns nil if it has been idle for maxIdle or
// longer. Such connections stay in the pool for requests that accept them.
func (p *Pool) popIdle(addr string, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	if time.Since(c.idleSince) >= maxIdle {
		return nil
	}
	p.setIdle(addr, list[:len(list)-1])
	return c
}

// Idle reports whether the pool has an idle connection to a target.
func (p *Pool) Idle(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

// setIdle replaces the idle connections to a target. The caller holds the lock.
func (p *Pool) setIdle(addr string, list []*conn) {
	if len(list) == 0 {
		delete(p.idle, addr)
	} else {
		p.idle[addr] = list
	}
}

// putIdle adds a connection to the pool whose response was read completely, or closes it if the pool is full.
func (p *Pool) putIdle(c *conn) {
	_ = c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdlePerTarget {
		go c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// Sweep closes the connections that have reached their longest idle time, and those to addresses for which keep returns
// false.
func (p *Pool) Sweep(now time.Time, keep func(addr string) bool) {
	var closing []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		var left []*conn
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleLimit || !keep(addr) {
				closing = append(closing, c)
			} else {
				left = append(left, c)
			}
		}
		p.setIdle(addr, left)
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

// maxIdleTime returns the longest idle time of a connection, according to the target's Keep-Alive header if there is
// one.
func maxIdleTime(h http.Header) time.Duration {
	if s, ok := keepAliveTimeout(h.Get("Keep-Alive")); ok {
		return max(0, s-idleMargin)
	}
	return defaultMaxIdle
}
