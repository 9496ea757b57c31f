// Package target is a stand-in for the targets of the users' platform: it speaks HTTP/1.1 on raw connections, so that
// tests can answer wrongly in every way that a target may.
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

// Arrival is one request that a target has read.
type Arrival struct {
	Method, URI, Host string
	Header            http.Header
	Body              string
	Conn              int // number of the connection, from 1
}

// Behaviour answers one request on its connection. It returns false to close the connection.
type Behaviour func(c net.Conn, a Arrival) bool

// Target is one stand-in. It counts what arrives.
type Target struct {
	Addr string

	listener net.Listener
	mu       sync.Mutex
	behave   Behaviour
	arrivals []Arrival
	conns    int
	closed   int // connections that the caller closed
}

// Start listens on loopback.
func Start(b Behaviour) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{Addr: l.Addr().String(), listener: l, behave: b}
	go t.accept()
	return t, nil
}

// Close stops listening.
func (t *Target) Close() { _ = t.listener.Close() }

// Set changes the behaviour for requests from now on.
func (t *Target) Set(b Behaviour) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behave = b
}

// Arrivals returns the requests so far.
func (t *Target) Arrivals() []Arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// Closed returns the number of connections that the caller closed.
func (t *Target) Closed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

func (t *Target) accept() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns++
		n := t.conns
		t.mu.Unlock()
		go t.serve(c, n)
	}
}

func (t *Target) serve(c net.Conn, n int) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			t.mu.Lock()
			t.closed++
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
		behave := t.behave
		t.mu.Unlock()
		if !behave(c, a) {
			return
		}
	}
}

// Names of the headers that targets set.
const (
	HeaderID     = "X-Camphorbank-Request-Id"
	HeaderStamp  = "X-Camphorbank-Server-Stamp"
	HeaderNotRun = "X-Camphorbank-Not-Executed"
)

func head(status int, id string, more ...string) string {
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: stamp\r\n", status, http.StatusText(status), HeaderID, id, HeaderStamp)
	return h + strings.Join(more, "")
}

// Answer answers with a status and a body.
func Answer(status int, body string) Behaviour {
	return func(c net.Conn, a Arrival) bool {
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		_, err := io.WriteString(c, head(status, a.Header.Get(HeaderID), length)+body)
		return err == nil
	}
}

// Raw answers with bytes. ID in them stands for the request's id.
func Raw(bytes string, keep bool) Behaviour {
	return func(c net.Conn, a Arrival) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(bytes, "ID", a.Header.Get(HeaderID)))
		return keep && err == nil
	}
}

// Full promises not to run the request.
func Full() Behaviour {
	return Raw("HTTP/1.1 503 Service Unavailable\r\n"+HeaderNotRun+": 1\r\nContent-Length: 0\r\n\r\n", true)
}

// Reset resets the connection after the request was read.
func Reset() Behaviour {
	return func(c net.Conn, _ Arrival) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// Silent does not answer for the given time.
func Silent(d time.Duration) Behaviour {
	return func(net.Conn, Arrival) bool {
		time.Sleep(d)
		return false
	}
}

// Stream sends the events from the one after the request's last event up to last, with a pause before each, and ends the
// stream. With cut it breaks off in the middle of the event after last.
func Stream(last int, pause time.Duration, cut bool) Behaviour {
	return func(c net.Conn, a Arrival) bool {
		from := 0
		_, _ = fmt.Sscan(a.Header.Get("Last-Event-Id"), &from)
		_, _ = io.WriteString(c, head(200, a.Header.Get(HeaderID), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := from + 1; i <= last; i++ {
			time.Sleep(pause)
			if _, err := io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))); err != nil {
				return false
			}
		}
		if cut {
			_, _ = io.WriteString(c, chunk(fmt.Sprintf("id: %d\nda", last+1)))
			return false
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
