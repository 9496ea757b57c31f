package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// crashShareTime is the time for which a crash is sent to peers after this process has learned of it or of another of its
// parts.
const crashShareTime = 3 * time.Second

const (
	// releaseShareTime is the time for which the end of a quarantine is sent to peers.
	releaseShareTime = 15 * time.Second
	// maxTransitTime is longer than a report takes to arrive. Times at which answers began are taken back by it, as they
	// would become later with each exchange otherwise, and pass a crash that they preceded.
	maxTransitTime = time.Second
)

const (
	// maxReportedParts and maxReportedCrashes bound the size of a report.
	maxReportedParts   = 16
	maxReportedCrashes = 32
)

// Report is the evidence that entries send each other. Clocks differ between processes, so that it states ages.
type Report struct {
	Crashes     []CrashReport      `json:"c,omitempty"`
	Begun       []BegunReport      `json:"b,omitempty"`
	Quarantines []QuarantineReport `json:"q,omitempty"`
	Waking      uint32             `json:"w,omitempty"` // id of a sender that may lack evidence since its start; 0 otherwise
}

// CrashReport is one crash of an engine.
type CrashReport struct {
	Engine  targetset.Incarnation `json:"e"`
	Service string                `json:"s"`
	AgeMs   int64                 `json:"a"`
	Parts   []Part                `json:"p"`
}

// BegunReport states how long ago an answer with a part last began. It is sent for parts of reported crashes, for those
// whose quarantines have ended, and by waking entries for parts that others may wait to see proven.
type BegunReport struct {
	Part  Part  `json:"p"`
	AgeMs int64 `json:"a"`
}

// QuarantineReport is one quarantined part.
type QuarantineReport struct {
	Part       Part   `json:"p"`
	AgeMs      int64  `json:"a"`
	LeftMs     int64  `json:"l"` // negative if it has ended and the part awaits a test
	DurationMs int64  `json:"d"`
	Origin     uint32 `json:"o"` // identifies the entry that tests the part
}

// Report returns the crashes of which this process learned recently and all quarantines. It returns nil if no crash and
// no quarantine is stored and the process is not waking.
func (t *Tracker) Report() *Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, now := &Report{}, t.now()
	if t.isWaking(now) {
		r.Waking = t.id
	}
	if len(t.crashes)+len(t.quarantines)+len(t.released) == 0 && r.Waking == 0 {
		return nil
	}
	begun := map[Part]bool{}
	for engine, c := range t.crashes {
		if now.Sub(c.lastUpdated) >= crashShareTime || len(r.Crashes) == maxReportedCrashes {
			continue
		}
		out := CrashReport{Engine: engine, Service: c.service, AgeMs: now.Sub(c.at).Milliseconds(), Parts: t.reportedParts(c)}
		for _, part := range out.Parts {
			begun[part] = true
		}
		r.Crashes = append(r.Crashes, out)
	}
	for part := range t.released {
		begun[part] = true
	}
	for _, part := range t.provenParts(now) {
		begun[part] = true
	}
	for part := range begun {
		if at := t.historyOf(part).lastBegun; !at.IsZero() {
			r.Begun = append(r.Begun, BegunReport{Part: part, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	for part, q := range t.quarantines {
		r.Quarantines = append(r.Quarantines, QuarantineReport{Part: part, AgeMs: now.Sub(q.since).Milliseconds(),
			LeftMs: q.until.Sub(now).Milliseconds(), DurationMs: q.duration.Milliseconds(), Origin: q.origin})
	}
	return r
}

// reportedParts returns the parts of a crash that are most likely its cause: those with which no answer has begun for the
// longest time.
func (t *Tracker) reportedParts(c *crash) []Part {
	parts := slices.Collect(maps.Keys(c.parts))
	slices.SortFunc(parts, func(a, b Part) int { return t.historyOf(a).lastBegun.Compare(t.historyOf(b).lastBegun) })
	return parts[:min(len(parts), maxReportedParts)]
}

// Merge adds the evidence of a peer.
func (t *Tracker) Merge(r *Report) {
	if r == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	if r.Waking != 0 {
		t.wakingPeers[r.Waking] = now
	}
	for _, b := range r.Begun {
		t.partBegun(b.Part, ago(b.AgeMs).Add(-maxTransitTime))
	}
	for _, c := range r.Crashes {
		t.addCrash(c.Engine, c.Service, c.Parts, ago(c.AgeMs))
	}
	for _, q := range r.Quarantines {
		t.adopt(q.Part, t.newQuarantine(ago(q.AgeMs), ago(-q.LeftMs), time.Duration(q.DurationMs)*time.Millisecond, q.Origin))
	}
	t.settle(now)
}

// adopt puts the quarantine of a peer in force, unless one that supersedes it is known, an answer has begun since, or
// another part explains the crashes better. The caller holds the lock.
func (t *Tracker) adopt(part Part, q *quarantine) {
	if t.historyOf(part).lastBegun.After(q.since) {
		return
	}
	known := t.quarantines[part]
	if known != nil && !q.supersedes(known) {
		return
	}
	t.quarantines[part] = q
	switch {
	case t.explainedBetter(part):
		delete(t.quarantines, part)
	case known == nil || known.duration < q.duration:
		t.notify(Event{Kind: EventQuarantined, Part: part, Crashes: t.crashesWith(part), For: q.duration})
	}
}

// supersedes reports whether a quarantine replaces another one of the same part at all entries, so that one of them tests
// the part: a longer one does, of the same length one that was taken over later, and of those imposed or taken over at the
// same time the one with the lowest origin.
func (q *quarantine) supersedes(other *quarantine) bool {
	if q.duration != other.duration {
		return q.duration > other.duration
	}
	if later := q.until.Sub(other.until); later.Abs() > q.takeOverTime() {
		return later > 0
	}
	return q.origin < other.origin
}
