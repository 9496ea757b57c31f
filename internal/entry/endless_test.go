package entry

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// endlessFleet is a fleet whose first target sends text frames without end, and whose second one answers at once.
type endlessFleet struct {
	*scriptedFleet
	sentBytes int // of text by the first target
}

const (
	endlessFrameBytes = 256 << 10
	// maxEndlessBytes is far above any answer. An entry that takes as much keeps all that it gets.
	maxEndlessBytes = 64 << 20
)

func (f *endlessFleet) Send(ctx context.Context, addr string, a wire.Attempt, onFrame func(wire.Frame) error) error {
	if addr != "t0" || a.Incarnation == "" {
		return f.scriptedFleet.Send(ctx, addr, a, onFrame)
	}
	text := strings.Repeat("a", endlessFrameBytes)
	for seq := 0; f.sentBytes < maxEndlessBytes; seq++ {
		if err := onFrame(wire.Frame{ID: a.ID, Incarnation: addr, Seq: seq, Kind: wire.FrameText, Text: text}); err != nil {
			return err
		}
		f.sentBytes += len(text)
	}
	return errBroken
}

// TestEndlessFrames guards against an entry that keeps the text of a local process that sends frames without end, until it runs out of
// memory and the requests of all its callers end with it.
func TestEndlessFrames(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "booking": false} {
		t.Run(name, func(t *testing.T) {
			f := &endlessFleet{scriptedFleet: newScriptedFleet(map[string]targetBehaviour{"t0": {}, "t1": {}})}
			f.vms[1].DataCentre = "far" // so that t0 is the first choice
			e := f.entry(1)
			e.opt.Sender = f
			e.storeIncarnation("t0", "t0")
			var caller collector
			_, err := e.Do(t.Context(), f.request(t, "r", idempotent, time.Minute), &caller)
			var refusal *Refusal
			switch {
			case f.sentBytes >= maxEndlessBytes:
				t.Errorf("the entry took %d bytes", f.sentBytes)
			case idempotent && (err != nil || caller.text.String() != "whole"):
				t.Errorf("error %v, %d bytes at the caller, want the answer of the other target", err, caller.text.Len())
			case !idempotent && (!errors.As(err, &refusal) || refusal.Outcome != outcome.Unknown || f.sent["t1"] > 0):
				t.Errorf("error %v, sent %v, want an unknown outcome", err, f.sent)
			}
		})
	}
}
