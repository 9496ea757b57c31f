// Package latecopy is a stand-in for an HTTP server that sends an answer twice. The second copy arrives late, when the next
// request has been sent on the connection.
package latecopy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that gives the answers in order and, before each one on a connection in use, sends the one before it
// once more. It returns the address.
func Start(t *testing.T, answers ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, next)
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, next <-chan string) {
	defer c.Close()
	r, before := bufio.NewReader(c), ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		own := ""
		select {
		case own = <-next:
		default: // no answer is left, and the copy is all that is sent
		}
		if _, err := io.WriteString(c, before+own); err != nil || req.Close || own == "" {
			return
		}
		before = own
	}
}

// Answer returns an answer with a status and a body.
func Answer(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}
