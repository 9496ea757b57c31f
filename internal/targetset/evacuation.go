package targetset

import (
	"maps"
	"slices"
	"time"
)

// Evacuation is the operator's order that the targets of a data centre get no requests.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	Position          // position of the platform's list at which it was set
}

// EvacuationChange is the start or the end of an evacuation.
type EvacuationChange struct {
	DataCentre string
	Position
	Ended bool
}

// EvacuationEvent reports a change of the evacuations in force.
type EvacuationEvent struct {
	Kind       EvacuationEventKind
	DataCentre string
	Position       // of the list before the change
	Targets    int // listed targets of the data centre
}

// EvacuationEventKind is the kind of an EvacuationEvent.
type EvacuationEventKind string

// Kinds of events.
const (
	EvacuationSet   EvacuationEventKind = "evacuation-set"
	EvacuationEnded EvacuationEventKind = "evacuation-ended" // taken back by the operator
	// EvacuationLapsed means that the operator has not set the evacuation again in time after the list was restored from a copy.
	EvacuationLapsed EvacuationEventKind = "evacuation-lapsed"
)

// evacuationRewriteTime is the time after the restoration of the list from a copy for which an evacuation that the copy
// lacks stays in force. The operator repeats the writes that the copy lacks.
const evacuationRewriteTime = 10 * time.Second

// MaySend reports whether a request may be sent to the target now: it neither leaves nor is in an evacuated data centre.
func (s *Set) MaySend(t *Target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, leaving := s.leaves[t.Incarnation()]
	return !leaving && !s.isEvacuated(t.DataCentre)
}

// IsEvacuated reports whether a data centre is evacuated.
func (s *Set) IsEvacuated(dataCentre string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isEvacuated(dataCentre)
}

// isEvacuated reports whether a data centre is evacuated. The caller holds the lock.
func (s *Set) isEvacuated(dataCentre string) bool {
	_, ok := s.evacuations[dataCentre]
	return ok
}

// replaceEvacuations applies the complete evacuations at the position of the set. Evacuations that are missing end, unless
// they were set later or may still be set again after a restoration. The caller holds the lock.
func (s *Set) replaceEvacuations(list []Evacuation, now time.Time) {
	present := map[string]bool{}
	for _, e := range list {
		if e.Era < s.position.Era && !s.awaitsRewrite(now) {
			continue // a peer that learned of the restoration later still waits for it
		}
		present[e.DataCentre] = true
		s.setEvacuation(e)
	}
	for dataCentre, set := range s.evacuations {
		switch {
		case present[dataCentre], s.position.Before(set):
		case set.Era < s.position.Era && s.awaitsRewrite(now):
		default:
			s.endEvacuation(dataCentre, EvacuationEnded)
		}
	}
}

// awaitsRewrite reports whether the list was restored so lately that evacuations of earlier eras stay in force. The caller
// holds the lock.
func (s *Set) awaitsRewrite(now time.Time) bool {
	return now.Before(s.eraLearned.Add(evacuationRewriteTime))
}

// applyEvacuation applies a change of an evacuation. A start at or before the position of the set has no effect: the
// set contains it, or it has ended since. The caller holds the lock.
func (s *Set) applyEvacuation(c EvacuationChange) {
	set, evacuated := s.evacuations[c.DataCentre]
	switch {
	case c.Ended && evacuated && set.Before(c.Position):
		s.endEvacuation(c.DataCentre, EvacuationEnded)
	case !c.Ended && s.position.Before(c.Position):
		s.setEvacuation(Evacuation{c.DataCentre, c.Position})
	}
}

// setEvacuation puts an evacuation in force. The caller holds the lock.
func (s *Set) setEvacuation(e Evacuation) {
	set, evacuated := s.evacuations[e.DataCentre]
	if !evacuated || set.Before(e.Position) {
		s.evacuations[e.DataCentre] = e.Position
	}
	if !evacuated {
		s.notifyEvacuation(EvacuationSet, e.DataCentre)
	}
}

// endEvacuation ends an evacuation. The caller holds the lock.
func (s *Set) endEvacuation(dataCentre string, kind EvacuationEventKind) {
	delete(s.evacuations, dataCentre)
	s.notifyEvacuation(kind, dataCentre)
}

// expireEvacuations ends the evacuations that have not been set again in time after a restoration of the list, and reports
// whether there were any. The caller holds the lock.
func (s *Set) expireEvacuations(now time.Time) bool {
	if s.awaitsRewrite(now) {
		return false
	}
	expired := false
	for dataCentre, set := range s.evacuations {
		if set.Era < s.position.Era {
			s.endEvacuation(dataCentre, EvacuationLapsed)
			expired = true
		}
	}
	return expired
}

// notifyEvacuation sends an event. The caller holds the lock.
func (s *Set) notifyEvacuation(kind EvacuationEventKind, dataCentre string) {
	if s.Notify == nil {
		return
	}
	targets := 0
	for _, t := range s.listed {
		if t.DataCentre == dataCentre {
			targets++
		}
	}
	s.Notify(EvacuationEvent{kind, dataCentre, s.position, targets})
}

// evacuationList returns the evacuations in force, sorted by data centre. The caller holds the lock.
func (s *Set) evacuationList() []Evacuation {
	var out []Evacuation
	for _, dataCentre := range slices.Sorted(maps.Keys(s.evacuations)) {
		out = append(out, Evacuation{dataCentre, s.evacuations[dataCentre]})
	}
	return out
}
