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
	"github.com/camphorbank/camphorbank/test/harness"
)

// TestResetWhileRequestIsSent guards against a response that ends with its connection and counts as complete although the
// connection was reset. The service responds before it has read the request. The write of the request then gets the error
// of the connection, so that the read of the response sees an end in order.
func TestResetWhileRequestIsSent(t *testing.T) {
	const (
		attempts     = 20 // the write and the read compete for the error
		requestBytes = 32 << 20
		resetDelay   = 10 * time.Millisecond
	)
	l, err := harness.ListenWithSmallWindow(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(resetDelay)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	client := New("http://" + l.Addr().String())
	for i := range attempts {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		res, err := client.Call(ctx, "reserve", strings.Repeat("a", requestBytes))
		cancel()
		var notSent *port.NotSentError
		if err == nil || errors.As(err, &notSent) {
			t.Fatalf("attempt %d: response %+v, error %v, want an error that does not say the request was not sent", i, res, err)
		}
	}
}
