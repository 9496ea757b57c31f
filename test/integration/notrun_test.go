package integration

import (
	"slices"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/harness"
)

// sendOverLink sends a booking in the background and waits until its request has reached the link in front of the local
// process. The result is sent on the returned channel.
func sendOverLink(t *testing.T, f *fleet, addr, body string, deadline time.Duration) <-chan callerResult {
	t.Helper()
	link := harness.LinksOf(f.targets[0]).Data
	before := requestCount(link)
	out := make(chan callerResult, 1)
	go func() { out <- call(addr, "reserve", body, "", deadline) }()
	check(t, localfleet.WaitFor("request on the link", func() bool { return requestCount(link) > before }))
	return out
}

// requestCount returns how many requests the link has seen.
func requestCount(l *faultproxy.Link) (n int) {
	for _, v := range l.Counts() {
		n += v
	}
	return n
}

// TestNotRunIsTrue guards against a booking that runs after its caller was told not-run, with one failure at
// a time.
func TestNotRunIsTrue(t *testing.T) {
	for _, c := range []struct {
		name string
		// send sends the booking while it injects the failure, and returns what the caller was told.
		send func(t *testing.T, f *fleet, addr, body string) callerResult
		want []outcome.Outcome // nil if any outcome is permitted
	}{
		{"reply lost while queued", func(t *testing.T, f *fleet, addr, body string) callerResult {
			first := sendOverLink(t, f, addr, "occupies-"+body, 3*time.Second)
			got := sendOverLink(t, f, addr, body, 3*time.Second)
			harness.LinksOf(f.targets[0]).Data.Cut()
			<-first
			return <-got
		}, []outcome.Outcome{outcome.Completed, outcome.NotRun}}, // both links work again, so that the entry can find out
		{"reply lost after the run", func(t *testing.T, f *fleet, addr, body string) callerResult {
			harness.LinksOf(f.targets[0]).Data.SetPlan(func(int) faultproxy.Injection { return faultproxy.Injection{Fault: faultproxy.CutResponse} })
			defer harness.LinksOf(f.targets[0]).Data.SetPlan(nil)
			return call(addr, "reserve", body, "", 2*time.Second)
		}, []outcome.Outcome{outcome.Completed, outcome.Unknown}},
		{"control link partitioned too", func(t *testing.T, f *fleet, addr, body string) callerResult {
			harness.LinksOf(f.targets[0]).Control.Partition()
			defer harness.LinksOf(f.targets[0]).Control.Heal()
			harness.LinksOf(f.targets[0]).Data.Hold()
			got := <-sendOverLink(t, f, addr, body, 500*time.Millisecond)
			harness.LinksOf(f.targets[0]).Data.Heal()
			return got
		}, []outcome.Outcome{outcome.Unknown}},
		{"process frozen and woken after the caller was told", func(t *testing.T, f *fleet, addr, body string) callerResult {
			check(t, f.targets[0].Suspend())
			got := <-sendOverLink(t, f, addr, body, 500*time.Millisecond)
			check(t, f.targets[0].Resume())
			return got
		}, nil},
		{"frozen while queued", func(t *testing.T, f *fleet, addr, body string) callerResult {
			first := sendOverLink(t, f, addr, "occupies-"+body, 2*time.Second)
			got := sendOverLink(t, f, addr, body, 500*time.Millisecond)
			check(t, f.targets[0].Suspend())
			res := <-got
			check(t, f.targets[0].Resume())
			<-first
			return res
		}, nil},
		{"connection reset before the request arrives", func(t *testing.T, f *fleet, addr, body string) callerResult {
			harness.LinksOf(f.targets[0]).Data.SetPlan(func(int) faultproxy.Injection {
				return faultproxy.Injection{Fault: faultproxy.Redeliver, Wait: 800 * time.Millisecond}
			})
			defer harness.LinksOf(f.targets[0]).Data.SetPlan(nil)
			return call(addr, "reserve", body, "", 2*time.Second)
		}, nil},
		{"process restarted while the request was on its way", func(t *testing.T, f *fleet, addr, body string) callerResult {
			harness.LinksOf(f.targets[0]).Data.SetPlan(func(int) faultproxy.Injection {
				return faultproxy.Injection{Fault: faultproxy.Redeliver, Wait: 1500 * time.Millisecond}
			})
			got := sendOverLink(t, f, addr, body, 2*time.Second)
			f.targets[0].Kill()
			check(t, f.Restart(f.targets[0]))
			harness.LinksOf(f.targets[0]).Data.SetPlan(nil)
			return <-got
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := &fleet{Fleet: newFleet(t)}
			f.Proxied = true
			f.targets = append(f.targets, startTargetWithSlots(t, f.Fleet, 1, "desk-1", desks(1, "-took", "700ms")))
			e, err := f.StartEntry("entry-1", "zh-1")
			check(t, err)
			f.entries = append(f.entries, e)
			check(t, localfleet.WaitFor("the entry knows the incarnation", func() bool {
				return call(e.Callers, "status", "warm-up", "", 2*time.Second).outcome == outcome.Completed
			}))
			got := c.send(t, f, e.Callers, "slot")
			f.endFaultsAndStop(t)
			runs := f.deskRuns(t)["reserve slot"]
			t.Logf("told %s %s, ran %d times", got.outcome, got.reason, runs)
			if got.outcome == outcome.NotRun && runs > 0 || got.outcome == outcome.Completed && runs != 1 || runs > 1 {
				t.Errorf("ran %d times; its caller was told %+v", runs, got)
			}
			if c.want != nil && !slices.Contains(c.want, got.outcome) {
				t.Errorf("told %+v, want one of %v", got, c.want)
			}
		})
	}
}
