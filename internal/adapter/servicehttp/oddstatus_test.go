package servicehttp

import (
	"context"
	"errors"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against a response whose status is none that reaches the caller of a booking as the answer. Its call has been
// sent.
func TestOddStatus(t *testing.T) {
	oddstatus.Check(t, "booked", func(ctx context.Context, addr string) error {
		_, err := New("http://"+addr).Call(ctx, "reserve", "slot")
		var notSent *port.NotSentError
		if errors.As(err, &notSent) {
			t.Errorf("the call counts as not sent: %v", err)
		}
		return err
	})
}
