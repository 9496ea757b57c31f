package entry

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// TestOddStatus guards against an answer with a status like 000 that a local process of another build has taken from a service in
// trouble, and that the entry passes on as the answer to a call.
func TestOddStatus(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		for name, idempotent := range map[string]bool{"idempotent": true, "booking": false} {
			t.Run(fmt.Sprintf("%03d/%s", status, name), func(t *testing.T) {
				f, e := newFaultyFirst(func(a wire.Attempt, onFrame func(wire.Frame) error) error {
					return onFrame(wire.Frame{ID: a.ID, Incarnation: "t0", Kind: wire.FrameEnd, Status: status, TextHash: stream.Hash("")})
				})
				answer, err := e.Do(t.Context(), f.request(t, "r", idempotent, time.Minute), &collector{})
				var refusal *Refusal
				switch {
				case idempotent && (err != nil || answer.Target != "t1"):
					t.Errorf("answer %+v, error %v, want the answer of the other target", answer, err)
				case !idempotent && (!errors.As(err, &refusal) || refusal.Outcome != outcome.Unknown || f.sent["t1"] > 0):
					t.Errorf("answer %+v, error %v, sent %v, want an unknown outcome", answer, err, f.sent)
				}
			})
		}
	}
}
