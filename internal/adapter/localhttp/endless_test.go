package localhttp

import (
	"context"
	"errors"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// TestEndlessAnswer guards against a local process that sends bytes without end in any part of an answer. An entry that
// keeps them uses up the memory of its VM. The attempt must not count as not sent.
func TestEndlessAnswer(t *testing.T) {
	endless.Check(t, smallAnswerBytes, func(ctx context.Context, addr string) error {
		err := New(nil).Send(ctx, addr, wire.Attempt{}, func(wire.Frame) error { return nil })
		var notSent *port.NotSentError
		if errors.As(err, &notSent) {
			t.Errorf("the attempt counts as not sent: %v", err)
		}
		return err
	})
}

// smallAnswerBytes is more than these answers need before their decoding fails.
const smallAnswerBytes = 1 << 20
