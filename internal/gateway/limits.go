package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/httpdrain"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/reqbody"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

const (
	// HeaderTimeout bounds the time for reading the head of a request, and IdleTimeout the time between two requests.
	// The configuration may state shorter ones.
	HeaderTimeout = 5 * time.Second
	IdleTimeout   = 60 * time.Second
	// MaxHeaderBytes bounds the head of a request. It is above the limits that configurations state.
	MaxHeaderBytes = 64 << 10
	// headerLineOverheadBytes is the least size of a header line without its name and value.
	headerLineOverheadBytes = len(":\r\n")
)

// NewServer returns a server that handles the requests of callers with g. It is meant for connections of a Listener,
// which apply the limits of the configuration. It speaks HTTP/1 only.
func NewServer(g *Gateway) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{Handler: g, ReadHeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout,
		MaxHeaderBytes: MaxHeaderBytes, Protocols: protocols,
		ConnState:   trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
}

// trackState notes on a connection that its answer has been written and that it waits for its next request.
func trackState(c net.Conn, s http.ConnState) {
	if c, ok := httpdrain.Inner(c).(*limitedConn); ok && s == http.StateIdle {
		c.awaitRequest()
	}
}

// connKey is the context key of the connection on which a request arrived.
type connKey struct{}

// connOf returns the connection on which a request arrived, or nil if it is not one of a Listener.
func connOf(r *http.Request) *limitedConn {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	limited, _ := httpdrain.Inner(c).(*limitedConn)
	return limited
}

// setBodyDeadline sets the deadline for reading a request's body. The zero time removes it.
func setBodyDeadline(r *http.Request, t time.Time) error {
	c := connOf(r)
	if c == nil {
		return nil
	}
	return c.setReadDeadline(t)
}

// Listener accepts callers' connections and applies limits to them.
type Listener struct {
	net.Listener
	Limits func() routetable.Limits // of the present configuration
	Conns  *connlimit.Limit         // nil for no bound
	Memory *membudget.Budget        // for the requests of the connections; nil for no bound
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		slot, ok := l.Conns.Admit(c)
		if !ok {
			_ = c.Close()
			continue
		}
		return &limitedConn{Conn: c, limits: l.Limits, slot: slot, memory: l.Memory.Lease("")}, nil
	}
}

// limitedConn shortens the read deadlines that the server sets to the limits of the configuration. The limits of an
// http.Server are fixed when it starts, whereas those of the configuration can change. It also takes the memory for the heads
// of requests from the budget.
type limitedConn struct {
	net.Conn
	limits  func() routetable.Limits
	slot    *connlimit.Slot
	memory  *membudget.Lease // of the present request
	took    time.Duration    // time that the last request took; for the server's goroutine only
	expired atomic.Bool      // the memory was taken back

	headMu   sync.Mutex // guards the rest; net/http may read while the handler begins
	head     headMeter  // of the present request
	headRead bool       // the head of the present request has arrived; what follows is no part of it
}

// Read reads from the connection. It fails if there is no memory for the head of a request, after which the server closes the
// connection without an answer.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.slot.Received(n)
	if !c.takeHeadMemory(p[:n]) {
		c.slot.NoMemory()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: reqbody.ErrNoMemory}
	}
	c.memory.Received(n)
	return n, err
}

// takeHeadMemory takes the memory that the head of a request needs for bytes that have arrived. It returns false without it.
func (c *limitedConn) takeHeadMemory(p []byte) bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.headRead {
		return true
	}
	cost := c.head.add(p)
	if cost == 0 {
		return true
	}
	c.receive()
	return c.memory.Grow(cost)
}

// receive states that the present request is being received, so that its memory may be taken back. The caller
// holds the lock.
func (c *limitedConn) receive() {
	if !c.head.begun {
		c.head.begun = true
		c.memory.Receive(c.expire)
	}
}

// headArrived states that the head of a request has arrived. It may have been read together with the request before.
func (c *limitedConn) headArrived() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.headRead = true
	c.receive()
}

// awaitRequest states that the answer of a request has been written and that the next request may arrive.
func (c *limitedConn) awaitRequest() {
	c.slot.Idle()
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head, c.headRead = headMeter{}, false
}

// expire ends the reading of the present request, since its memory is taken back.
func (c *limitedConn) expire() {
	c.expired.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.slot.Free()
	c.memory.Release()
	return c.Conn.Close()
}

// SetReadDeadline sets the deadline, or the limit of the configuration if that is earlier. The server sets a deadline
// further away than HeaderTimeout only for an idle connection.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		return c.setReadDeadline(t)
	}
	limits, now := c.limits(), time.Now()
	limit := limits.HeaderTimeout
	if t.Sub(now) > HeaderTimeout {
		limit = limits.IdleTimeout
	}
	if limit > 0 && t.After(now.Add(limit)) {
		t = now.Add(limit)
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline, unless expire has ended the reading or does so meanwhile.
func (c *limitedConn) setReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.expired.Load() {
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return err
}

// resetOnClose sets whether the connection is reset when it is closed, whoever closes it, also the system after the end of
// the process. A reset drops the bytes that have not been sent.
func (c *limitedConn) resetOnClose(on bool) {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		linger := -1 // the system's default
		if on {
			linger = 0
		}
		_ = t.SetLinger(linger)
	}
}

// Write writes to the caller. If the caller has not taken the bytes by the deadline, the connection is reset when it is
// closed, which drops them. The server closes it before the handler learns of the error.
func (c *limitedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if t, ok := c.Conn.(*net.TCPConn); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = t.SetLinger(0)
	}
	return n, err
}

// NetConn returns the connection that is wrapped.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// headerBytes returns the size of the head of a request.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\n") + len(" ") + len("Host") + len(r.Host) +
		headerLineOverheadBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverheadBytes
		}
	}
	return n
}
