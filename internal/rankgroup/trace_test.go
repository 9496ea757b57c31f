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
	seed, ok := traceSeed()
	if !ok {
		t.Skip("TRACE_SEED names no seed")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, seed, smallSize)
		unfenced := os.Getenv("TRACE_UNFENCED") != ""
		f.g.Late, f.g.Unfenced, f.unfenced = lateOrderShare(seed), unfenced, unfenced
		f.traceTo(t)
		f.runWithFaults(seed, 40*time.Second)
		f.checkNoMixedStep(seed)
	})
}

// traceSeed returns the seed that TRACE_SEED names, and false if it names none.
func traceSeed() (seed uint64, ok bool) {
	_, err := fmt.Sscan(os.Getenv("TRACE_SEED"), &seed)
	return seed, err == nil
}

// traceTo logs the orders and steps of the group with the time since the call.
func (f *testFleet) traceTo(t *testing.T) {
	start := time.Now()
	f.g.Trace = func(format string, args ...any) {
		t.Logf("%8s "+format, append([]any{time.Since(start)}, args...)...)
	}
}
