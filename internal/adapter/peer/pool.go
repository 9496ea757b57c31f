package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/camphorbank/camphorbank/internal/traffic"
)

const (
	// dialTimeout bounds connecting to a peer together with the TLS handshake.
	dialTimeout = 500 * time.Millisecond
	// defaultIdleTimeout is the time after which a connection that no call uses is closed. It is short because peers
	// are chosen at random, so that few connections are used again soon.
	defaultIdleTimeout = 5 * time.Second
)

// Pool makes calls to other processes. It opens one connection to each peer on demand and closes it after an idle time.
// The zero value is ready for use.
type Pool struct {
	TLS         *tls.Config   // nil for plain TCP
	IdleTimeout time.Duration // time until an unused connection is closed; 0 means 5 s

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is the pool's connection to one peer. conn and err may be read once dialed is closed; Pool.mu guards the
// counter and the timer.
type pooledConn struct {
	addr        string
	dialed      chan struct{} // closed when conn or err is set
	conn        *jsonrpc2.Conn
	err         error // of dialing
	activeCalls int
	idleTimer   *time.Timer
}

// Call calls a method of the process at addr, on the pool's connection to it. in is the parameter; the result is stored
// in out.
func (p *Pool) Call(ctx context.Context, addr, method string, in, out any) error {
	c := p.acquire(ctx, addr)
	defer p.release(c)
	select {
	case <-c.dialed:
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.err != nil {
		return c.err
	}
	return call(ctx, c.conn, method, in, out)
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		p.removeLocked(c)
	}
}

// acquire returns the connection to the peer and counts a call on it. It starts to open a connection if there is none;
// the caller waits for the channel dialed.
func (p *Pool) acquire(ctx context.Context, addr string) *pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]*pooledConn{}
	}
	c := p.conns[addr]
	if c == nil {
		c = &pooledConn{addr: addr, dialed: make(chan struct{})}
		p.conns[addr] = c
		go p.open(context.WithoutCancel(ctx), c)
	}
	c.activeCalls++
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	return c
}

// open dials the peer, then waits until the connection ends and removes it from the pool.
func (p *Pool) open(ctx context.Context, c *pooledConn) {
	conn, err := dial(ctx, c.addr, p.TLS)
	p.mu.Lock()
	c.conn, c.err = conn, err
	if err != nil || p.conns[c.addr] != c {
		p.removeLocked(c)
	}
	close(c.dialed)
	p.mu.Unlock()
	if err != nil {
		return
	}
	<-conn.DisconnectNotify()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeLocked(c)
}

// release ends a call on the connection. The last call starts the idle timer.
func (p *Pool) release(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.activeCalls--; c.activeCalls > 0 || p.conns[c.addr] != c {
		return
	}
	c.idleTimer = time.AfterFunc(cmp.Or(p.IdleTimeout, defaultIdleTimeout), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c.activeCalls == 0 {
			p.removeLocked(c)
		}
	})
}

// removeLocked closes a connection and removes it from the pool. p.mu must be held.
func (p *Pool) removeLocked(c *pooledConn) {
	if p.conns[c.addr] == c {
		delete(p.conns, c.addr)
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

func dial(ctx context.Context, addr string, tlsConfig *tls.Config) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := traffic.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if tlsConfig != nil {
		tlsConn := tls.Client(c, tlsConfig)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		c = tlsConn
	}
	return jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(c, 0), ignoreRequests{}, jsonrpc2.SetLogger(discardLogger)), nil
}

// Call calls a method of the process at addr on a new plain TCP connection, which it closes afterwards.
func Call(ctx context.Context, addr, method string, in, out any) error {
	conn, err := dial(ctx, addr, nil)
	if err != nil {
		return err
	}
	defer conn.Close()
	return call(ctx, conn, method, in, out)
}

// call sends a request that has a string as its id. The library decodes a missing id of a reply as the number 0. With
// numeric ids a reply without an id would be taken for the reply to the first call of the connection.
func call(ctx context.Context, conn *jsonrpc2.Conn, method string, in, out any) error {
	return conn.Call(ctx, method, in, out, jsonrpc2.StringID())
}

// ignoreRequests ignores requests that the called process sends on the connection.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
