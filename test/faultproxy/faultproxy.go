// Package faultproxy is a TCP proxy for tests that injects network faults between a client and a server: per request
// by a plan, and per link by holding, partitioning or resetting its connections.
//
// The proxy doesn't parse protocols. All bytes that a client sends on a connection before the first bytes of the
// response count as one request, which is right for HTTP/1.1 without pipelining and for jsonrpc2 with one call at a
// time.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	// maxKeptBytes is the size of a request above which further parts of it are not kept. The redelivered or duplicate
	// copy of a larger request is truncated.
	maxKeptBytes = 64 << 10
	// sendTimeout bounds the sending of a redelivered request or a duplicate together with the wait for its response.
	sendTimeout = 3 * time.Second
	dialTimeout = time.Second
	// collectTime is how long the parts of a request are collected before redelivery, as a client may send it in
	// several writes.
	collectTime = 50 * time.Millisecond
)

type linkState int

const (
	passing linkState = iota
	held
	responsesHeld // bytes from the server are held, bytes from the client pass
	partitioned
)

// Link is a proxy in front of one target address.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu       sync.Mutex
	closed   chan struct{}
	plan     Plan
	state    linkState
	changed  chan struct{} // closed and replaced when the state changes
	pairs    map[*pair]struct{}
	requests int
	pending  int // redelivered requests and duplicates that are not answered yet
	counts   map[Fault]int
}

// New returns a link to the target on a free loopback address. It passes everything on unchanged.
func New(target string) (*Link, error) { return NewAt("127.0.0.1:0", target) }

// NewAt returns a link to the target that listens on addr, such as the address of a link that has been closed.
func NewAt(addr, target string) (*Link, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	link := &Link{listener: l, target: target, closed: make(chan struct{}), changed: make(chan struct{}),
		pairs: map[*pair]struct{}{}, counts: map[Fault]int{}}
	link.wg.Go(link.accept)
	return link, nil
}

// Addr returns the address that clients connect to.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// ClientOf returns the address of the client whose bytes arrive at the target from addr. It returns false if the client has
// disconnected.
func (l *Link) ClientOf(addr net.Addr) (client string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if p.server.LocalAddr().String() == addr.String() {
			return p.client.RemoteAddr().String(), true
		}
	}
	return "", false
}

// SetPlan sets the plan for the requests that begin from now on. The request numbers continue. With a nil plan,
// requests have no faults.
func (l *Link) SetPlan(p Plan) { l.locked(func() { l.plan = p }) }

// Hold keeps back all bytes in both directions until Heal, which delivers them even if the client has disconnected.
func (l *Link) Hold() { l.setState(held) }

// HoldResponses keeps back what the server sends until Heal, while requests still arrive.
func (l *Link) HoldResponses() { l.setState(responsesHeld) }

// Partition blocks all bytes in both directions. Heal resets the connections on which bytes were blocked.
func (l *Link) Partition() { l.setState(partitioned) }

// Heal ends Hold, HoldResponses and Partition.
func (l *Link) Heal() { l.setState(passing) }

// Cut resets all connections.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// Counts returns how many requests had each fault.
func (l *Link) Counts() map[Fault]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[Fault]int, len(l.counts))
	for k, v := range l.counts {
		out[k] = v
	}
	return out
}

// Send delivers the bytes of a request to the target on a new connection after a delay, and discards the response.
func (l *Link) Send(request []byte, after time.Duration) {
	l.locked(func() { l.pending++ })
	l.wg.Go(func() {
		defer l.locked(func() { l.pending-- })
		select {
		case <-time.After(after):
		case <-l.closed:
			return
		}
		c, err := net.DialTimeout("tcp", l.target, dialTimeout)
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(sendTimeout))
		if _, err := c.Write(request); err == nil {
			_, _ = c.Read(make([]byte, bufferBytes))
		}
	})
}

// Pending returns how many redelivered requests and duplicates have not been delivered or answered yet.
func (l *Link) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

// Close closes the listener, resets all connections and waits for the goroutines of the link.
func (l *Link) Close() {
	l.locked(func() { close(l.closed) })
	_ = l.listener.Close()
	l.Cut()
	l.wg.Wait()
}

func (l *Link) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *Link) setState(s linkState) {
	l.locked(func() {
		l.state = s
		close(l.changed)
		l.changed = make(chan struct{})
	})
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

func (l *Link) serve(client *net.TCPConn) {
	defer client.Close()
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	defer server.Close()
	p := &pair{link: l, client: client, server: server.(*net.TCPConn)}
	l.locked(func() { l.pairs[p] = struct{}{} })
	defer l.locked(func() { delete(l.pairs, p) })
	select {
	case <-l.closed:
		return
	default:
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(p.client, p.server, p.forwardRequest) })
	directions.Go(func() { p.copy(p.server, p.client, p.forwardResponse) })
	directions.Wait()
}

// waitToDeliver waits until the state of the link lets bytes of a request or response pass. It reports whether the
// bytes may be delivered, which is false if the link was partitioned meanwhile or is closed.
func (l *Link) waitToDeliver(response bool) bool {
	partitionSeen := false
	for {
		l.mu.Lock()
		state, changed := l.state, l.changed
		l.mu.Unlock()
		if state == passing || state == responsesHeld && !response {
			return !partitionSeen
		}
		partitionSeen = partitionSeen || state == partitioned
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// nextInjection assigns the next number to a request, counts its fault and returns the injection.
func (l *Link) nextInjection() Injection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var f Injection
	if l.plan != nil {
		f = l.plan(l.requests)
	}
	l.requests++
	l.counts[f.Fault]++
	return f
}
