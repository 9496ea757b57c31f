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

// TestLimitedRequestsWaitInTurn guards against limited requests that do not count those ahead of them with the same limit, so
// that all of them wait although only the first can get a place in time. Load pattern: one region is full.
func TestLimitedRequestsWaitInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		near := []*targetset.Target{{ID: "n", Addr: "n", Service: "s", Slots: 1, DataCentre: "near"}}
		job := &Job{Name: "s", MaxWait: rateWindow, Limit: "north", Targets: func() []*targetset.Target { return near }}
		running := acquireAtOnce(t, b, job, 2) // shows that a place comes free in each rateWindow
		go func() { _, _ = b.Acquire(context.Background(), job) }()
		synctest.Wait()
		started := time.Now()
		if _, r := b.Acquire(context.Background(), job); r == nil || r.Reason != ReasonFull || time.Since(started) > 0 {
			t.Errorf("second in turn: %+v after %v", r, time.Since(started))
		}
		for _, l := range running {
			l.Done(Served)
		}
	})
}

// TestColdRegionDoesNotDelayOthers guards against requests that wait behind one that is limited to a region whose targets are at
// the limit of cold ones, while other targets have free places. Load pattern: a region that comes back cold.
func TestColdRegionDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list, limited := coldBalancer(1)
		limited.Limit, limited.MaxWait = "north", time.Hour
		for _, l := range acquireAll(b, &Job{Name: limited.Name, Service: limited.Service, Limit: limited.Limit, Targets: limited.Targets}) {
			l.Done(Served)
		}
		ctx, leave := context.WithCancel(context.Background())
		defer leave()
		go func() { _, _ = b.Acquire(ctx, limited) }()
		synctest.Wait()
		other := []*targetset.Target{{ID: "other", Addr: "other", Service: list[0].Service, Slots: 1, DataCentre: "far"}}
		free := &Job{Name: limited.Name, MaxWait: time.Hour, Targets: func() []*targetset.Target { return other }}
		started := time.Now()
		if _, r := b.Acquire(context.Background(), free); r != nil || time.Since(started) > 0 {
			t.Errorf("request with free places: %+v after %v", r, time.Since(started))
		}
	})
}
