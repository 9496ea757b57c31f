package rankgroup

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestTraceSeed logs the orders of one run, to debug a seed that failed: TRACE_SEED=4 go test -run TestTraceSeed -v. With
// TRACE_UNFENCED=1 the engines ignore fencing numbers.
func TestTraceSeed(t *testing.T) {
	var seed uint64
	if _, err := fmt.Sscan(os.Getenv("TRACE_SEED"), &seed); err != nil {
		t.Skip("TRACE_SEED names no seed")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, seed, smallSize)
		unfenced := os.Getenv("TRACE_UNFENCED") != ""
		f.g.Late, f.g.Unfenced, f.unfenced = lateOrderShare(seed), unfenced, unfenced
		start := time.Now()
		f.g.Trace = func(format string, args ...any) {
			t.Logf("%8s "+format, append([]any{time.Since(start)}, args...)...)
		}
		f.runWithFaults(seed, 40*time.Second)
		f.checkNoMixedStep(seed)
	})
}
