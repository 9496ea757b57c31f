// Package oddstatus is a stand-in for an HTTP server whose answers are well-formed but for a status that is not one of a final answer.
package oddstatus

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

// Statuses are three digits that are no status of a final answer.
var Statuses = []string{"000", "001", "020", "099", "101", "600", "999"}

// callTimeout bounds a call. One that ends only by it has waited for another answer.
const callTimeout = 5 * time.Second

// Check tests that a call fails for each of Statuses, at once, whether a body follows or not. The body is that of a sound answer.
func Check(t *testing.T, body string, call func(ctx context.Context, addr string) error) {
	t.Helper()
	for _, status := range Statuses {
		for _, b := range []string{"", body} {
			t.Run(fmt.Sprintf("%s with %d bytes", status, len(b)), func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
				defer cancel()
				err := call(ctx, Start(t, status, b))
				if err == nil || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
					t.Errorf("error %v, context %v, want an error at once", err, ctx.Err())
				}
			})
		}
	}
}

// Start starts a server that answers each request with the status and the body, and keeps the connection open. It returns its
// address.
func Start(t *testing.T, status, body string) string {
	t.Helper()
	s, err := target.Start(target.Raw(Head(status)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), true))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addr
}

// Head returns the status line of an answer.
func Head(status string) string { return "HTTP/1.1 " + status + " Odd\r\n" }
