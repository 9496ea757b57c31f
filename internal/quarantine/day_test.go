package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// busyStep is the time between two requests with the part for busyTime after one has reached an engine, in which the
	// entries learn of it, and idleStep the time between them otherwise.
	busyStep = time.Second
	busyTime = 20 * time.Second
	idleStep = 15 * time.Second
)

// day lets requests with the part "bad" come to entries for a long time, one every few seconds. Each one that reaches an
// engine crashes it.
type day struct {
	rng     *rand.Rand
	clock   *clock
	entries []*Tracker
	reached int
	latest  time.Time   // at which a request reached an engine
	crashes []time.Time // one for each request that reached an engine
}

func newDay(seed uint64, entries int) *day {
	d := &day{rng: rand.New(rand.NewPCG(seed, 0)), clock: newClock()}
	for range entries {
		d.entries = append(d.entries, New(d.clock.now))
	}
	for _, e := range d.entries {
		begin(e, d.clock, 2*baselineAnswers, "kind")
	}
	return d
}

// send sends a request with the part through an entry.
func (d *day) send(e *Tracker) {
	p := e.Prompt(testService, []Part{"kind", "bad"})
	defer p.Done()
	if part, _ := p.Blocked(); part != "" {
		return
	}
	d.reached++
	d.latest = d.clock.now()
	d.crashes = append(d.crashes, d.latest)
	p.Crashed(engine(d.reached))
}

// step returns the time until the next request.
func (d *day) step() time.Duration {
	if d.clock.now().Sub(d.latest) < busyTime {
		return busyStep
	}
	return idleStep
}

// run plays a time, in which the entries of each side exchange reports.
func (d *day) run(length time.Duration, sides ...[]*Tracker) {
	for end := d.clock.now().Add(length); d.clock.now().Before(end); d.clock.advance(d.step()) {
		d.send(d.entries[d.rng.IntN(len(d.entries))])
		for _, side := range sides {
			for _, e := range side {
				e.Sweep()
				other := side[d.rng.IntN(len(side))]
				report := e.Report()
				e.Merge(other.Report())
				other.Merge(report)
			}
		}
	}
}

// dayStopTime is the time after the fifth crash after which few requests with the part may reach engines.
const dayStopTime = 3 * time.Second

// late returns the number of requests that reached engines later than dayStopTime after the fifth crash.
func (d *day) late() int {
	n := 0
	for _, at := range d.crashes {
		if len(d.crashes) >= 5 && at.Sub(d.crashes[4]) > dayStopTime {
			n++
		}
	}
	return n
}

// loseOrigin restarts the entry that imposed the quarantine.
func (d *day) loseOrigin() {
	origin := d.entries[0].quarantines["bad"].origin
	for i, e := range d.entries {
		if e.id == origin {
			d.entries[i] = New(d.clock.now)
		}
	}
}

// TestRequestsAfterTheFifthCrash guards against tests of a quarantined part that crash more engines than may be lost to it,
// over a long day, without the entry that imposed the quarantine, and on both sides of a cut between entries.
func TestRequestsAfterTheFifthCrash(t *testing.T) {
	plays := map[string]func(d *day){
		"a long day":         func(d *day) { d.run(24*time.Hour, d.entries) },
		"without the origin": func(d *day) { d.loseOrigin(); d.run(6*time.Hour, d.entries) },
		"a cut": func(d *day) {
			d.run(30*time.Minute, d.entries[:4], d.entries[4:])
			d.run(6*time.Hour, d.entries)
		},
	}
	for name, play := range plays {
		for seed := range uint64(3) {
			d := newDay(seed, 9)
			d.run(busyTime, d.entries)
			play(d)
			if late := d.late(); late > lateRequests {
				t.Errorf("%s, seed %d: %d of %d requests reached engines late, want at most %d", name, seed, late, d.reached, lateRequests)
			}
		}
	}
}

// TestTestsOfALongDay guards against tests of a quarantined part that crash engines again and again over a long day.
func TestTestsOfALongDay(t *testing.T) {
	for _, entries := range []int{1, 4, 12} {
		for seed := range uint64(2) {
			d := newDay(seed, entries)
			d.run(busyTime, d.entries)
			before := d.reached
			d.run(24*time.Hour, d.entries)
			if d.reached-before > lateRequests {
				t.Errorf("%d entries, seed %d: %d requests reached engines after the first %d, want at most %d", entries, seed, d.reached-before, before, lateRequests)
			}
		}
	}
}

// TestTestsWithoutTheOrigin guards against tests by many entries at once after the entry that imposed a quarantine has
// ended.
func TestTestsWithoutTheOrigin(t *testing.T) {
	for _, entries := range []int{4, 52} {
		for seed := range uint64(2) {
			d := newDay(seed, entries)
			d.run(busyTime, d.entries)
			d.loseOrigin()
			before := d.reached
			d.run(time.Hour, d.entries)
			if d.reached-before > lateRequests {
				t.Errorf("%d entries, seed %d: %d requests reached engines after the first %d, want at most %d", entries, seed, d.reached-before, before, lateRequests)
			}
		}
	}
}

// TestTestsInACut guards against tests of a part on both sides of a cut between entries for as long as it lasts.
func TestTestsInACut(t *testing.T) {
	for seed := range uint64(5) {
		d := newDay(seed, 9)
		d.run(busyTime, d.entries)
		before := d.reached
		d.run(30*time.Minute, d.entries[:4], d.entries[4:])
		d.run(time.Hour, d.entries)
		if d.reached-before > lateRequests {
			t.Errorf("seed %d: %d requests reached engines after the first %d, want at most %d", seed, d.reached-before, before, lateRequests)
		}
	}
}
