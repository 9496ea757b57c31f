package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// exchangeAll lets all entries exchange reports with each other several times.
func exchangeAll(c *clock, times int, entries ...*Tracker) {
	for range times {
		for i, a := range entries {
			for _, b := range entries[i+1:] {
				fromA := a.Report()
				a.Merge(b.Report())
				b.Merge(fromA)
			}
		}
		c.advance(exchangeTime)
	}
}

// TestManyCrashesAreExchangedOnce guards against entries that send each other crashes again and again because they store
// fewer than there are.
func TestManyCrashesAreExchangedOnce(t *testing.T) {
	c := newClock()
	events := 0
	var entries []*Tracker
	for range 4 {
		e := New(c.now)
		e.Notify = func(Event) { events++ }
		entries = append(entries, e)
	}
	for n := range 3 * maxCrashes / 2 {
		p := entries[n%len(entries)].Prompt(testService, []Part{"kind", Part(fmt.Sprintf("p-%d", n))})
		p.Crashed(engine(n))
		c.advance(time.Millisecond)
	}
	exchangeAll(c, 20, entries...)
	before := events
	exchangeAll(c, 20, entries...)
	if events > before {
		t.Errorf("%d more events while nothing happens", events-before)
	}
}

// TestCauseInAFullCrash guards against a cause that is not recorded because other parts fill the record of the crash.
func TestCauseInAFullCrash(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	begin(tr, c, 100, "kind")
	for n := range 3 {
		for i := range maxPartsPerCrash {
			part := Part(fmt.Sprintf("used-%d", i))
			begin(tr, c, 1, "kind", part)
			p := tr.Prompt(testService, []Part{"kind", part})
			p.Crashed(engine(n))
			p.Done()
		}
		crashUnder(tr, c, n, "kind", "bad")
	}
	c.advance(settleTime)
	if !isBlocked(tr, "bad") {
		t.Error("the cause is not quarantined")
	}
}

// TestLateEvidence guards against the cause of a crash that arrives from a peer after the crash was decided on, and is
// never considered.
func TestLateEvidence(t *testing.T) {
	c := newClock()
	a, b := New(c.now), New(c.now)
	begin(a, c, 100, "kind")
	for n := range 2 {
		pa, pb := a.Prompt(testService, []Part{"kind"}), b.Prompt(testService, []Part{"kind", "bad"})
		pa.Crashed(engine(n))
		pb.Crashed(engine(n))
		c.advance(2 * settleTime)
		a.Sweep()
		a.Merge(b.Report())
	}
	c.advance(settleTime)
	if !isBlocked(a, "bad") {
		t.Error("the part is not quarantined after two crashes")
	}
}

// TestReportIsBounded guards against heartbeats that exceed the size of a message when engines crash under requests with
// many parts.
func TestReportIsBounded(t *testing.T) {
	const maxReportBytes = 64 << 10
	c := newClock()
	tr := New(c.now)
	for n := range maxCrashes {
		var parts []Part
		for i := range maxPartsPerCrash {
			parts = append(parts, Part(fmt.Sprintf("%064x", n*maxPartsPerCrash+i)))
		}
		p := tr.Prompt(testService, parts)
		p.Crashed(targetset.Incarnation{ID: fmt.Sprintf("i-%032x", n), StartedAtMs: 1})
	}
	data, err := json.Marshal(tr.Report())
	if err != nil || len(data) > maxReportBytes {
		t.Errorf("%d bytes, want at most %d; %v", len(data), maxReportBytes, err)
	}
}

// TestReleaseOutlastsReports guards against a part that one entry has released since another part explains the crashes
// better, and that is quarantined again because a peer has not decided yet.
func TestReleaseOutlastsReports(t *testing.T) {
	c := newClock()
	a, b := New(c.now), New(c.now)
	begin(a, c, 100, "kind")
	begin(b, c, 100, "kind")
	for n := range 3 {
		crashUnder(a, c, n, "bad", "subject")
	}
	exchangeAll(c, 5, a, b)
	crashUnder(a, c, 3, "bad")
	c.advance(settleTime)
	a.Sweep()
	exchangeAll(c, 5, a, b)
	b.Sweep()
	exchangeAll(c, 5, a, b)
	for _, e := range []*Tracker{a, b} {
		if !isBlocked(e, "bad") || isBlocked(e, "subject") {
			t.Errorf("bad is blocked: %v, subject is blocked: %v", isBlocked(e, "bad"), isBlocked(e, "subject"))
		}
	}
}

// TestAnswersBeforeACrashStayBefore guards against answers that began before a crash and count as later ones after some
// exchanges, so that the cause is never found.
func TestAnswersBeforeACrashStayBefore(t *testing.T) {
	const transit = 5 * time.Millisecond
	c := newClock()
	a, b := New(c.now), New(c.now)
	begin(a, c, 100, "kind")
	begin(a, c, 1, "bad")
	crashUnder(a, c, 1, "bad")
	at := a.crashes[engine(1)].at
	for range 200 {
		fromA, fromB := a.Report(), b.Report()
		c.advance(transit)
		a.Merge(fromB)
		b.Merge(fromA)
	}
	for _, e := range []*Tracker{a, b} {
		if last := e.historyOf("bad").lastBegun; last.After(at) {
			t.Errorf("the last answer counts as %v after the crash", last.Sub(at))
		}
	}
}

// TestRetryAfterAtOtherEntries guards against callers that are told to come back when this entry may test the part, although
// the entry that imposed the quarantine tests it much earlier.
func TestRetryAfterAtOtherEntries(t *testing.T) {
	c := newClock()
	a, b := New(c.now), New(c.now)
	begin(a, c, 100, "kind")
	crashUnder(a, c, 1, "kind", "bad")
	crashUnder(a, c, 2, "kind", "bad")
	c.advance(settleTime)
	a.Sweep()
	exchangeReports(a, b)
	p := b.Prompt(testService, []Part{"bad"})
	if part, left := p.Blocked(); part != "bad" || left < firstQuarantine/2 || left > firstQuarantine+testTime {
		t.Errorf("%q is refused for %v, want about %v", part, left, firstQuarantine)
	}
	c.advance(firstQuarantine)
	if part, left := p.Blocked(); part != "bad" || left <= 0 || left > testTime {
		t.Errorf("%q is refused for %v after the quarantine, want at most %v", part, left, testTime)
	}
}

// TestOneEntryTakesAQuarantineOver guards against several entries that test a part of an origin that has ended before one
// learns the result of another, and against a part that no entry tests.
func TestOneEntryTakesAQuarantineOver(t *testing.T) {
	c := newClock()
	origin := New(c.now)
	var entries []*Tracker
	for range 4 {
		entries = append(entries, New(c.now))
	}
	begin(origin, c, 100, "kind")
	crashUnder(origin, c, 1, "kind", "bad")
	crashUnder(origin, c, 2, "kind", "bad")
	c.advance(settleTime)
	origin.Sweep()
	exchangeAll(c, 2, append(entries, origin)...)
	c.advance(firstQuarantine + 2*otherTestDelay*firstQuarantine)
	for _, e := range entries {
		if !isBlocked(e, "bad") {
			t.Error("an entry tests the part before the others know that it has taken the quarantine over")
		}
	}
	exchangeAll(c, 2, entries...)
	c.advance(maxTakeOverTime)
	tests := 0
	for _, e := range entries {
		if part, _ := e.Prompt(testService, []Part{"bad"}).Blocked(); part == "" {
			tests++
		}
	}
	if tests != 1 {
		t.Errorf("%d entries test the part, want 1", tests)
	}
}
