package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// drainMarkDuration is how long a reported drain mark excludes a target. After it, a process that cancelled its
	// drain gets requests again, and one that is still draining refuses the dispatch without running it.
	drainMarkDuration = 30 * time.Second
	// updateMarkDuration is how long a target is excluded after it reported that it is changing its model version. The
	// next dispatch tests the target, at the cost of one refusal, so that the target gets requests again soon after the
	// version is loaded.
	updateMarkDuration = time.Second
	// maxReportAge is the age from which a load report is not used, since it says nothing about the present load.
	maxReportAge = 10 * time.Second
	// defaultSlots and defaultRequestTime are assumed for targets that have not reported yet.
	defaultSlots       = 8
	defaultRequestTime = 10 * time.Millisecond
)

// Indexes of the lanes in the waits of a target.
const (
	laneShort = iota
	laneLong
	laneCount
)

// neverReported is the report time of a target that has not reported. It makes the report older than maxReportAge.
const neverReported = -1 << 62

// scanEntry is the part of a target's state that every decision reads. It fits into one cache line, since a decision
// reads it for all targets of a model. Times are offsets from the router's start.
type scanEntry struct {
	hash         uint64                   // of the name, for rendezvous hashing
	blockedUntil time.Duration            // not eligible before
	wait         [laneCount]time.Duration // as reported
	reportAt     time.Duration
	slotDelay    time.Duration // additional time to the first token for the slots taken, as reported
	extraDelay   time.Duration // for the distance, and for own dispatches that no report includes yet
	inFlight     int32         // own dispatches that have not ended
	open         bool          // the circuit is open; a dispatch is a test
}

// target is the rest of a target's state.
type target struct {
	otherDataCentre bool
	live            bool          // not marked as leaving in the VM list
	drainUntil      time.Duration // end of the exclusion by a reported drain or update
	perToken        time.Duration // as reported, 0 if unknown
	slots           int           // as reported
	pending         int           // own dispatches that no report includes yet
	pendingTokens   int64         // tokens of these dispatches
	breaker         breaker
}

// pool is the state of the targets of one model or plain service. Its slices are parallel to the list that
// Fleet.Targets returns.
type pool struct {
	list     []wire.VM
	scanned  []scanEntry
	targets  []target
	index    map[string]int
	scores   []time.Duration // scratch space of one decision
	nearBest []int32         // scratch space of one decision
}

// setTargets adopts a new list of targets and keeps the state of those that remain.
func (p *pool) setTargets(list []wire.VM, dataCentre string) {
	if sameSlice(p.list, list) {
		return
	}
	next := pool{
		list: list, scanned: make([]scanEntry, len(list)), targets: make([]target, len(list)),
		index: make(map[string]int, len(list)), scores: make([]time.Duration, len(list)),
		nearBest: make([]int32, 0, len(list)),
	}
	for i := range list {
		next.scanned[i].reportAt = neverReported
		next.targets[i].slots = defaultSlots
		if old, ok := p.index[list[i].Name]; ok {
			next.scanned[i], next.targets[i] = p.scanned[old], p.targets[old]
		}
		next.scanned[i].hash = xxhash.Sum64String(list[i].Name)
		next.targets[i].otherDataCentre = list[i].DataCentre != dataCentre
		next.targets[i].live = list[i].State == wire.StateLive
		next.index[list[i].Name] = i
		next.refreshScanEntry(i)
	}
	*p = next
}

// refreshScanEntry derives the scan entry from the target after a change.
func (p *pool) refreshScanEntry(i int) {
	t, s := &p.targets[i], &p.scanned[i]
	s.open = t.breaker.open()
	s.blockedUntil = max(t.drainUntil, t.breaker.blockedUntil())
	if !t.live {
		s.blockedUntil = math.MaxInt64
	}
	s.extraDelay = t.pendingWait()
	if t.otherDataCentre {
		s.extraDelay += otherDataCentreDelay
	}
}

// sameSlice returns whether a and b are the same slice. The fleet view returns the same read-only slice until the VM
// list changes.
func sameSlice(a, b []wire.VM) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// indexOf returns the index of the named target, or -1 if it is not in the list any more.
func (p *pool) indexOf(name string) int {
	if i, ok := p.index[name]; ok {
		return i
	}
	return -1
}

// recordReport records a load report. The caller calls refreshScanEntry afterwards.
func (p *pool) recordReport(i int, l *wire.Load, now time.Duration) {
	t, s := &p.targets[i], &p.scanned[i]
	t.slots = defaultSlots
	if l.Slots > 0 {
		t.slots = l.Slots
	}
	t.perToken = 0
	if l.TokensPerS > 0 {
		t.perToken = time.Duration(float64(time.Second) / l.TokensPerS)
	}
	t.drainUntil = 0
	switch {
	case l.Updating:
		t.drainUntil = now + updateMarkDuration
	case l.Draining:
		t.drainUntil = now + drainMarkDuration
	}
	s.reportAt = now
	s.wait = [laneCount]time.Duration{laneShort: l.WaitShort, laneLong: l.WaitLong}
	s.slotDelay = fullBatchDelay * time.Duration(l.Running+l.Queued) / time.Duration(t.slots)
}
