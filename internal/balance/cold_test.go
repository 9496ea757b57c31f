package balance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/coldstart"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// coldBalancer returns a balancer with one group of engines whose service states a rate for cold ones, and a job.
func coldBalancer(n int) (*Balancer, []*targetset.Target, *Job) {
	b := New("near", time.Now)
	b.Cold = coldstart.New(coldstart.Bounds{Overshoot: 1.5, Slack: 5}, true, time.Now())
	service := *testModel
	service.ColdRate, service.ColdStart = 4, 3*time.Second
	list := engines(n)
	b.UpdateGroup(groupReport("g", 1, list, 1.1))
	job := modelJob(list)
	job.Service = &service
	knowAlone(b)
	time.Sleep(3 * time.Second) // until the process knows that it is the only entry
	knowAlone(b)
	return b, list, job
}

// knowAlone tells the limiter that the process is the only entry.
func knowAlone(b *Balancer) { b.Cold.SetFleet(coldstart.Fleet{Known: 1, Reachable: 1}, time.Now()) }

// TestColdEnginesInWarmGroup guards against requests that the cold engines of a group cannot take and that are refused
// or wait, although the group's other engines have places. Load pattern: half of a group cold.
func TestColdEnginesInWarmGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list, job := coldBalancer(8)
		atCold := 0
		for i, target := range list[:4] {
			changed := *target
			changed.ColdFor = 3 * time.Second
			list[i] = &changed
		}
		for range 24 {
			l, r := b.Acquire(context.Background(), job)
			if r != nil {
				t.Fatalf("refused: %+v", r)
			}
			if l.Target.ColdFor > 0 {
				atCold++
			}
		}
		if atCold > 4 {
			t.Errorf("%d requests at once at 4 cold engines", atCold)
		}
	})
}

// TestAllTargetsAtColdLimit guards against requests beyond the limit when no other target is left, against a reason that
// names full targets, and against callers that are told to return long after places are free. A waiting request gets the
// first one.
func TestAllTargetsAtColdLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list, job := coldBalancer(2)
		leases := acquireAll(b, job)
		if n := len(leases); n != 2*6 { // 0.6 * (1.5 * 4 + 5) at each target
			t.Errorf("%d requests in a second", n)
		}
		_, r := b.Acquire(context.Background(), job)
		if r == nil || r.Reason != ReasonCold || r.RetryAfter > time.Second {
			t.Errorf("refusal %+v", r)
		}
		for _, l := range leases {
			l.Done(Served) // freed places do not count against the limit
		}
		job.MaxWait = 1500 * time.Millisecond
		go func() {
			time.Sleep(1200 * time.Millisecond)
			knowAlone(b)
			b.Sweep(map[string]*targetset.Target{list[0].ID: list[0], list[1].ID: list[1]})
		}()
		if _, r := b.Acquire(context.Background(), job); r != nil {
			t.Errorf("the waiting request was refused: %+v", r)
		}
	})
}

// TestColdLimitAfterWait guards against a refusal after a wait for the limit that names full targets.
func TestColdLimitAfterWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _, job := coldBalancer(1)
		for _, l := range acquireAll(b, job) {
			l.Done(Served)
		}
		if _, r := b.Acquire(context.Background(), job); r == nil || r.Reason != ReasonCold {
			t.Errorf("refusal %+v", r)
		}
	})
}

// TestServiceWithoutColdRate guards against a limit on targets of services that state no rate, and against state that is
// kept for them.
func TestServiceWithoutColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list, job := coldBalancer(1)
		job.Service = &routetable.Service{Name: "m", Engine: testModel.Engine}
		list[0].ColdFor = time.Minute
		unlimited := New("near", time.Now)
		unlimited.UpdateGroup(groupReport("g", 1, list, 1.1))
		leases, want := acquireAll(b, job), len(acquireAll(unlimited, job))
		if len(leases) != want {
			t.Errorf("%d requests at the target, %d without a limiter", len(leases), want)
		}
		if leases[0].cold != nil || !leases[0].MaySend() || b.Cold.ColdTargets(time.Now()) > 0 {
			t.Error("the target is limited")
		}
	})
}
