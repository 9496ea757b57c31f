package coldstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	testEntries = 11
	testBound   = 56 // Overshoot * ColdRate + Slack
)

var (
	testBounds  = Bounds{Overshoot: 1.5, Slack: 5}
	testService = &routetable.Service{Name: "m", ColdRate: 34, ColdStart: 3 * time.Second}
	testStart   = time.Unix(1000, 0)
)

func testTargets(n int) []*targetset.Target {
	var out []*targetset.Target
	for i := range n {
		out = append(out, &targetset.Target{ID: fmt.Sprint("i-", i), StartedAtMs: 1, Position: targetset.Position{Revision: 1}})
	}
	return out
}

// fleet is a number of entries that send requests to the same targets.
type fleet struct {
	now      time.Time
	limiters []*Limiter
	targets  []*targetset.Target
	sent     map[string][]time.Time // by target id
	refused  int
}

// newFleet returns a fleet whose entries know each other, long after the first start.
func newFleet(entries, targets int) *fleet {
	f := &fleet{now: testStart, targets: testTargets(targets), sent: map[string][]time.Time{}}
	f.add(entries, true)
	known := Fleet{entries, entries, min(2, entries-1)}
	f.learn(known)
	f.now = f.now.Add(settleTime)
	f.learn(known)
	return f
}

func (f *fleet) add(n int, firstStart bool) {
	for range n {
		f.limiters = append(f.limiters, New(testBounds, firstStart, f.now))
	}
}

func (f *fleet) learn(known Fleet) {
	for _, l := range f.limiters {
		l.SetFleet(known, f.now)
	}
}

// request sends a request from an entry to the first target in the order that may get it. It returns false if there is
// none.
func (f *fleet) request(l *Limiter, order []*targetset.Target) bool {
	rates := l.Rates(testService, f.targets, f.now)
	for _, t := range order {
		if rates.Allow(t, f.now) {
			rates.Take(t, f.now)
			f.sent[t.ID] = append(f.sent[t.ID], f.now)
			return true
		}
	}
	f.refused++
	return false
}

// hammer lets each entry send as many requests to the targets as it may for some time. during is called at each step.
func (f *fleet) hammer(d time.Duration, during func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		during()
		for _, l := range f.limiters {
			sent := f.request(l, f.targets)
			for sent {
				sent = f.request(l, f.targets)
			}
		}
	}
}

