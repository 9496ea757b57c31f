package entry

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	endlessFrameBytes = 256 << 10
	// maxEndlessBytes is far above any answer. An entry that takes as much keeps all that it gets.
	maxEndlessBytes = 64 << 20
)

// TestEndlessFrames guards against an entry that keeps the text of a local process that sends frames without end, until it runs out of
// memory and the requests of all its callers end with it.
func TestEndlessFrames(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "booking": false} {
		t.Run(name, func(t *testing.T) {
			sentBytes := 0
			f, e := newFaultyFirst(func(a wire.Attempt, onFrame func(wire.Frame) error) error {
				text := strings.Repeat("a", endlessFrameBytes)
				for seq := 0; sentBytes < maxEndlessBytes; seq++ {
					if err := onFrame(wire.Frame{ID: a.ID, Incarnation: "t0", Seq: seq, Kind: wire.FrameText, Text: text}); err != nil {
						return err
					}
					sentBytes += len(text)
				}
				return errBroken
			})
			var caller collector
			_, err := e.Do(t.Context(), f.request(t, "r", idempotent, time.Minute), &caller)
			var refusal *Refusal
			switch {
			case sentBytes >= maxEndlessBytes:
				t.Errorf("the entry took %d bytes", sentBytes)
			case idempotent && (err != nil || caller.text.String() != "whole"):
				t.Errorf("error %v, %d bytes at the caller, want the answer of the other target", err, caller.text.Len())
			case !idempotent && (!errors.As(err, &refusal) || refusal.Outcome != outcome.Unknown || f.sent["t1"] > 0):
				t.Errorf("error %v, sent %v, want an unknown outcome", err, f.sent)
			}
		})
	}
}
