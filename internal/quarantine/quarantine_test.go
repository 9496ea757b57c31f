package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

const testService = "drafts"

// clock is a settable clock.
type clock struct{ t time.Time }

func newClock() *clock                   { return &clock{time.Unix(1000, 0)} }
func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

// engine returns the n-th incarnation of an engine.
func engine(n int) targetset.Incarnation {
	return targetset.Incarnation{ID: fmt.Sprintf("e-%d", n), StartedAtMs: 1}
}

// begin records sound requests with the parts, each of which begins.
func begin(t *Tracker, c *clock, n int, parts ...Part) {
	for range n {
		p := t.Prompt(testService, parts)
		p.Begun()
		p.Done()
		c.advance(10 * time.Millisecond)
	}
}

// crashUnder records a request with the parts under which an engine crashes.
func crashUnder(t *Tracker, c *clock, n int, parts ...Part) {
	p := t.Prompt(testService, parts)
	p.Crashed(engine(n))
	p.Done()
	c.advance(200 * time.Millisecond)
}

// isBlocked reports whether a request with the parts is refused.
func isBlocked(t *Tracker, parts ...Part) bool {
	p := t.Prompt(testService, parts)
	defer p.Done()
	part, _ := p.Blocked()
	return part != ""
}

// TestDecision guards against quarantines of parts that do not crash engines, and against ones that come too late.
func TestDecision(t *testing.T) {
	for name, c := range map[string]struct {
		happens func(tr *Tracker, c *clock)
		want    []Part
	}{
		"one crash": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			crashUnder(tr, c, 1, "kind", "bad")
		}, nil},
		"two crashes under a new part": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			crashUnder(tr, c, 1, "kind", "bad")
			crashUnder(tr, c, 2, "other", "bad")
		}, []Part{"bad"}},
		"two new parts in the same crashes": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			crashUnder(tr, c, 1, "kind", "bad", "subject")
			crashUnder(tr, c, 2, "kind", "bad", "subject")
		}, nil},
		"one of them in a third crash": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			crashUnder(tr, c, 1, "kind", "bad", "subject")
			crashUnder(tr, c, 2, "kind", "bad", "subject")
			crashUnder(tr, c, 3, "kind", "bad")
		}, []Part{"bad"}},
		"requests that shared an engine with the cause": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			crashUnder(tr, c, 1, "kind", "bad")
			crashUnder(tr, c, 1, "kind", "subject")
			crashUnder(tr, c, 2, "kind", "subject")
			crashUnder(tr, c, 2, "kind", "bad")
			crashUnder(tr, c, 3, "kind", "bad")
		}, []Part{"bad"}},
		"a part of all requests, before any answer has begun": {func(tr *Tracker, c *clock) {
			for n := range 9 {
				crashUnder(tr, c, n, "kind")
			}
		}, nil},
		"several engines lose power": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			begin(tr, c, 3, "kind", "subject")
			for n := range 5 {
				for _, parts := range [][]Part{{"kind"}, {"kind", "subject"}, {"kind", "new"}} {
					if n < crashesAtOnce-1 || len(parts) == 1 {
						p := tr.Prompt(testService, parts)
						p.Crashed(engine(n))
						p.Done()
					}
				}
				c.advance(5 * time.Millisecond)
			}
		}, nil},
		"a part that was sound for long": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			begin(tr, c, 10, "kind", "bad")
			for n := range 4 {
				crashUnder(tr, c, n, "kind", "bad")
				begin(tr, c, 10, "kind")
			}
		}, []Part{"bad"}},
		"an answer between the crashes": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			for n := range 9 {
				crashUnder(tr, c, n, "kind", "subject")
				begin(tr, c, 1, "kind", "subject")
			}
		}, nil},
		"two causes": {func(tr *Tracker, c *clock) {
			begin(tr, c, 100, "kind")
			for n := range 2 {
				crashUnder(tr, c, 10+n, "kind", "bad")
				crashUnder(tr, c, 20+n, "kind", "worse")
			}
			crashUnder(tr, c, 30, "kind", "worse")
			crashUnder(tr, c, 31, "kind", "bad")
		}, []Part{"bad", "worse"}},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newClock()
			tr := New(clock.now)
			c.happens(tr, clock)
			clock.advance(settleTime)
			tr.Sweep()
			for _, part := range []Part{"kind", "other", "bad", "worse", "subject", "new"} {
				if got, want := isBlocked(tr, part), slices.Contains(c.want, part); got != want {
					t.Errorf("%s is quarantined: %v, want %v", part, got, want)
				}
			}
		})
	}
}

