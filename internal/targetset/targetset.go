// Package targetset holds the list of targets that the platform publishes, and the leaves of targets: which of them
// drain or are gone and therefore get no new requests.
//
// The list and the leaves come from the platform, the leaves also from peers, which may have read a newer revision.
// After an outage of the list, targets whose entries expired meanwhile stay in use until they have had the time to
// register again.
package targetset

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Target is an entry of the list.
type Target struct {
	ID          string `json:"id"`      // unique among the targets that are listed together
	StartedAtMs int64  `json:"born"`    // start time of its incarnation in Unix milliseconds; 0 if unstated
	Service     string `json:"service"` // name of the service that it belongs to
	Addr        string `json:"addr"`
	DataCentre  string `json:"data_centre"`
	Slots       int    `json:"slots"` // requests that it processes concurrently
	Draining    bool   `json:"draining"`
	Revision    int64  `json:"revision"` // of the platform's list at which the entry was written
}

// Incarnation identifies the period from one start of a target to its end. A restarted target has another incarnation.
type Incarnation struct {
	ID          string
	StartedAtMs int64 `json:"Born"`
}

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedAtMs} }

// Leave states that an incarnation gets no new requests. An entry of a later revision that is not draining cancels it.
type Leave struct {
	Incarnation
	Revision int64 // of the platform's list in which the leave was seen
}

// maxLeavesKept bounds the number of leaves that are stored. Those with the lowest revision are dropped first.
const maxLeavesKept = 512

// Snapshot is the list at one revision. It is immutable.
type Snapshot struct {
	Revision  int64    // of the platform's list
	IDs       []string // of all targets, sorted
	ByID      map[string]*Target
	ByService map[string][]*Target // those that may get new work, in the order of their ids
}

// ReregistrationTime is the time after an outage of the platform's list in which a running target whose entry expired
// during the outage registers again. The platform states two seconds for this.
const ReregistrationTime = 2200 * time.Millisecond

// Set holds the list and the leaves, and publishes a snapshot after each change. It is safe for concurrent use.
type Set struct {
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	revision int64
	listed   map[string]Target
	leaves   map[Incarnation]leave // incarnations that drain or are gone
	// removalDue holds the targets whose entries were removed after an outage of the list, with the time at which they
	// count as gone.
	removalDue   map[string]time.Time
	listRegained time.Time // end of the last outage of the list
}

// New returns an empty set.
func New() *Set {
	s := &Set{listed: map[string]Target{}, leaves: map[Incarnation]leave{}, removalDue: map[string]time.Time{}}
	s.publish()
	return s
}

// Snapshot returns the latest snapshot.
func (s *Set) Snapshot() *Snapshot { return s.snapshot.Load() }

// Change is one change of the list.
type Change struct {
	ID       string
	Revision int64
	Target   *Target // nil if the entry was removed or names no usable target
}

// Regained records that the list can be read again after an outage.
func (s *Set) Regained(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listRegained = now
}

// Replace applies a complete list: entries that it does not contain are removed. An older list is ignored.
func (s *Set) Replace(revision int64, targets []Target, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.revision {
		return
	}
	present := map[string]bool{}
	for i := range targets {
		present[targets[i].ID] = true
		s.put(targets[i])
	}
	for id := range s.listed {
		if !present[id] {
			s.remove(id, revision, now)
		}
	}
	s.revision = revision
	s.publish()
}

// Apply applies changes, which are in the order of their revisions, up to a revision of the list.
func (s *Set) Apply(revision int64, changes []Change, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range changes {
		if c.Target != nil {
			s.put(*c.Target)
		} else {
			s.remove(c.ID, c.Revision, now)
		}
	}
	s.revision = max(s.revision, revision)
	s.publish()
}

// leave holds what is known about the leave of an incarnation.
type leave struct {
	revision int64     // of the platform's list in which it was seen
	learned  time.Time // when this process first learned of it
}

// leaveShareTime is the time for which a leave is sent to peers. After it, they have read the leave themselves or
// removed the target.
const leaveShareTime = 15 * time.Second

// Leave applies leaves that a peer has seen, except those that a later entry of the list cancels.
func (s *Set) Leave(list []Leave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, l := range list {
		t, listed := s.listed[l.ID]
		if listed && t.Incarnation() == l.Incarnation && t.Revision > l.Revision {
			continue
		}
		if s.leaves[l.Incarnation].revision < l.Revision {
			s.recordLeave(l.Incarnation, l.Revision)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// Leaves returns the leaves that are to be sent to peers, which are those learned within leaveShareTime.
func (s *Set) Leaves(now time.Time) []Leave {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Leave, 0, len(s.leaves))
	for i, l := range s.leaves {
		if now.Sub(l.learned) < leaveShareTime {
			out = append(out, Leave{i, l.revision})
		}
	}
	return out
}

// recordLeave stores a leave. The caller holds the lock.
func (s *Set) recordLeave(i Incarnation, revision int64) {
	l, known := s.leaves[i]
	if !known {
		l.learned = time.Now()
	}
	l.revision = max(l.revision, revision)
	s.leaves[i] = l
	if len(s.leaves) <= maxLeavesKept {
		return
	}
	oldest := i
	for k, other := range s.leaves {
		if other.revision < s.leaves[oldest].revision {
			oldest = k
		}
	}
	delete(s.leaves, oldest)
}

// Targets returns the revision of the list and all its targets.
func (s *Set) Targets() (int64, []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, slices.Collect(maps.Values(s.listed))
}

// Expire removes the targets that have not registered again within ReregistrationTime after an outage of the list.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for id, at := range s.removalDue {
		if now.Before(at) {
			continue
		}
		t := s.listed[id]
		s.recordLeave(t.Incarnation(), s.revision)
		delete(s.listed, id)
		delete(s.removalDue, id)
		changed = true
	}
	if changed {
		s.publish()
	}
}

// put adds or replaces an entry, unless a later one is known. The caller holds the lock.
func (s *Set) put(t Target) {
	if old, ok := s.listed[t.ID]; ok && old.Revision > t.Revision {
		return
	}
	delete(s.removalDue, t.ID)
	s.listed[t.ID] = t
	switch i := t.Incarnation(); {
	case t.Draining:
		s.recordLeave(i, t.Revision)
	case s.leaves[i].revision < t.Revision:
		delete(s.leaves, i)
	}
}

// remove removes an entry, unless a later one is known. An entry that is removed within ReregistrationTime after an
// outage of the list stays in use for the rest of that time, so that its target can register again. The caller holds the
// lock.
func (s *Set) remove(id string, revision int64, now time.Time) {
	t, ok := s.listed[id]
	if !ok || t.Revision > revision {
		return
	}
	_, leaving := s.leaves[t.Incarnation()]
	if back := s.listRegained.Add(ReregistrationTime); now.Before(back) && !leaving {
		if _, pending := s.removalDue[id]; !pending {
			s.removalDue[id] = back
		}
		return
	}
	s.recordLeave(t.Incarnation(), revision)
	delete(s.listed, id)
}

// publish stores a new snapshot of the present state. The caller holds the lock.
func (s *Set) publish() {
	snap := &Snapshot{Revision: s.revision, ByID: make(map[string]*Target, len(s.listed)), ByService: map[string][]*Target{}}
	snap.IDs = slices.Sorted(maps.Keys(s.listed))
	for _, id := range snap.IDs {
		t := s.listed[id]
		snap.ByID[id] = &t
		if _, leaving := s.leaves[t.Incarnation()]; !leaving {
			snap.ByService[t.Service] = append(snap.ByService[t.Service], &t)
		}
	}
	s.snapshot.Store(snap)
}
