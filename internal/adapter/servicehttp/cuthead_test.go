package servicehttp

import (
	"context"
	"errors"
	"os"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/cuthead"
)

// TestCutHeadIsNoResponse guards against a head that was cut off and counts as a response, so that the caller gets a success with
// an empty or a short body; and against a call that counts as not sent after that.
func TestCutHeadIsNoResponse(t *testing.T) {
	cuthead.Check(t, func(ctx context.Context, addr string) error {
		_, err := New("http://"+addr).Call(ctx, "reserve", "slot")
		var notSent *port.NotSentError
		if errors.As(err, &notSent) && !os.IsTimeout(notSent.Err) { // a busy machine may need longer than dialTimeout
			t.Errorf("the call counts as not sent: %v", err)
		}
		return err
	})
}