// TestManyCrashesAtOnce guards against a burst of requests with a part that crashes many engines in the same moment and can
// be repeated, and against refusing a new part for long whose engines lost power together.
func TestManyCrashesAtOnce(t *testing.T) {
	c := newClock()
	a, b := New(c.now), New(c.now)
	begin(a, c, 100, "kind")
	for n := range crashesAtOnce {
		p := a.Prompt(testService, []Part{"kind", "new"})
		p.Crashed(engine(n))
		p.Done()
	}
	exchangeReports(a, b)
	c.advance(settleTime)
	a.Sweep()
	b.Sweep()
	if isBlocked(a, "kind") || !isBlocked(a, "new") {
		t.Error("the part of all requests is quarantined, or the one that may have crashed the engines is not")
	}
	exchangeReports(a, b)
	c.advance(shortQuarantine)
	var tests []*Prompt
	for _, e := range []*Tracker{a, b} {
		for range 3 {
			p := e.Prompt(testService, []Part{"kind", "new"})
			if part, _ := p.Blocked(); part == "" {
				tests = append(tests, p)
			}
		}
	}
	if len(tests) != 1 {
		t.Fatalf("%d requests test the part, want 1", len(tests))
	}
	tests[0].Begun()
	exchangeReports(a, b)
	for _, e := range []*Tracker{a, b} {
		if isBlocked(e, "new") {
			t.Error("the part is quarantined although an answer with it has begun")
		}
	}
}

// TestSuspectIsNotRetried guards against a request that crashes a second and a third engine by itself.
func TestSuspectIsNotRetried(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	begin(tr, c, 100, "kind")
	p := tr.Prompt(testService, []Part{"kind", "bad", "subject"})
	p.Crashed(engine(1))
	if p.Suspected() {
		t.Error("suspected after one crash, although an engine crashes under many requests that did not cause it")
	}
	c.advance(200 * time.Millisecond)
	p.Crashed(engine(2))
	if !p.Suspected() {
		t.Error("not suspected after two crashes")
	}
	if sound := tr.Prompt(testService, []Part{"kind"}); sound.Suspected() {
		t.Error("a request that shares only the part of all is suspected")
	}
}

// TestTestOfAQuarantinedPart guards against a quarantine that never ends, and against more than one request at a time that
// tests whether engines still crash.
func TestTestOfAQuarantinedPart(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	begin(tr, c, 100, "kind")
	crashUnder(tr, c, 1, "kind", "bad")
	crashUnder(tr, c, 2, "kind", "bad")
	if part, left := tr.Prompt(testService, []Part{"bad"}).Blocked(); part != "bad" || left > settleTime {
		t.Errorf("%q is held off for %v before all is known about the crash", part, left)
	}
	c.advance(settleTime)
	if _, left := tr.Prompt(testService, []Part{"bad"}).Blocked(); left < firstQuarantine-time.Second || left > 2*firstQuarantine {
		t.Errorf("%v left", left)
	}
	c.advance(2 * firstQuarantine)
	first, second := tr.Prompt(testService, []Part{"kind", "bad"}), tr.Prompt(testService, []Part{"bad"})
	if part, _ := first.Blocked(); part != "" {
		t.Fatal("no request tests the part after the quarantine")
	}
	if part, _ := first.Blocked(); part != "" {
		t.Error("the request that tests the part is refused when it is sent")
	}
	if part, _ := second.Blocked(); part != "bad" {
		t.Error("a second request is sent during the test")
	}
	first.Crashed(engine(3))
	first.Done()
	if part, left := second.Blocked(); part != "bad" || left < 2*firstQuarantine {
		t.Errorf("after another crash, %q is quarantined for %v, want twice as long as before", part, left)
	}
	c.advance(4 * firstQuarantine)
	third := tr.Prompt(testService, []Part{"bad"})
	third.Blocked()
	third.Begun()
	third.Done()
	if isBlocked(tr, "bad") || tr.Quarantined() != 0 {
		t.Error("the part is quarantined although an answer with it has begun")
	}
}

// TestUnfinishedTestIsRepeated guards against a quarantine that never ends because the request that tested the part ended
// without a result.
func TestUnfinishedTestIsRepeated(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	begin(tr, c, 100, "kind")
	crashUnder(tr, c, 1, "kind", "bad")
	crashUnder(tr, c, 2, "kind", "bad")
	c.advance(settleTime)
	tr.Sweep()
	c.advance(2 * firstQuarantine)
	first := tr.Prompt(testService, []Part{"bad"})
	first.Blocked()
	first.Done()
	if !isBlocked(tr, "bad") {
		t.Error("the next request tests the part at once")
	}
	c.advance(firstQuarantine / testPauseShare)
	if isBlocked(tr, "bad") {
		t.Error("no other request tests the part")
	}
}

