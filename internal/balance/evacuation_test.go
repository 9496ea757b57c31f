package balance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// TestEvacuationEndsWait guards against callers that wait for their deadline although the data centres of all targets are
// evacuated, and against callers of another service that are refused with them. Load pattern: an evacuation at a peak, with
// all places taken.
func TestEvacuationEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := []*targetset.Target{{ID: "i", Addr: "a", Service: "s", Slots: 1, DataCentre: "near"}}
		other := []*targetset.Target{{ID: "o", Addr: "o", Service: "o", Slots: 1, DataCentre: "far"}}
		job := &Job{Name: "s", MaxWait: time.Hour, Remaining: 2 * time.Hour, Returning: true,
			Targets:   func() []*targetset.Target { return list },
			NoTargets: func() Reason { return ReasonEvacuated }}
		otherJob := &Job{Name: "o", MaxWait: time.Hour, Targets: func() []*targetset.Target { return other }}
		running := acquireAtOnce(t, b, job, 2)
		otherRunning := acquireAtOnce(t, b, otherJob, 2)
		refused, served := make(chan *Refusal, 2), make(chan *Refusal, 1)
		for range 2 {
			go func() { _, r := b.Acquire(context.Background(), job); refused <- r }()
		}
		go func() { _, r := b.Acquire(context.Background(), otherJob); served <- r }()
		synctest.Wait()
		list = nil
		started := time.Now()
		b.Sweep(nil)
		for range 2 {
			if r := <-refused; r == nil || r.Reason != ReasonEvacuated || r.RetryAfter <= 0 || r.RetryAfter > maxRetryAfter || time.Since(started) > 0 {
				t.Errorf("%+v after %v", r, time.Since(started))
			}
		}
		if _, r := b.Acquire(context.Background(), job); r == nil || r.Reason != ReasonEvacuated || time.Since(started) > 0 {
			t.Errorf("new caller: %+v after %v", r, time.Since(started))
		}
		otherRunning[0].Done(Served)
		if r := <-served; r != nil {
			t.Errorf("caller of the other service: %+v", r)
		}
		for _, l := range running {
			l.Done(Served)
		}
	})
}

// acquireAtOnce takes n places, which must be free, and frees and takes the last one again, so that places count as being freed.
func acquireAtOnce(t *testing.T, b *Balancer, job *Job, n int) []*Lease {
	t.Helper()
	var out []*Lease
	for range n + 1 {
		if len(out) == n {
			out[n-1].Done(Served)
			out = out[:n-1]
		}
		l, r := b.Acquire(context.Background(), job)
		if r != nil {
			t.Fatal(r)
		}
		out = append(out, l)
	}
	return out
}

// TestEvacuatedRanksShareWork guards against a group that refuses requests which it could serve in time, because the ranks of an
// evacuated data centre are left out of its work although they still execute the experts' share of each step.
// Load pattern: an evacuation at a peak.
func TestEvacuatedRanksShareWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := engines(12)
		admitted := func(usable, setAside []*targetset.Target) int {
			b := New("near", time.Now)
			b.UpdateGroup(groupReport("g", 1, list, 1.1))
			job := modelJob(usable)
			job.SetAside = func() []*targetset.Target { return setAside }
			return len(acquireAll(b, job))
		}
		all, left, shared := admitted(list, nil), admitted(list[:8], nil), admitted(list[:8], list[8:])
		if shared <= left || shared > all {
			t.Errorf("%d requests admitted, want more than the %d without the evacuated ranks, and at most the %d of the whole group", shared, left, all)
		}
	})
}
