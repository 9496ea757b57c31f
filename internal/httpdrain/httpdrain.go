// Package httpdrain shuts down an HTTP/1.1 server without cutting off requests that have begun to arrive.
//
// Once http.Server.Shutdown has been called, net/http drops each request whose head it has not read completely, without an
// answer, and closes kept connections at once on which it has not read the whole head of the next request. Their callers
// cannot know whether the request has run. This package lets the server answer these requests before it calls Shutdown.
package httpdrain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

const (
	// pollInterval is the interval at which Shutdown closes idle connections and checks whether any are left.
	pollInterval = 5 * time.Millisecond
	// reuseTime is the time after an answer for which a connection is kept during a shutdown. A caller whose answer began
	// before the shutdown has not been told that its connection is closed, and often sends its next request at once.
	reuseTime = 100 * time.Millisecond
	// firstRequestTime is the time in which the first byte must arrive on a new connection during a shutdown, as in net/http.
	firstRequestTime = 5 * time.Second
)

// Listener is a listener whose server can be shut down with Shutdown.
type Listener struct {
	net.Listener
	server    *http.Server
	closed    chan struct{} // closed by Close
	closeOnce sync.Once

	lastAnswers atomic.Bool // connections are closed after their present answer
	draining    atomic.Bool

	mu        sync.Mutex
	accepting bool           // the server waits in Accept
	conns     map[*conn]bool // open connections
}

// New returns a listener for the server, which must serve no other one. It wraps the server's ConnState and its handler.
func New(l net.Listener, server *http.Server) *Listener {
	out := &Listener{Listener: l, server: server, closed: make(chan struct{}), conns: map[*conn]bool{}}
	next := server.ConnState
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.setState(s)
		}
		if next != nil {
			next(c, s)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if out.lastAnswers.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	return out
}

// Accept returns the next connection. During a shutdown it returns an error only when the server has closed the listener,
// since the server would otherwise take the error for a failure.
func (l *Listener) Accept() (net.Conn, error) {
	l.setAccepting(true)
	inner, err := l.Listener.Accept()
	if err != nil {
		l.setAccepting(false)
		if l.draining.Load() {
			<-l.closed
		}
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c], l.accepting = true, false
	return c, nil
}

func (l *Listener) setAccepting(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = on
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.draining.Load() {
		return nil // Shutdown has closed it before
	}
	return err
}

// CloseAfterAnswers makes each further answer tell its caller that its connection is closed, which the server then does.
func (l *Listener) CloseAfterAnswers() { l.lastAnswers.Store(true) }

// Shutdown shuts the server down: it accepts no more connections, closes those that are idle, waits until the requests
// that have arrived or begun to arrive are answered, and returns. It includes CloseAfterAnswers. If ctx ends before,
// Shutdown returns its error and leaves the requests in flight to http.Server.Close.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.CloseAfterAnswers()
	l.awaitBacklog(ctx)
	l.draining.Store(true)
	_ = l.Listener.Close() // an error means that it has been closed before
	if err := l.awaitRequests(ctx); err != nil {
		_ = l.server.Shutdown(ctx) // lets Serve return
		return err
	}
	return l.server.Shutdown(ctx)
}

// awaitBacklog waits until the server has accepted the connections that are established, since those that it has not accepted
// are reset when the listener is closed. Connections are accepted in their order, so it opens one and waits for that one until
// ctx ends: a busy machine may take seconds to accept them. A listener that has no place for that one accepts and closes it.
func (l *Listener) awaitBacklog(ctx context.Context) {
	var d net.Dialer
	last, err := d.DialContext(ctx, l.Addr().Network(), l.Addr().String())
	if err != nil {
		return // the listener is closed, or its backlog is full
	}
	defer last.Close()
	closed := make(chan struct{})
	go func() {
		_, _ = last.Read(make([]byte, 1)) // no byte is sent to a connection without a request
		close(closed)
	}()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !l.hasAccepted(last.LocalAddr()) {
		select {
		case <-tick.C:
		case <-closed:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasAccepted reports whether a connection from the address is open.
func (l *Listener) hasAccepted(remote net.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.RemoteAddr().String() == remote.String() {
			return true
		}
	}
	return false
}

// awaitRequests closes connections as they become idle until none is left.
func (l *Listener) awaitRequests(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !l.closeIdle(time.Now()) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdle closes the idle connections and reports whether no others are left, nor one that is being accepted.
func (l *Listener) closeIdle(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.awaitsNoRequest(now) {
			_ = c.Conn.Close()
			delete(l.conns, c)
		}
	}
	return len(l.conns) == 0 && !l.accepting
}

// Inner returns the connection that a Listener's connection wraps, and any other connection itself.
func Inner(c net.Conn) net.Conn {
	if c, ok := c.(*conn); ok {
		return c.Conn
	}
	return c
}

// conn is a connection that knows whether a request has begun on it.
type conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	state http.ConnState // that the server assigns to the connection
	since time.Time      // of the state
	begun bool           // bytes of the next request have been read, while the server waits for one
	// ahead means that a byte was read while the present request was handled. net/http reads a single byte then to notice
	// that the caller leaves, and that byte may be the first one of the next request.
	ahead bool
}

// setState records a change of the state that the server assigns to the connection.
func (c *conn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = s, time.Now()
	c.begun, c.ahead = s == http.StateIdle && c.ahead, false
}

// awaitsNoRequest reports whether no request has begun to arrive and none is expected.
func (c *conn) awaitsNoRequest(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case http.StateNew:
		return now.Sub(c.since) >= firstRequestTime && !c.begun && !c.readable()
	case http.StateIdle:
		return now.Sub(c.since) >= reuseTime && !c.begun && !c.readable()
	}
	return false
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.noteRead(len(p))
	}
	return n, err
}

// noteRead records that bytes were read into a buffer of a size.
func (c *conn) noteRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != http.StateActive:
		c.begun = true
	case size == 1:
		c.ahead = true
	}
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// readable reports whether bytes have arrived that have not been read.
func (c *conn) readable() bool {
	raw, ok := tcpconn.As[syscall.Conn](c.Conn)
	if !ok {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = rc.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// NetConn returns the connection that is wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side. The server does so after an answer that it gives before it has read the whole
// request, so that the caller can read the answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
