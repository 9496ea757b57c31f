package servicehttp

import (
	"context"
	"errors"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// TestEndlessResponse guards against a service that sends bytes without end in any part of a response, which must neither be
// stored nor read until the deadline, and whose call must not be reported as not sent.
func TestEndlessResponse(t *testing.T) {
	endless.Check(t, maxBodyBytes, func(ctx context.Context, addr string) error {
		_, err := New("http://"+addr).Call(ctx, "reserve", "slot")
		var notSent *port.NotSentError
		if errors.As(err, &notSent) {
			t.Errorf("the call counts as not sent: %v", err)
		}
		return err
	})
}