// busiestSecond returns the largest number of requests that one target has got in any second.
func (f *fleet) busiestSecond() int {
	most := 0
	for _, sent := range f.sent {
		slices.SortFunc(sent, time.Time.Compare)
		first := 0
		for i, at := range sent {
			for at.Sub(sent[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestDataCentreBackCold guards against a peak that goes to the targets of a data centre that come back cold and idle,
// since they look the best, and against refusals while other targets are free. Load pattern: data centre back cold.
func TestDataCentreBackCold(t *testing.T) {
	const perSecond = 450
	for name, limited := range map[string]bool{"limited": true, "baseline": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(testEntries, 63)
			if !limited {
				for _, l := range f.limiters {
					l.SetBounds(Bounds{})
				}
			}
			warm, cold := slices.Clone(f.targets[21:]), f.targets[:21]
			for i, c := range cold { // their entries were written again
				changed := *c
				changed.ColdFor, changed.Revision = 3*time.Second, 2
				cold[i] = &changed
			}
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range 3 * perSecond {
				f.now = testStart.Add(settleTime + time.Duration(i)*time.Second/perSecond)
				if i%100 == 0 {
					f.learn(Fleet{testEntries, testEntries, 2})
				}
				rng.Shuffle(len(warm), func(i, k int) { warm[i], warm[k] = warm[k], warm[i] })
				f.request(f.limiters[rng.IntN(testEntries)], append(slices.Clone(cold), warm...))
			}
			most := f.busiestSecond()
			if limited && (most > int(testService.ColdRate) || f.refused > 0) {
				t.Errorf("%d requests in a second at a cold target that tolerates %v, %d requests refused", most, testService.ColdRate, f.refused)
			}
			if !limited && most <= testBound {
				t.Errorf("%d requests in a second without the limit: the load shows nothing", most)
			}
		})
	}
}

// TestRampOfColdTarget guards against sending the whole tolerated rate to a target from the first moment of its start.
func TestRampOfColdTarget(t *testing.T) {
	f := newFleet(testEntries, 1)
	f.targets[0].ColdFor = 3 * time.Second
	f.hammer(3*time.Second, func() { f.learn(Fleet{testEntries, testEntries, 2}) })
	count := func(from, to time.Duration) (n int) {
		for _, at := range f.sent["i-0"] {
			if d := at.Sub(f.sent["i-0"][0]); d >= from && d < to {
				n++
			}
		}
		return n
	}
	first, last := count(0, time.Second), count(2*time.Second, 3*time.Second)
	if last > int(testService.ColdRate) || last < int(testService.ColdRate/2) || first > 2*last/3+testEntries {
		t.Errorf("%d requests in the first second, %d in the last one", first, last)
	}
}

// TestBoundHoldsWithoutSign guards against more requests in a second than a target survives that became cold without
// a sign, as the fleet changes. Each entry sends as much as it may to one target.
func TestBoundHoldsWithoutSign(t *testing.T) {
	steady := Fleet{testEntries, testEntries, 2}
	for name, run := range map[string]func(f *fleet){
		"steady": func(f *fleet) { f.hammer(3*time.Second, func() { f.learn(steady) }) },
		"all entries restart at once": func(f *fleet) {
			const entries = 20
			steady := Fleet{entries, entries, 2}
			f.add(entries-testEntries, true)
			f.learn(steady)
			f.now = f.now.Add(settleTime)
			f.hammer(windowLength+200*time.Millisecond, func() { f.learn(steady) }) // ends shortly after each has used its share
			restarted := f.now
			f.limiters = nil
			f.add(entries, false)
			f.hammer(5*time.Second, func() {
				switch since := f.now.Sub(restarted); {
				case since < 300*time.Millisecond:
					f.learn(Fleet{1, 1, 2})
				case since < 600*time.Millisecond:
					f.learn(Fleet{3, 2, 2})
				default:
					f.learn(steady)
				}
			})
		},
		"one entry restarts cut off": func(f *fleet) {
			f.limiters = f.limiters[1:]
			f.add(1, false)
			f.hammer(5*time.Second, func() {
				f.learn(steady)
				f.limiters[testEntries-1].SetFleet(Fleet{1, 1, 2}, f.now)
			})
		},
		"entries join": func(f *fleet) {
			f.hammer(time.Second, func() { f.learn(steady) })
			f.add(testEntries, true)
			joined := f.now
			f.hammer(5*time.Second, func() {
				known := Fleet{2 * testEntries, 2 * testEntries, 2}
				if f.now.Sub(joined) < time.Second { // the news is late
					known = steady
				}
				f.learn(known)
			})
		},
		"halves cut off from each other": func(f *fleet) {
			for range 120 {
				f.now = f.now.Add(time.Second)
				f.learn(Fleet{testEntries / 2, testEntries / 2, 2})
			}
			f.hammer(3*time.Second, func() { f.learn(Fleet{testEntries / 2, testEntries / 2, 2}) })
		},
		"entries wake up after the fleet has grown": func(f *fleet) {
			grown := Fleet{2 * testEntries, 2 * testEntries, 2}
			f.add(testEntries, true)
			learn := func() {
				for _, l := range f.limiters[testEntries:] { // the others are suspended
					l.SetFleet(grown, f.now)
				}
			}
			for range 5 {
				f.now = f.now.Add(time.Second)
				learn()
			}
			f.hammer(2*time.Second, learn)
		},
		"360 entries": func(f *fleet) {
			f.add(360-testEntries, true)
			f.learn(Fleet{360, 360, 2})
			f.now = f.now.Add(settleTime)
			f.hammer(10*time.Second, func() { f.learn(Fleet{360, 360, 2}) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(testEntries, 1)
			run(f)
			if most := f.busiestSecond(); most > testBound || most < testBound/4 {
				t.Errorf("%d requests in a second, the bound is %d", most, testBound)
			}
		})
	}
}

// TestSignsOfColdTargets guards against missing a sign that a target is cold, and against taking each target for cold
// that a process sees for the first time.
func TestSignsOfColdTargets(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *targetset.Target)
		answer time.Duration
		cold   bool
	}{
		"no sign":                       {change: func(*targetset.Target) {}},
		"entry states a time":           {change: func(t *targetset.Target) { t.ColdFor, t.Revision = time.Second, 2 }, cold: true},
		"entry has not changed":         {change: func(t *targetset.Target) { t.ColdFor = time.Second }},
		"started again, same id":        {change: func(t *targetset.Target) { t.StartedAtMs++ }, cold: true},
		"new id with a later start":     {change: func(t *targetset.Target) { t.ID, t.StartedAtMs = "new", 2 }, cold: true},
		"new id with an early start":    {change: func(t *targetset.Target) { t.ID = "new" }},
		"new id without a start":        {change: func(t *targetset.Target) { t.ID, t.StartedAtMs = "new", 0 }},
		"new id whose entry says so":    {change: func(t *targetset.Target) { t.ID, t.ColdFor = "new", time.Second }, cold: true},
		"an answer states a time":       {change: func(*targetset.Target) {}, answer: time.Second, cold: true},
		"an answer states a negative":   {change: func(*targetset.Target) {}, answer: -time.Second},
		"entry states an absurdly long": {change: func(t *targetset.Target) { t.ColdFor, t.Revision = time.Hour, 2 }, cold: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 2)
			l, events := f.limiters[0], 0
			l.Notify = func(e Event) {
				if e.Kind == EventCold {
					events++
				}
			}
			f.request(l, f.targets)
			target := *f.targets[0]
			c.change(&target)
			rates := l.Rates(testService, f.targets, f.now)
			rates.Take(&target, f.now).ReportCold(c.answer, f.now)
			rates.Allow(&target, f.now)
			if cold := l.ColdTargets(f.now) > 0; cold != c.cold || c.cold != (events == 1) {
				t.Errorf("cold: %v, want %v; %d events", cold, c.cold, events)
			}
			if n := l.ColdTargets(f.now.Add(maxColdTime)); n > 0 {
				t.Error("still cold after the longest cold time")
			}
		})
	}
}