// TestPeersShareEvidence guards against entries that each need crashes of their own, against a restarted entry that does
// not learn of a quarantine, and against a peer that keeps a part which another one has seen to be sound.
func TestPeersShareEvidence(t *testing.T) {
	c := newClock()
	a, b := New(c.now), New(c.now)
	begin(a, c, 100, "kind")
	begin(b, c, 100, "kind")
	crashUnder(a, c, 1, "kind", "bad")
	crashUnder(b, c, 2, "kind", "bad")
	b.Merge(a.Report())
	a.Merge(b.Report())
	c.advance(settleTime)
	if !isBlocked(b, "bad") || isBlocked(b, "kind") {
		t.Error("one crash at each of two entries is not enough for a quarantine, or the part of all requests is quarantined")
	}
	a.Sweep()
	restarted := New(c.now)
	restarted.Merge(b.Report())
	if !isBlocked(restarted, "bad") {
		t.Error("a restarted entry does not learn of the quarantine")
	}
	exchangeAll(c, 2, a, b, restarted)
	c.advance(firstQuarantine + time.Second)
	testing := 0
	for _, e := range []*Tracker{a, b, restarted} {
		if p := e.Prompt(testService, []Part{"bad"}); !isBlocked(e, "bad") {
			testing++
			p.Blocked()
		}
	}
	if testing != 1 {
		t.Errorf("%d entries test the part, want 1", testing)
	}
	c.advance(2 * firstQuarantine)
	p := restarted.Prompt(testService, []Part{"bad"})
	p.Blocked()
	p.Begun()
	p.Done()
	a.Merge(restarted.Report())
	b.Merge(restarted.Report())
	if isBlocked(a, "bad") || isBlocked(b, "bad") {
		t.Error("peers keep the quarantine of a part with which an answer has begun")
	}
}

// TestSizeIsBounded guards against memory that grows with the number of parts and crashes.
func TestSizeIsBounded(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	for n := range 3 * maxHistories {
		begin(tr, c, 1, Part(fmt.Sprintf("p-%d", n)))
		if n%10 == 0 {
			crashUnder(tr, c, n, Part(fmt.Sprintf("p-%d", n)))
		}
	}
	if len(tr.histories) > maxHistories || len(tr.crashes) > maxCrashes {
		t.Errorf("%d parts and %d crashes are stored", len(tr.histories), len(tr.crashes))
	}
}

// TestClearedSuspectIsSentAtOnce guards against a part that is held off although an answer has cleared it.
func TestClearedSuspectIsSentAtOnce(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	begin(tr, c, 100, "kind")
	under := tr.Prompt(testService, []Part{"kind", "subject"})
	crashUnder(tr, c, 1, "kind", "subject")
	crashUnder(tr, c, 2, "kind", "subject")
	if !isBlocked(tr, "subject") {
		t.Fatal("the part is not held off after two crashes")
	}
	under.Begun()
	if isBlocked(tr, "subject") {
		t.Error("the part is held off although an answer with it has begun")
	}
}

// TestCrashesOfOneService guards against a quarantine of the part of all requests of a service whose group falls one rank
// after the other, because another service goes on answering.
func TestCrashesOfOneService(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	answer := func(service string, n int) {
		for range n {
			p := tr.Prompt(service, []Part{Part(service)})
			p.Begun()
			p.Done()
			c.advance(time.Millisecond)
		}
	}
	answer("x", 200)
	answer("y", 200)
	for n := range 5 {
		p := tr.Prompt("x", []Part{"x"})
		p.Crashed(engine(n))
		p.Done()
		c.advance(400 * time.Millisecond)
		answer("y", 50)
	}
	c.advance(settleTime)
	p := tr.Prompt("x", []Part{"x"})
	if part, left := p.Blocked(); part != "" {
		t.Errorf("all requests of the service are refused for %v", left)
	}
}

// BenchmarkBlocked measures the check of a request while many crashes are not settled.
func BenchmarkBlocked(b *testing.B) {
	tr := New(time.Now)
	for n := range maxCrashes {
		for i := range maxPartsPerCrash / 2 {
			tr.Prompt(testService, []Part{"kind", Part(fmt.Sprintf("p-%d-%d", n, i))}).Crashed(engine(n))
		}
	}
	p := tr.Prompt(testService, []Part{"kind", "subject"})
	for b.Loop() {
		p.Blocked()
	}
}
