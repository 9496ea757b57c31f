package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// listen opens a listener on loopback.
func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// limitedServer starts a server for the fixture's gateway with the limits, and returns its address.
func limitedServer(t *testing.T, f *fixture, l routetable.Limits) string {
	inner := listen(t)
	serveLimited(t, f, inner, l)
	return inner.Addr().String()
}

// serveLimited starts a server for the fixture's gateway with the limits on a listener.
func serveLimited(t *testing.T, f *fixture, inner net.Listener, l routetable.Limits) *http.Server {
	config := testConfig()
	config.Version++
	config.Limits = l
	f.gateway.Tables.Offer(config)
	server := gateway.NewServer(f.gateway)
	server.Handler = f.handler()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(&gateway.Listener{Listener: inner, Memory: f.gateway.Bodies,
			Limits: func() routetable.Limits { return f.gateway.Tables.Load().Config.Limits }})
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return server
}

const validHead = "POST /unsafe/x HTTP/1.1\r\nHost: test.example\r\n" + target.HeaderID + ": req-1\r\nAuthorization: Bearer k1\r\n"

// TestBadInput guards against input that is no valid request and is forwarded to a target, or answered as if it were
// valid.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		input string
		want  int // status; 0 if the connection is closed without an answer
	}{
		"sound":                     {validHead + "Content-Length: 1\r\n\r\nx", 200},
		"headers too large":         {validHead + "X-Large: " + strings.Repeat("a", 2000) + "\r\nContent-Length: 1\r\n\r\nx", 431},
		"body too large":            {validHead + "Content-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), 413},
		"chunked body too large":    {validHead + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("x", 5000) + "\r\n0\r\n\r\n", 413},
		"two lengths":               {validHead + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
		"negative length":           {validHead + "Content-Length: -1\r\n\r\nx", 400},
		"length that is no number":  {validHead + "Content-Length: 1x\r\n\r\nx", 400},
		"unknown transfer encoding": {validHead + "Transfer-Encoding: gzip\r\n\r\nx", 501},
		"two transfer encodings":    {validHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", 501},
		"folded header":             {validHead + "X-A: b\r\n c: d\r\nContent-Length: 1\r\n\r\nx", 200}, // passed on as one line
		"space before the colon":    {validHead + "X-A : b\r\nContent-Length: 1\r\n\r\nx", 400},
		"line break in a header":    {validHead + "X-A: b\rEvil: c\r\nContent-Length: 1\r\n\r\nx", 400},
		"two hosts":                 {validHead + "Host: other.example\r\nContent-Length: 1\r\n\r\nx", 400},
		"no request":                {"hello\r\n\r\n", 400},
		"bad chunk":                 {validHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 0},
		"body ends early":           {validHead + "Content-Length: 9\r\n\r\nx", 0},
		"no id":                     {"POST /unsafe/x HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer k1\r\nContent-Length: 1\r\n\r\nx", 400},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
			addr := limitedServer(t, f, routetable.Limits{HeaderBytes: 1000, BodyBytes: 1000})
			status, body := sendRaw(t, addr, c.input, c.want != 0)
			if status != c.want || c.want == 200 && body != "ok" {
				t.Errorf("status %d with body %q, want %d", status, body, c.want)
			}
			if n := f.arrivals(); n != 0 && c.want != 200 {
				t.Errorf("%d requests reached targets", n)
			}
		})
	}
}

// sendRaw sends input on a new connection and returns the status and the body of the answer, or 0 without one. It closes
// the sending side after the input unless keep is set: a caller that does so counts as having left.
func sendRaw(t *testing.T, addr, input string, keep bool) (status int, body string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, input); err != nil {
		t.Fatal(err)
	}
	if !keep {
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("the body ends with %v", err)
	}
	return resp.StatusCode, string(data)
}

// TestSmuggledRequest guards against request smuggling: a second request inside the body of the first one, which is run
// if the gateway and the target disagree on where the body ends.
func TestSmuggledRequest(t *testing.T) {
	f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
	addr := limitedServer(t, f, routetable.Limits{})
	inner := "POST /unsafe/evil HTTP/1.1\r\nHost: h\r\n\r\n"
	input := validHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	sendRaw(t, addr, input, true)
	for _, a := range append(f.first.Arrivals(), f.second.Arrivals()...) {
		if a.URI != "/unsafe/x" || a.Body != inner || len(a.Header["Transfer-Encoding"]) > 0 {
			t.Errorf("a target got %s with %q", a.URI, a.Body)
		}
	}
}

// TestSlowInput guards against callers that keep connections open with heads or bodies that never end, and against idle
// connections that are never closed.
func TestSlowInput(t *testing.T) {
	limits := routetable.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
	for name, c := range map[string]struct {
		input    string
		want     string // start of what the caller gets
		at, till time.Duration
	}{
		"head":         {"POST /unsafe/x HTTP/1.1\r\nHost: ", "", limits.HeaderTimeout, 2 * time.Second},
		"body":         {validHead + "X-Camphorbank-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nx", "HTTP/1.1 408", 300 * time.Millisecond, 2 * time.Second},
		"chunked body": {validHead + "X-Camphorbank-Deadline-Ms: 300\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n", "HTTP/1.1 408", 300 * time.Millisecond, 2 * time.Second},
		"trailers":     {validHead + "X-Camphorbank-Deadline-Ms: 300\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n", "HTTP/1.1 408", 300 * time.Millisecond, 2 * time.Second},
		"HTTP/1.0":     {strings.Replace(validHead, "1.1", "1.0", 1) + "X-Camphorbank-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nx", "HTTP/1.0 408", 300 * time.Millisecond, 2 * time.Second},
		"idle":         {validHead + "Content-Length: 1\r\n\r\nx", "HTTP/1.1 200", limits.IdleTimeout * 4 / 5, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
			addr := limitedServer(t, f, limits)
			started := time.Now()
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, c.input); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(started.Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(conn)
			took := time.Since(started)
			if err != nil || !strings.HasPrefix(string(got), c.want) || c.want == "" && len(got) > 0 {
				t.Errorf("got %q, %v", got, err)
			}
			if took < c.at || took > c.till {
				t.Errorf("the connection ended after %v, want %v to %v", took, c.at, c.till)
			}
			if n := f.arrivals(); n > 0 && name != "idle" {
				t.Errorf("%d requests reached targets", n)
			}
		})
	}
}
