package servicehttp

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// TestEndlessResponse guards against a service that sends bytes without end in any part of a response, which must neither be
// stored nor read until the deadline, and whose call must not be reported as not sent.
func TestEndlessResponse(t *testing.T) {
	const maxSent = 16 << 20 // with the buffers of the connection
	for _, a := range endless.Answers {
		t.Run(a.Name, func(t *testing.T) {
			s, err := endless.Start(a)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			res, err := New("http://"+s.Addr).Call(ctx, "reserve", "slot")
			var notSent *port.NotSentError
			if err == nil || errors.As(err, &notSent) || ctx.Err() != nil {
				t.Errorf("status %d with %d bytes, error %v", res.Status, len(res.Body), err)
			}
			if n := s.Close(); n > maxSent {
				t.Errorf("the service could send %d bytes", n)
			}
		})
	}
}
