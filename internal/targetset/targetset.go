// Package targetset holds the list of targets that the platform publishes, the leaves of targets: which of them drain or
// are gone and therefore get no new requests, and the data centres that an operator has evacuated.
//
// The list and the leaves come from the platform, the leaves also from the answers of targets and from peers, which may have read a newer list.
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
	// ColdFor is how much longer the target is cold, from the time of its entry; 0 if it is not or does not say so.
	ColdFor  time.Duration `json:"cold,omitempty"`
	Position               // of the platform's list at which the entry was written
}

// Incarnation identifies the period from one start of a target to its end. A restarted target has another incarnation.
type Incarnation struct {
	ID          string
	StartedAtMs int64 `json:"Born"`
}

// Incarnation returns the incarnation of the target.
func (t *Target) Incarnation() Incarnation { return Incarnation{t.ID, t.StartedAtMs} }

// Leave states that an incarnation gets no new requests.
type Leave struct {
	Incarnation
	Position      // of the platform's list in which the leave was seen
	Final    bool `json:"final,omitempty"` // see leave.final
}

// maxLeavesKept bounds the number of leaves that are stored beyond one for each listed target. A leave is not dropped while
// its target is listed, since the target would be used again.
const maxLeavesKept = 512

// Snapshot is the list at one position. It is immutable.
type Snapshot struct {
	Position           // of the platform's list
	IDs       []string // of all targets, sorted
	ByID      map[string]*Target
	ByService map[string][]*Target // those that may get new work, in the order of their ids
	// Evacuations holds the evacuated data centres, in the order of their names.
	Evacuations []Evacuation
	// SetAside holds by service the targets that get no new work only because their data centres are evacuated.
	SetAside map[string][]*Target
}

// ReregistrationTime is the time after an outage of the platform's list in which a running target whose entry expired
// during the outage registers again. The platform states two seconds for this.
const ReregistrationTime = 2200 * time.Millisecond

// Set holds the list and the leaves, and publishes a snapshot after each change. It is safe for concurrent use.
type Set struct {
	// Notify receives an event for each change of the evacuations. It must neither block nor call the set. It may be nil,
	// and must not be changed once the set is in use.
	Notify func(EvacuationEvent)

	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	position Position
	eraStart Position // first position that was seen in the present era
	// eraLearned is the time at which this process first saw the present era.
	eraLearned time.Time
	listed     map[string]Target
	leaves     map[Incarnation]leave // incarnations that drain or are gone
	// leaveChanges is the number of changes of leaves so far.
	leaveChanges int64
	// removalDue holds the targets whose entries were removed after an outage of the list, with the time at which they
	// count as gone.
	removalDue   map[string]time.Time
	listRegained time.Time // end of the last outage of the list
	// evacuations holds the position at which each evacuation in force was set, by data centre.
	evacuations map[string]Position
}

// New returns an empty set.
func New() *Set {
	s := &Set{listed: map[string]Target{}, leaves: map[Incarnation]leave{}, removalDue: map[string]time.Time{},
		evacuations: map[string]Position{}}
	s.publish()
	return s
}

// Snapshot returns the latest snapshot.
func (s *Set) Snapshot() *Snapshot { return s.snapshot.Load() }

// Change is one change of the list.
type Change struct {
	ID string
	Position
	Target *Target // nil if the entry was removed or names no usable target
}

// Regained records that the list can be read again after an outage.
func (s *Set) Regained(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listRegained = now
}

// Replace applies a complete list of targets and evacuations: entries that it does not contain are removed. An older list is
// ignored.
func (s *Set) Replace(p Position, targets []Target, now time.Time, evacuations ...Evacuation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Before(s.position) {
		return
	}
	s.advance(p, now)
	present := map[string]bool{}
	for i := range targets {
		present[targets[i].ID] = true
		s.put(targets[i])
	}
	for id := range s.listed {
		if !present[id] {
			s.remove(id, p, now)
		}
	}
	s.replaceEvacuations(evacuations, now)
	s.publish()
}

