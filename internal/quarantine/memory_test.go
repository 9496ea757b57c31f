package quarantine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// TestEvidenceOutlastsManyParts guards against evidence on a part that is lost because sound requests with parts of their
// own fill the memory within seconds.
func TestEvidenceOutlastsManyParts(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	own := 0
	sound := func(d time.Duration) {
		for end := c.now().Add(d); c.now().Before(end); c.advance(2 * time.Millisecond) {
			parts := []Part{"kind"}
			for range 4 {
				own++
				parts = append(parts, Part(fmt.Sprintf("own-%d", own)))
			}
			p := tr.Prompt(testService, parts)
			p.Begun()
			p.Done()
		}
	}
	sound(10 * time.Second)
	crashUnder(tr, c, 1, "kind", "bad")
	sound(20 * time.Second)
	crashUnder(tr, c, 2, "kind", "bad")
	sound(time.Second)
	tr.Sweep()
	if !isBlocked(tr, "bad") || isBlocked(tr, "kind") {
		t.Error("two crashes with 20 s of sound requests between them are not enough for a quarantine")
	}
	if len(tr.histories) > maxHistories {
		t.Errorf("%d parts are stored", len(tr.histories))
	}
}

// TestStormAfterManyFailures guards against crashes under a part that are not recorded because those of a lost data centre
// fill the memory.
func TestStormAfterManyFailures(t *testing.T) {
	const pause = 10 * time.Second
	c := newClock()
	tr := New(c.now)
	begin(tr, c, 100, "kind")
	for n := range 2 * maxCrashes {
		p := tr.Prompt(testService, []Part{"kind", Part(fmt.Sprintf("own-%d", n))})
		p.Crashed(engine(n))
		p.Done()
	}
	begin(tr, c, 100, "kind")
	c.advance(pause)
	for n := range 3 {
		crashUnder(tr, c, 3*maxCrashes+n, "kind", "bad")
		begin(tr, c, 10, "kind")
	}
	c.advance(settleTime)
	tr.Sweep()
	if !isBlocked(tr, "bad") || isBlocked(tr, "kind") {
		t.Error("three crashes after the loss of many engines are not enough for a quarantine")
	}
}

// BenchmarkRequest measures what a request costs in the tracker, with parts of its own besides shared ones.
func BenchmarkRequest(b *testing.B) {
	tr := New(time.Now)
	n := 0
	for b.Loop() {
		n++
		p := tr.Prompt(testService, []Part{"kind", "middle", Part(fmt.Sprintf("own-%d", n)), Part(fmt.Sprintf("session-%d", n/4))})
		p.Blocked()
		p.Blocked()
		p.TargetOpen()
		p.Unproven()
		p.Sent()
		p.Begun()
		p.Done()
	}
}

// TestReportSizeInAStorm guards against exchanged messages that grow with the length of a storm.
func TestReportSizeInAStorm(t *testing.T) {
	const maxReportBytes = 8 << 10
	s := newStorm(1, mediumLayout)
	s.run(5*time.Second, 0)
	largest := 0
	for range 60 {
		s.run(500*time.Millisecond, 10, "bad-1", "bad-2", "bad-3")
		for _, tr := range s.trackers {
			data, err := json.Marshal(tr.Report())
			if err != nil {
				t.Fatal(err)
			}
			largest = max(largest, len(data))
		}
	}
	t.Logf("%d bytes at most", largest)
	if largest > maxReportBytes {
		t.Errorf("%d bytes, want at most %d", largest, maxReportBytes)
	}
}
