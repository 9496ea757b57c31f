// Package target is a stand-in for the targets of the users' platform. It writes HTTP/1.1 to raw connections, so that
// tests can produce any malformed or incomplete response.
package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that a target has received.
type Arrival struct {
	Method, URI, Host string
	Header            http.Header
	Body              string
	Conn              int // number of the connection, counted from 1
}

// Behaviour answers a request on its connection. It reports whether the connection stays open.
type Behaviour func(c net.Conn, a Arrival) bool

// Target is a target that listens on loopback and records the requests that it receives.
type Target struct {
	Addr string

	listener       net.Listener
	mu             sync.Mutex
	behaviour      Behaviour
	arrivals       []Arrival
	connCount      int
	conns          map[net.Conn]bool
	closedByCaller int // number of connections that the caller closed
}

// Start starts a target that answers requests with b.
func Start(b Behaviour) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{Addr: l.Addr().String(), listener: l, behaviour: b, conns: map[net.Conn]bool{}}
	go t.accept()
	return t, nil
}

// Close closes the listener. Connections that are open stay open.
func (t *Target) Close() { _ = t.listener.Close() }

// Crash closes the listener and all connections, as the end of the target's process does.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.listener.Close()
	for c := range t.conns {
		_ = c.Close()
	}
}

// SetBehaviour changes the behaviour for all later requests.
func (t *Target) SetBehaviour(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behaviour = b
}

// Arrivals returns the requests received so far.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Closed returns the number of connections that the caller closed.
func (t *Target) Closed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closedByCaller
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.connCount++
		n := t.connCount
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c, n)
	}
}

func (t *Target) serve(c net.Conn, n int) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			t.mu.Lock()
			t.closedByCaller++
			t.mu.Unlock()
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := Arrival{Method: req.Method, URI: req.RequestURI, Host: req.Host, Header: req.Header, Body: string(body), Conn: n}
		t.mu.Lock()
		t.arrivals = append(t.arrivals, a)
		behave := t.behaviour
		t.mu.Unlock()
		if !behave(c, a) {
			return
		}
	}
}

// Names of the headers that targets set.
const (
	HeaderID       = "X-Camphorbank-Request-Id"
	HeaderStamp    = "X-Camphorbank-Server-Stamp"
	HeaderNotRun   = "X-Camphorbank-Not-Executed"
	HeaderInstance = "X-Camphorbank-Instance-Id"
)

func responseHead(status int, id string, more ...string) string {
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp\r\n", status, http.StatusText(status), HeaderID, id, HeaderStamp)
	return h + strings.Join(more, "")
}

// Answer returns a complete response with the status and the body.
func Answer(status int, body string) Behaviour {
	return func(c net.Conn, a Arrival) bool {
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		_, err := io.WriteString(c, responseHead(status, a.Header.Get(HeaderID), length)+body)
		return err == nil
	}
}

// Raw writes the bytes as they are, with each "ID" replaced by the id of the request. With keep, the connection stays
// open.
func Raw(bytes string, keep bool) Behaviour {
	return func(c net.Conn, a Arrival) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(bytes, "ID", a.Header.Get(HeaderID)))
		return keep && err == nil
	}
}

// RefuseNotRun refuses the request with 503 and the header that says that it was not executed.
func RefuseNotRun() Behaviour {
	return Raw("HTTP/1.1 503 Service Unavailable\r\n"+HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n", true)
}

// Reset resets the connection after the request has been read.
func Reset() Behaviour {
	return func(c net.Conn, _ Arrival) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// Silent waits for d and closes the connection without a response.
func Silent(d time.Duration) Behaviour {
	return func(net.Conn, Arrival) bool {
		time.Sleep(d)
		return false
	}
}

// Stream sends the events that follow the Last-Event-Id of the request, up to last, with a pause before each, and ends
// the stream. With cut, it instead closes the connection in the middle of the event after last.
func Stream(last int, pause time.Duration, cut bool) Behaviour {
	return func(c net.Conn, a Arrival) bool {
		from := 0
		_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &from)
		_, _ = io.WriteString(c, responseHead(200, a.Header.Get(HeaderID), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := from + 1; i <= last; i++ {
			time.Sleep(pause)
			if _, err := io.WriteString(c, encodeChunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))); err != nil {
				return false
			}
		}
		if cut {
			_, _ = io.WriteString(c, encodeChunk(fmt.Sprintf("id: %d\nda", last+1)))
			return false
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func encodeChunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
