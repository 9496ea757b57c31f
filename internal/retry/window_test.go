package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFleetStaysWithinAllowance guards against further attempts of all processes together that exceed the fleet's
// allowance in some window, wherever the window begins.
func TestFleetStaysWithinAllowance(t *testing.T) {
	const processes = 5
	a := Allowance{Share: 0.2, Slack: 92, Window: 10 * time.Second}
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	var fleets []*Fleet
	for range processes {
		f := NewFleet(a, func() time.Time { return now })
		f.SetProcesses(processes)
		fleets = append(fleets, f)
	}
	type event struct {
		at     time.Time
		repeat bool
	}
	var events []event
	for range 60_000 { // 60 s; requests stop after 30 s, repeats are wanted all the time
		now = now.Add(time.Millisecond)
		f := fleets[rng.IntN(processes)]
		if now.Before(time.Unix(1030, 0)) && rng.IntN(10) == 0 {
			f.Request("s")
			events = append(events, event{now, false})
		}
		if f.Take("s") {
			events = append(events, event{now, true})
		}
	}
	count := func(from time.Time, repeat bool) float64 {
		n := 0.0
		for _, e := range events {
			if e.repeat == repeat && !e.at.Before(from) && e.at.Before(from.Add(a.Window)) {
				n++
			}
		}
		return n
	}
	for from := time.Unix(1000, 0); from.Before(time.Unix(1050, 0)); from = from.Add(250 * time.Millisecond) {
		requests := max(count(from, false), count(from.Add(-a.Window), false), count(from.Add(-a.Window/2), false))
		if repeats := count(from, true); repeats > a.Share*requests+a.Slack {
			t.Fatalf("%v: %v repeats with %v requests", from, repeats, requests)
		}
	}
	if n := count(time.Unix(1010, 0), true); n < a.Slack/2 {
		t.Errorf("%v repeats in a window: the allowance is hardly used", n)
	}
}
