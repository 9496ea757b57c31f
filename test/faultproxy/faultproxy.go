// Package faultproxy is a TCP proxy for tests that brings about network faults between two processes.
//
// A request is what a client sends on a connection until the server has answered something, which fits
// HTTP/1.1 without pipelining and jsonrpc2 with one call at a time.
package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	bufferBytes = 32 << 10
	// maxCopied bounds the kept bytes of one request, and so those of a late or repeated one.
	maxCopied = 64 << 10
	// copyTimeout bounds how long the response to a repeated request is read.
	copyTimeout = 3 * time.Second
	dialTimeout = time.Second
	// lateCollect is how long the parts of a late request are collected; a client may send it in several writes.
	lateCollect = 50 * time.Millisecond
)

type gateState int

const (
	open gateState = iota
	held
	heldBack // only what the server sends
	partitioned
)

// Link proxies one address.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	closed  chan struct{}
	plan    Plan
	gate    gateState
	changed chan struct{} // closed and replaced when the gate changes
	pairs   map[*pair]struct{}
	seen    int
	pending int // copies that did not arrive yet
	counts  map[Fault]int
}

// New returns a link to the target on a free loopback address. It passes everything on unchanged.
func New(target string) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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

// SetPlan sets the fates of the requests from now on. The numbering continues. A nil plan passes everything on.
func (l *Link) SetPlan(p Plan) { l.set(func() { l.plan = p }) }

// Hold keeps all bytes in both directions until Heal, which delivers them late, even if the client has left.
func (l *Link) Hold() { l.setGate(held) }

// HoldBack keeps what the server sends until Heal, while requests still arrive.
func (l *Link) HoldBack() { l.setGate(heldBack) }

// Partition keeps all bytes in both directions from arriving. Heal resets the connections that were affected.
func (l *Link) Partition() { l.setGate(partitioned) }

// Heal ends Hold and Partition.
func (l *Link) Heal() { l.setGate(open) }

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

// Send delivers the bytes of a request on a new connection after a time, and discards the response.
func (l *Link) Send(request []byte, after time.Duration) {
	l.set(func() { l.pending++ })
	l.wg.Go(func() {
		defer l.set(func() { l.pending-- })
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
		_ = c.SetDeadline(time.Now().Add(copyTimeout))
		if _, err := c.Write(request); err == nil {
			_, _ = c.Read(make([]byte, bufferBytes))
		}
	})
}

// Pending returns how many late requests and copies have not arrived or are not answered yet.
func (l *Link) Pending() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending
}

// Close closes the listener and all connections and waits for the goroutines.
func (l *Link) Close() {
	l.set(func() { close(l.closed) })
	_ = l.listener.Close()
	l.Cut()
	l.wg.Wait()
}

func (l *Link) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *Link) setGate(s gateState) {
	l.set(func() {
		l.gate = s
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
	up, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	defer up.Close()
	p := &pair{link: l, client: client, server: up.(*net.TCPConn)}
	l.set(func() { l.pairs[p] = struct{}{} })
	defer l.set(func() { delete(l.pairs, p) })
	select {
	case <-l.closed:
		return
	default:
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(p.client, p.server, p.forward) })
	directions.Go(func() { p.copy(p.server, p.client, p.back) })
	directions.Wait()
}

// pass waits until the gate lets bytes of a direction pass. It returns false if the bytes must not arrive.
func (l *Link) pass(back bool) bool {
	affected := false
	for {
		l.mu.Lock()
		gate, changed := l.gate, l.changed
		l.mu.Unlock()
		if gate == open || gate == heldBack && !back {
			return !affected
		}
		affected = affected || gate == partitioned
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// next numbers a request and returns its fate.
func (l *Link) next() Fate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var f Fate
	if l.plan != nil {
		f = l.plan(l.seen)
	}
	l.seen++
	l.counts[f.Fault]++
	return f
}
