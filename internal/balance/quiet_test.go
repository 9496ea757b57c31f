package balance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestCallersReturnSpreadAfterQuiet guards against callers that wait for targets that all want no requests, and against
// callers that all return at the moment at which the first target wants requests again. Load pattern: all targets of a
// service ask for quiet at once, and callers keep arriving.
func TestCallersReturnSpreadAfterQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet, callers = time.Second, 200
		b := New("near", time.Now)
		list := engines(4)
		job := modelJob(list)
		for range list {
			l, r := b.Acquire(context.Background(), job)
			if r != nil {
				t.Fatal(r)
			}
			l.KeepQuiet(quiet)
			l.Done(Refused)
		}
		start := time.Now()
		inWindow := map[time.Duration]int{}
		for range callers {
			_, r := b.Acquire(context.Background(), job)
			if r == nil || r.Reason != ReasonQuiet || r.RetryAfter < quiet {
				t.Fatalf("refusal %+v, want one of at least %v", r, quiet)
			}
			inWindow[r.RetryAfter/(quiet/10)]++
		}
		if d := time.Since(start); d > 0 {
			t.Errorf("callers waited %v for their refusals", d)
		}
		for window, n := range inWindow {
			if n > callers/2 {
				t.Errorf("%d of %d callers return in tenth %d", n, callers, window)
			}
		}
		time.Sleep(quiet)
		if _, r := b.Acquire(context.Background(), job); r != nil {
			t.Errorf("refused after the end of the quiet time: %+v", r)
		}
	})
}

// TestQuietOutlastsListing guards against a target that gets requests within its quiet time because it was missing from
// the list for a moment.
func TestQuietOutlastsListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(1)
		l, _ := b.Acquire(context.Background(), modelJob(list))
		l.KeepQuiet(time.Second)
		l.Done(Refused)
		b.Sweep(nil)
		if l, r := b.Acquire(context.Background(), modelJob(list)); r == nil {
			t.Errorf("request sent to %s", l.Target.ID)
		}
	})
}
