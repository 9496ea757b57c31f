package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFleetStaysWithinAllowance guards against all processes together exceeding the fleet's allowance of retries in
// some window, wherever the window begins.
func TestFleetStaysWithinAllowance(t *testing.T) {
	const processes = 5
	a := Allowance{Share: 0.2, Slack: 92, Window: 10 * time.Second}
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	var fleets []*FleetBudget
	for range processes {
		f := NewFleetBudget(a, true, func() time.Time { return now })
		f.SetProcesses(processes)
		fleets = append(fleets, f)
	}
	type event struct {
		at    time.Time
		retry bool
	}
	var events []event
	for range 60_000 { // 60 s; requests stop after 30 s, retries are tried throughout
		now = now.Add(time.Millisecond)
		f := fleets[rng.IntN(processes)]
		if now.Before(time.Unix(1030, 0)) && rng.IntN(10) == 0 {
			f.CountRequest("s")
			events = append(events, event{now, false})
		}
		if f.Take("s") {
			events = append(events, event{now, true})
		}
	}
	count := func(from time.Time, ofRetries bool) float64 {
		n := 0.0
		for _, e := range events {
			if e.retry == ofRetries && !e.at.Before(from) && e.at.Before(from.Add(a.Window)) {
				n++
			}
		}
		return n
	}
	for from := time.Unix(1000, 0); from.Before(time.Unix(1050, 0)); from = from.Add(250 * time.Millisecond) {
		requests := max(count(from, false), count(from.Add(-a.Window), false), count(from.Add(-a.Window/2), false))
		if retries := count(from, true); retries > a.Share*requests+a.Slack {
			t.Fatalf("%v: %v retries with %v requests", from, retries, requests)
		}
	}
	if n := count(time.Unix(1010, 0), true); n < a.Slack/2 {
		t.Errorf("%v retries in a window: less than half of the slack is used", n)
	}
}

// TestRestartsStayWithinAllowance guards against processes that are all killed at once and then each use the fleet's
// whole slack, since they know neither of each other nor of the retries made before. A larger deployment made 1,154
// retries where 933 were permitted.
func TestRestartsStayWithinAllowance(t *testing.T) {
	const processes = 16
	a := Allowance{Share: 0.2, Slack: 130, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	retries := 0
	for range 2 { // before and after the kill, within one window
		var fleets []*FleetBudget
		for range processes {
			fleets = append(fleets, NewFleetBudget(a, false, func() time.Time { return now }))
		}
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			for _, f := range fleets {
				if now.Sub(f.startedAt) > 500*time.Millisecond {
					f.SetProcesses(processes)
				}
				for f.Take("s") {
					retries++
				}
			}
		}
	}
	if retries > int(a.Slack) {
		t.Errorf("%d retries without any request, %v allowed", retries, a.Slack)
	}
}
