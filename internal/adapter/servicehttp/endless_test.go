package servicehttp

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
)

// serveEndless answers each connection with the start and then with the same bytes until it is closed. It returns the base
// URL and a channel that receives the number of bytes that a connection took.
func serveEndless(t *testing.T, start, again string) (base string, sent <-chan int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	counts := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		total, _ := io.WriteString(c, start)
		data := strings.Repeat(again, 1+4096/len(again))
		for {
			n, err := io.WriteString(c, data)
			if total += n; err != nil {
				counts <- total
				return
			}
		}
	}()
	return "http://" + l.Addr().String(), counts
}

// TestEndlessResponse guards against a service that sends bytes without end in any part of a response, which must neither be
// stored nor read until the deadline, and whose call must not be reported as not sent.
func TestEndlessResponse(t *testing.T) {
	const maxSent = 16 << 20 // with the buffers of the connection
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct{ start, again string }{
		"status line":         {"HTTP/1.1 200 ", "a"},
		"header line":         {"HTTP/1.1 200 OK\r\nX: ", "a"},
		"header lines":        {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational heads": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":         {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"body":                {"HTTP/1.1 200 OK\r\n\r\n", "a"},
		"body over HTTP/1.0":  {"HTTP/1.0 200 OK\r\n\r\n", "a"},
		"chunks":              {chunked, "1\r\na\r\n"},
		"chunk extension":     {chunked + "1;", "a"},
		"chunk extensions":    {chunked, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"trailer line":        {chunked + "0\r\nA: ", "a"},
		"trailer lines":       {chunked + "0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			base, sent := serveEndless(t, c.start, c.again)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			res, err := New(base).Call(ctx, "reserve", "slot")
			var notSent *port.NotSentError
			if err == nil || errors.As(err, &notSent) || ctx.Err() != nil {
				t.Errorf("status %d with %d bytes, error %v", res.Status, len(res.Body), err)
			}
			if n := <-sent; n > maxSent {
				t.Errorf("the service could send %d bytes", n)
			}
		})
	}
}
