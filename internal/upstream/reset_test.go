package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/harness"
)

const (
	// unreadBodyBytes is more than the kernel buffers of a connection to a peer that does not read.
	unreadBodyBytes = 32 << 20
	// resetDelay is the time between the answer of a target and its reset of the connection.
	resetDelay = 20 * time.Millisecond
)

// TestResetWhileRequestIsSent guards against an answer that ends with its connection and counts as complete although the
// connection was reset. The target answers before it has read the body of the request. The write of the body then gets the
// error of the connection, so that the read of the answer sees an end in order.
func TestResetWhileRequestIsSent(t *testing.T) {
	const part = "half of the answer"
	for name, c := range map[string]struct {
		head     string
		complete bool
	}{
		"end of the connection": {"HTTP/1.1 200 OK\r\n\r\n", false},
		"HTTP/1.0":              {"HTTP/1.0 200 OK\r\n\r\n", false},
		"stream of events":      {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", false},
		"after informational":   {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		"short of its length":   {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", false},
		"within chunks":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n", false},
		"whole by its length":   {"HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := harness.ListenWithSmallWindow(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go answerAndReset(l, c.head+part)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			resp, err := NewPool().Do(ctx, l.Addr().String(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, unreadBodyBytes)})
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Finish(err == nil)
			if complete := err == nil; complete != c.complete || !strings.HasPrefix(string(body), part) {
				t.Errorf("body %q, error %v, want complete: %v", body, err, c.complete)
			}
		})
	}
}

// answerAndReset accepts one connection, reads the first bytes of its request, sends the answer and resets the connection.
func answerAndReset(l net.Listener, answer string) {
	c, err := l.Accept()
	if err != nil {
		return
	}
	_, _ = c.Read(make([]byte, 1))
	_, _ = io.WriteString(c, answer)
	time.Sleep(resetDelay)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
