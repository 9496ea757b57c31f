package balance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// TestLimitedRequestDoesNotDelayOthers guards against requests that wait or are refused behind one that is limited to a full
// region, while another region has free places, and against limited requests that never get a place. Load pattern: one region
// is full.
func TestLimitedRequestDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		near := []*targetset.Target{{ID: "n", Addr: "n", Service: "s", Slots: 1, DataCentre: "near"}}
		all := append([]*targetset.Target{{ID: "f", Addr: "f", Service: "s", Slots: 4, DataCentre: "far"}}, near...)
		limited := &Job{Name: "s", MaxWait: time.Hour, Limit: "north", Targets: func() []*targetset.Target { return near }}
		free := &Job{Name: "s", MaxWait: time.Hour, Targets: func() []*targetset.Target { return all }}
		running := acquireAtOnce(t, b, limited, 2)
		waited := make(chan *Refusal, 1)
		go func() { _, r := b.Acquire(context.Background(), limited); waited <- r }()
		synctest.Wait()
		started := time.Now()
		for range 3 {
			if l, r := b.Acquire(context.Background(), free); r != nil || l.Target.ID != "f" || time.Since(started) > 0 {
				t.Fatalf("%v after %v", r, time.Since(started))
			}
		}
		running[0].Done(Served)
		if r := <-waited; r != nil || time.Since(started) > 0 {
			t.Errorf("limited request: %v after %v", r, time.Since(started))
		}
		late := *limited
		late.MaxWait = time.Second
		acquireAtOnceAfterDone(t, b, running[1], limited)
		if _, r := b.Acquire(context.Background(), &late); r == nil || r.Reason != ReasonFull {
			t.Errorf("limited request without a place: %+v", r)
		}
	})
}

// acquireAtOnceAfterDone frees a place and takes it again.
func acquireAtOnceAfterDone(t *testing.T, b *Balancer, l *Lease, job *Job) {
	t.Helper()
	l.Done(Served)
	if _, r := b.Acquire(context.Background(), job); r != nil {
		t.Fatal(r)
	}
}
