// Package targetset knows the targets that the platform lists, and which of them are leaving.
package targetset

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Target is one listed target.
type Target struct {
	ID         string `json:"id"`      // unique among the targets that are listed together
	Born       int64  `json:"born"`    // start of its incarnation in Unix milliseconds; 0 if unstated
	Service    string `json:"service"` // that it belongs to
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	Slots      int    `json:"slots"` // requests that it processes at once
	Draining   bool   `json:"draining"`
	Revision   int64  `json:"revision"` // of the platform's list at which the entry was written
}

// Incarnation names one start of a target.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.Born} }

// Leave is an incarnation that gets no new work. An entry written after the revision cancels it.
type Leave struct {
	Incarnation
	Revision int64 // of the platform's list at which the leave was seen
}

// maxLeaves bounds the leaves that are remembered; the oldest are forgotten first.
const maxLeaves = 512

// Snapshot is the list at one revision. It is immutable.
type Snapshot struct {
	Revision  int64    // of the platform's list
	IDs       []string // of all targets, sorted
	ByID      map[string]*Target
	ByService map[string][]*Target // those that may get new work, in the order of their ids
}

// LapseGrace is the time after the return of the platform's list in which an entry that expired during the outage is
// back if its target is alive: the platform states two seconds.
const LapseGrace = 2200 * time.Millisecond

// Set holds the latest snapshot. It is safe for concurrent use.
type Set struct {
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	revision int64
	listed   map[string]Target
	left     map[Incarnation]leave // draining or gone
	lapsed   map[string]time.Time  // removed around an outage of the list; time at which they count as gone
	regained time.Time             // end of the last outage of the list
}

// New returns an empty set.
func New() *Set {
	s := &Set{listed: map[string]Target{}, left: map[Incarnation]leave{}, lapsed: map[string]time.Time{}}
	s.publish()
	return s
}

// Snapshot returns the present list.
func (s *Set) Snapshot() *Snapshot { return s.snapshot.Load() }

// Change is one change of the list.
type Change struct {
	ID       string
	Revision int64
	Target   *Target // nil if the entry was removed or names no usable target
}

// Regained tells that the list can be read again after an outage.
func (s *Set) Regained(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.regained = now
}

// Replace takes in a whole list: what it lacks is removed.
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

// Apply takes in changes in the order of their revisions.
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

// leave is what is known of an incarnation's leave.
type leave struct {
	revision int64     // at which it was seen
	learnt   time.Time // by this process
}

// tellAge is the time for which peers are told a leave. By then they have read it themselves or removed the target.
const tellAge = 15 * time.Second

// Leave takes in leaves that a peer has seen.
func (s *Set) Leave(list []Leave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, l := range list {
		t, listed := s.listed[l.ID]
		if listed && t.Incarnation() == l.Incarnation && t.Revision > l.Revision {
			continue
		}
		if s.left[l.Incarnation].revision < l.Revision {
			s.mark(l.Incarnation, l.Revision)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// Leaves returns the leaves that were learnt lately.
func (s *Set) Leaves(now time.Time) []Leave {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Leave, 0, len(s.left))
	for i, l := range s.left {
		if now.Sub(l.learnt) < tellAge {
			out = append(out, Leave{i, l.revision})
		}
	}
	return out
}

// mark records a leave. The caller holds the lock.
func (s *Set) mark(i Incarnation, revision int64) {
	l, known := s.left[i]
	if !known {
		l.learnt = time.Now()
	}
	l.revision = max(l.revision, revision)
	s.left[i] = l
	if len(s.left) <= maxLeaves {
		return
	}
	oldest := i
	for k, other := range s.left {
		if other.revision < s.left[oldest].revision {
			oldest = k
		}
	}
	delete(s.left, oldest)
}

// Targets returns all listed targets.
func (s *Set) Targets() (int64, []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, slices.Collect(maps.Values(s.listed))
}

// Expire removes the targets whose entries did not come back in time after an outage of the list.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for id, at := range s.lapsed {
		if now.Before(at) {
			continue
		}
		t := s.listed[id]
		s.mark(t.Incarnation(), s.revision)
		delete(s.listed, id)
		delete(s.lapsed, id)
		changed = true
	}
	if changed {
		s.publish()
	}
}

func (s *Set) put(t Target) {
	if old, ok := s.listed[t.ID]; ok && old.Revision > t.Revision {
		return
	}
	delete(s.lapsed, t.ID)
	s.listed[t.ID] = t
	switch i := t.Incarnation(); {
	case t.Draining:
		s.mark(i, t.Revision)
	case s.left[i].revision < t.Revision:
		delete(s.left, i)
	}
}

// remove drops an entry. An entry that expired around an outage of the list stays in use until its target had the time
// to register again.
func (s *Set) remove(id string, revision int64, now time.Time) {
	t, ok := s.listed[id]
	if !ok || t.Revision > revision {
		return
	}
	_, leaving := s.left[t.Incarnation()]
	if back := s.regained.Add(LapseGrace); now.Before(back) && !leaving {
		if _, pending := s.lapsed[id]; !pending {
			s.lapsed[id] = back
		}
		return
	}
	s.mark(t.Incarnation(), revision)
	delete(s.listed, id)
}

// publish makes the state visible to requests. The caller holds the lock.
func (s *Set) publish() {
	snap := &Snapshot{Revision: s.revision, ByID: make(map[string]*Target, len(s.listed)), ByService: map[string][]*Target{}}
	snap.IDs = slices.Sorted(maps.Keys(s.listed))
	for _, id := range snap.IDs {
		t := s.listed[id]
		snap.ByID[id] = &t
		if _, leaving := s.left[t.Incarnation()]; !leaving {
			snap.ByService[t.Service] = append(snap.ByService[t.Service], &t)
		}
	}
	s.snapshot.Store(snap)
}
