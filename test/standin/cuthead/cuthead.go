// Package cuthead is a stand-in for an HTTP server that ends its connection after a part of the head of an answer. Bytes of the
// body may follow the cut.
package cuthead

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// callTimeout bounds one call. An answer without a whole head ends much sooner.
const callTimeout = 20 * time.Second

// heads are heads of whole answers.
var heads = map[string]string{
	"length":      "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Type: text/plain\r\nContent-Length: 1234\r\n\r\n",
	"chunks":      "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":    "HTTP/1.0 200 OK\r\nX-Stamp: s\r\nContent-Length: 1234\r\n\r\n",
	"folded line": "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n  t\r\n\tu\r\nContent-Length: 1234\r\n\r\n",
	"failure":     "HTTP/1.1 500 Internal Server Error\r\nX-Stamp: s\r\nContent-Length: 12\r\n\r\n",
	"informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
}

// bodies follow a cut head. Their first lines can be taken for header lines.
var bodies = map[string]string{
	"nothing":             "",
	"a line":              "hello: world\n",
	"an event with an id": "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	"an event with CRLF":  "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
	"a blank line":        "\n\nhello",
}

// Check makes a call against each cut, with a connection that is closed and one that is reset. call returns the error of the
// call, or nil if it takes the bytes for an answer.
func Check(t *testing.T, call func(ctx context.Context, addr string) error) {
	t.Helper()
	for name, head := range heads {
		for bodyName, body := range bodies {
			t.Run(name+"/"+bodyName, func(t *testing.T) {
				checkCuts(t, head, body, call)
			})
		}
	}
}

func checkCuts(t *testing.T, head, body string, call func(ctx context.Context, addr string) error) {
	s := start(t)
	for n := range len(head) {
		bytes := head[:n] + body
		if bytes == "" || strings.HasPrefix(bytes, head) {
			continue // no answer, or a whole head
		}
		for _, reset := range []bool{false, true} {
			s.answer.Store(&answer{bytes, reset})
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			if err := call(ctx, s.addr); err == nil || ctx.Err() != nil {
				t.Errorf("%q (reset: %v) counts as an answer; context %v", bytes, reset, ctx.Err())
			}
			cancel()
		}
	}
}

// answer is what is sent before the connection is closed or reset.
type answer struct {
	bytes string
	reset bool
}

type server struct {
	addr   string
	answer atomic.Pointer[answer]
}

func start(t *testing.T) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{addr: l.Addr().String()}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve answers a request for /whole with a whole answer, and any other one with the cut one.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/whole" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		a := s.answer.Load()
		_, _ = io.WriteString(c, a.bytes)
		if a.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}
