package routing

import (
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

// target is the state of a target. Times are offsets from the router's start.
type target struct {
	otherDataCentre  bool
	live             bool                     // not marked as leaving in the VM list
	countedOpen      bool                     // counted in columns.open
	drainUntil       time.Duration            // end of the exclusion by a reported drain or update
	reportAt         time.Duration            // time of the last report
	wait             [laneCount]time.Duration // as reported
	slotDelay        time.Duration            // additional time to the first token for the slots taken, as reported
	perToken         time.Duration            // as reported, 0 if unknown
	slots            int                      // as reported
	cacheTokens      int                      // size of the prompt cache as reported, 0 if unknown
	reportedRequests int                      // running and queued, as reported
	incarnation      string                   // as reported, empty if unknown
	inFlight         int                      // own dispatches that have not ended
	pending          int                      // own dispatches that no report includes yet
	pendingTokens    int64                    // tokens of these dispatches
	breaker          breaker
}

// blockedUntil returns the time before which the target is not eligible.
func (t *target) blockedUntil() time.Duration {
	if !t.live {
		return never
	}
	return max(t.drainUntil, t.breaker.blockedUntil())
}

// pool is the state of the targets of one model or plain service. Its slices are parallel to the list that
// Fleet.Targets returns.
type pool struct {
	list    []wire.VM
	targets []target
	index   map[string]int
	columns
	drawList []int32 // scratch space of one decision
}

// setTargets adopts a new list of targets and keeps the state of those that remain. It returns the names of those that
// do not.
func (p *pool) setTargets(list []wire.VM, dataCentre string, now time.Duration) (removed []string) {
	if sameSlice(p.list, list) {
		return nil
	}
	next := pool{
		list: list, targets: make([]target, len(list)), index: make(map[string]int, len(list)),
		columns: newColumns(len(list)), drawList: make([]int32, 0, len(list)),
	}
	for i := range list {
		t := &next.targets[i]
		t.reportAt, t.slots = neverReported, defaultSlots
		if old, ok := p.index[list[i].Name]; ok {
			*t = p.targets[old]
			t.countedOpen = false
		}
		next.hashes[i] = xxhash.Sum64String(list[i].Name)
		t.otherDataCentre = list[i].DataCentre != dataCentre
		t.live = list[i].State == wire.StateLive
		next.index[list[i].Name] = i
		next.refresh(i, now)
	}
	for name := range p.index {
		if _, remains := next.index[name]; !remains {
			removed = append(removed, name)
		}
	}
	*p = next
	return removed
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

// recordReport records a load report. The caller calls refresh afterwards.
func (p *pool) recordReport(i int, l *wire.Load, now time.Duration) {
	t := &p.targets[i]
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
	t.reportAt = now
	t.wait = [laneCount]time.Duration{laneShort: l.WaitShort, laneLong: l.WaitLong}
	t.reportedRequests = l.Running + l.Queued
	t.slotDelay = fullBatchDelay * time.Duration(t.reportedRequests) / time.Duration(t.slots)
	t.cacheTokens = l.CacheTokens
}