// TestLateSendsAreCountedAgain guards against requests that wait for their connections, or whose process is suspended,
// and are then sent in the same second as later ones.
func TestLateSendsAreCountedAgain(t *testing.T) {
	f := newFleet(1, 1)
	var tickets []*Ticket
	sent := 0
	for range 3 { // places are taken for three seconds, and all connections open at the end
		f.now = f.now.Add(windowLength)
		f.learn(Fleet{1, 1, 0})
		for rates := f.limiters[0].Rates(testService, f.targets, f.now); rates.Allow(f.targets[0], f.now); {
			tickets = append(tickets, rates.Take(f.targets[0], f.now))
		}
	}
	for _, k := range tickets {
		if k.MaySend(f.now) {
			sent++
		}
	}
	limit := 33 // boundShare * testBound
	if len(tickets) != 3*limit || sent != limit {
		t.Errorf("%d of %d requests sent at once", sent, len(tickets))
	}
	if last := tickets[len(tickets)-1]; last.MaySend(f.now) {
		t.Error("a request was sent once more above the limit")
	}
	f.now = f.now.Add(windowLength)
	f.learn(Fleet{1, 1, 0})
	rates := f.limiters[0].Rates(testService, f.targets, f.now)
	tickets = nil
	for range limit {
		tickets = append(tickets, rates.Take(f.targets[0], f.now))
	}
	f.now = f.now.Add(sendDelay)
	for i, k := range tickets {
		if !k.MaySend(f.now) {
			t.Errorf("request %d of %d within the limit was held back, since its connection opened late", i+1, limit)
		}
	}
}

// TestUnlimitedServices guards against work and memory for services that state no rate for cold targets, and for
// deployments that state no bound.
func TestUnlimitedServices(t *testing.T) {
	targets := testTargets(1)
	for name, c := range map[string]struct {
		bounds  Bounds
		service *routetable.Service
	}{
		"service without a rate":   {testBounds, &routetable.Service{Name: "m", ColdStart: time.Second}},
		"unknown service":          {testBounds, nil},
		"deployment without bound": {Bounds{}, testService},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(c.bounds, false, testStart)
			if n := testing.AllocsPerRun(100, func() {
				rates := l.Rates(c.service, targets, testStart)
				if !rates.Allow(targets[0], testStart) || !rates.Take(targets[0], testStart).MaySend(testStart) {
					t.Error("limited")
				}
			}); n > 0 {
				t.Errorf("%v allocations", n)
			}
			if len(l.services) > 0 {
				t.Error("state is kept")
			}
		})
	}
}

// TestSweepKeepsRecentTargets guards against forgetting the requests of the last second to a target that is missing from
// the list for a moment, and against keeping the state of targets that are gone.
func TestSweepKeepsRecentTargets(t *testing.T) {
	f := newFleet(1, 1)
	l := f.limiters[0]
	f.request(l, f.targets)
	if l.Sweep(nil, f.now); len(l.services["m"].targets) != 1 {
		t.Error("forgotten at once")
	}
	if l.Sweep(nil, f.now.Add(2*windowLength)); len(l.services["m"].targets) != 0 {
		t.Error("kept")
	}
}
