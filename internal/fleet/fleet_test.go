package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

func newTestFleet(control string) *Fleet {
	return New(Options{Self: Entry{Name: control, Control: control}, Tables: &routetable.Store{}, Targets: targetset.New(),
		Notify: func(Event) {}})
}

func (f *Fleet) hear(control string, reading bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.learnEntry(Entry{Name: control, Control: control, Started: 1}, now)
	e.heard, e.reading = now, reading
	f.judge(e, now)
}

// TestSomeEntriesAlwaysRead guards against a fleet in which nobody follows the platform, since the readers are gone or
// cannot reach it, and against one in which all do.
func TestSomeEntriesAlwaysRead(t *testing.T) {
	now := time.Now()
	f := newTestFleet("c50")
	for i := range maxReaders {
		f.hear(fmt.Sprintf("c1%d", i), true, now)
		f.hear(fmt.Sprintf("c9%d", i), true, now)
	}
	if !f.EnoughReaders() {
		t.Error("the entry reads beside enough others")
	}
	f.hear("c10", false, now)
	if f.EnoughReaders() {
		t.Error("the entry does not read though one of the readers cannot reach the platform")
	}
	f.hear("c10", true, now)
	f.mu.Lock()
	f.judge(f.entries["c11"], now.Add(2*liveAge))
	f.mu.Unlock()
	if f.EnoughReaders() {
		t.Error("the entry does not read though one of the readers is out of touch")
	}
}

// TestInFlightNeedsOneList guards against counts that are taken for those of other targets while lists differ.
func TestInFlightNeedsOneList(t *testing.T) {
	set := targetset.New()
	list := func(revision int64, ids ...string) *targetset.Snapshot {
		var targets []targetset.Target
		for _, id := range ids {
			targets = append(targets, targetset.Target{ID: id, Service: "s", Revision: 1})
		}
		set.Replace(revision, targets, time.Now())
		return set.Snapshot()
	}
	a := list(3, "x", "y", "z")
	beat := Beat{List: a.Revision, InFlight: encodeInFlight(a, map[string]int{"y": 2, "z": 999})}
	got, ok := decodeInFlight(a, beat)
	if !ok || got["x"] != 0 || got["y"] != 2 || got["z"] != maxInFlight {
		t.Errorf("%v %v", got, ok)
	}
	if _, ok := decodeInFlight(list(4, "x", "y"), beat); ok {
		t.Error("counts of another list are used")
	}
}