// Apply applies changes, which are in the order of their positions, up to a position of the list.
func (s *Set) Apply(p Position, changes []Change, now time.Time, evacuations ...EvacuationChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Era < s.position.Era {
		return
	}
	for _, c := range changes {
		if c.Target != nil {
			s.put(*c.Target)
		} else {
			s.remove(c.ID, c.Position, now)
		}
	}
	for _, c := range evacuations {
		s.applyEvacuation(c)
	}
	s.advance(p, now)
	s.publish()
}

// advance raises the position of the set. A new era counts as an outage of the list, since entries that were written
// after the copy was made are missing until their targets have written them again. The caller holds the lock.
func (s *Set) advance(p Position, now time.Time) {
	if p.Era > s.position.Era {
		s.eraStart = p
		s.eraLearned, s.listRegained = now, now
	}
	if s.position.Before(p) {
		s.position = p
	}
}

// leave holds what is known about the leave of an incarnation.
type leave struct {
	position Position  // of the platform's list in which it was seen
	learned  time.Time // when this process first learned of it
	// final means that the target has said in an answer that it leaves, which no entry cancels.
	final bool
	// expired means that Expire has removed the target, without a change of the list.
	expired bool
	// change is the value of Set.leaveChanges at the last change of this leave.
	change int64
}

// cancelledBy reports whether an entry shows that the incarnation does not leave after all. An entry of another era
// does so only if it was written after the start of that era, since the copy may be older than the leave.
func (l leave) cancelledBy(t *Target, eraStart Position) bool {
	if l.final || t.Draining || !l.position.Before(t.Position) {
		return false
	}
	return l.position.Era == t.Era || eraStart.Before(t.Position)
}

// leaveShareTime is the time for which the leave of a target that is not listed is sent to peers. After it, they have removed
// the target themselves. The leave of a listed target is sent as long as it is listed, since the list need not say that the
// target leaves, and an entry may start at any time. The leave of a target that has not registered again after an outage is sent until
// the list changes, since peers at the same position of the list learn of it in no other way.
const leaveShareTime = 15 * time.Second

// Leave applies leaves that a peer has seen, except those that a later entry of the list cancels.
func (s *Set) Leave(list []Leave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, l := range list {
		t, listed := s.listed[l.ID]
		seen := leave{position: l.Position, final: l.Final}
		if listed && t.Incarnation() == l.Incarnation && seen.cancelledBy(&t, s.eraStart) {
			continue
		}
		if known, ok := s.leaves[l.Incarnation]; !ok || known.position.Before(l.Position) || l.Final && !known.final {
			s.recordLeave(l.Incarnation, l.Position, l.Final)
			changed = true
		}
	}
	if changed {
		s.publish()
	}
}

// Announced records that a target has said in an answer that it leaves. It reports whether this was not known before.
func (s *Set) Announced(i Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaves[i].final {
		return false
	}
	s.recordLeave(i, s.position, true)
	s.publish()
	return true
}

// IsLeaving reports whether an incarnation drains or is gone.
func (s *Set) IsLeaving(i Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, leaving := s.leaves[i]
	return leaving
}

// Leaves returns the leaves that are to be sent to a peer, which are those of listed targets and those learned within
// leaveShareTime that have changed since the change with the number after; 0 stands for all. It also returns the number of
// the last change.
func (s *Set) Leaves(after int64, now time.Time) (out []Leave, last int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == s.leaveChanges {
		return nil, after
	}
	for i, l := range s.leaves {
		if l.change > after && (s.isListed(i) || now.Sub(l.learned) < leaveShareTime || l.expired && l.position == s.position) {
			out = append(out, Leave{i, l.position, l.final})
		}
	}
	return out, s.leaveChanges
}

