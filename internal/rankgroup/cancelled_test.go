package rankgroup

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestCancelledSwitchIsNoticed guards against a coordinator that waits for a switch forever which another one has cancelled. The
// process beside rank 0 is suspended after it has armed all ranks of an idle group and released the hold. The process beside
// rank 1 takes over for a moment. It reads rank 0 from its own VM, so it disarms all ranks.
func TestCancelledSwitchIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, laggedSize(smallSize, 200*time.Millisecond))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		busy, idle := context.WithCancel(ctx)
		var suspended atomic.Bool
		f.notify = func(e Event) {
			if e.Kind == EventSwitched && f.switched.Load() == 1 {
				suspended.Store(true)
				idle()
			}
		}
		go f.history.run(ctx)
		go f.g.Run(busy)
		go f.coordinate(ctx, 0, always, func(int) bool {
			for suspended.Load() {
				time.Sleep(time.Millisecond)
			}
			return false
		})
		<-busy.Done()
		other, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		f.coordinate(other, 1, always, func(rank int) bool { return rank == 0 })
		stop()
		suspended.Store(false)
		go f.g.Run(ctx)
		for i := range 20 {
			f.g.SetPopular(i % (f.size.shape.Experts - 1))
			time.Sleep(time.Second)
		}
		if f.switched.Load() == 1 {
			t.Errorf("no switch in 20 s and %d steps after the first one was cancelled", f.g.Step())
		}
		cancel()
		time.Sleep(15 * time.Second) // until all late orders have been carried out
		f.checkNoMixedStep(1)
	})
}
