package localhttp

import (
	"context"
	"errors"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against an answer of a local process whose status is none, whose frames are passed on or whose attempt counts
// as not sent.
func TestOddStatus(t *testing.T) {
	frames := func(wire.Frame) error {
		t.Error("a frame is passed on")
		return nil
	}
	for name, call := range map[string]func(context.Context, string) error{
		"send":   func(ctx context.Context, addr string) error { return New(nil).Send(ctx, addr, wire.Attempt{}, frames) },
		"resume": func(ctx context.Context, addr string) error { return New(nil).Resume(ctx, addr, wire.Resume{}, frames) },
	} {
		t.Run(name, func(t *testing.T) {
			oddstatus.Check(t, `{"kind":"end"}`, func(ctx context.Context, addr string) error {
				err := call(ctx, addr)
				var notSent *port.NotSentError
				if errors.As(err, &notSent) || errors.Is(err, port.ErrUnknownAttempt) {
					t.Errorf("the attempt counts as not sent: %v", err)
				}
				return err
			})
		})
	}
}