// recordLeave stores a leave. The caller holds the lock.
func (s *Set) recordLeave(i Incarnation, p Position, final bool) {
	l, known := s.leaves[i]
	if !known {
		l.learned = time.Now()
	}
	if !known || l.position.Before(p) || final && !l.final {
		s.leaveChanges++
		l.change = s.leaveChanges
	}
	if l.position.Before(p) {
		l.position = p
	}
	l.final = l.final || final
	s.leaves[i] = l
	if len(s.leaves) > maxLeavesKept+len(s.listed) {
		s.dropOldestLeave()
	}
}

// isListed reports whether the list names the incarnation. The caller holds the lock.
func (s *Set) isListed(i Incarnation) bool {
	t, ok := s.listed[i.ID]
	return ok && t.Incarnation() == i
}

// dropOldestLeave drops the leave with the oldest position of those whose incarnation is not listed. Of several at one
// position it drops the one that has not changed for the longest time. The caller holds the lock.
func (s *Set) dropOldestLeave() {
	var oldest Incarnation
	found := false
	for i, l := range s.leaves {
		if s.isListed(i) {
			continue
		}
		if !found || l.olderThan(s.leaves[oldest]) {
			oldest, found = i, true
		}
	}
	if found {
		delete(s.leaves, oldest)
	}
}

// olderThan reports whether the leave is dropped before another one.
func (l leave) olderThan(other leave) bool {
	if l.position != other.position {
		return l.position.Before(other.position)
	}
	return l.change < other.change
}

// Expire removes the targets that have not registered again within ReregistrationTime after an outage of the list, and ends
// the evacuations that have not been set again after a restoration.
func (s *Set) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.expireEvacuations(now)
	for id, at := range s.removalDue {
		if now.Before(at) {
			continue
		}
		t := s.listed[id]
		s.recordLeave(t.Incarnation(), s.position, false)
		l := s.leaves[t.Incarnation()]
		l.expired = true
		s.leaves[t.Incarnation()] = l
		delete(s.listed, id)
		delete(s.removalDue, id)
		changed = true
	}
	if changed {
		s.publish()
	}
}

// put adds or replaces an entry, unless a later one or one of a later incarnation is known. The caller holds the lock.
func (s *Set) put(t Target) {
	if old, ok := s.listed[t.ID]; ok && (t.Position.Before(old.Position) || t.StartedAtMs > 0 && t.StartedAtMs < old.StartedAtMs) {
		return
	}
	delete(s.removalDue, t.ID)
	s.listed[t.ID] = t
	i := t.Incarnation()
	if t.Draining {
		s.recordLeave(i, t.Position, false)
		return
	}
	if l, ok := s.leaves[i]; ok && l.cancelledBy(&t, s.eraStart) {
		delete(s.leaves, i)
	}
}

// remove removes an entry, unless a later one is known. An entry that is removed within ReregistrationTime after an
// outage of the list stays in use for the rest of that time, so that its target can register again. The caller holds the
// lock.
func (s *Set) remove(id string, p Position, now time.Time) {
	t, ok := s.listed[id]
	if !ok || p.Before(t.Position) {
		return
	}
	_, leaving := s.leaves[t.Incarnation()]
	if back := s.listRegained.Add(ReregistrationTime); now.Before(back) && !leaving {
		if _, pending := s.removalDue[id]; !pending {
			s.removalDue[id] = back
		}
		return
	}
	s.recordLeave(t.Incarnation(), p, false)
	delete(s.listed, id)
}

// publish stores a new snapshot of the present state. The caller holds the lock.
func (s *Set) publish() {
	snap := &Snapshot{Position: s.position, ByID: make(map[string]*Target, len(s.listed)), ByService: map[string][]*Target{},
		Evacuations: s.evacuationList(), SetAside: map[string][]*Target{}}
	snap.IDs = slices.Sorted(maps.Keys(s.listed))
	for _, id := range snap.IDs {
		t := s.listed[id]
		snap.ByID[id] = &t
		if _, leaving := s.leaves[t.Incarnation()]; leaving {
			continue
		}
		group := snap.ByService
		if s.isEvacuated(t.DataCentre) {
			group = snap.SetAside
		}
		group[t.Service] = append(group[t.Service], &t)
	}
	s.snapshot.Store(snap)
}
