package quarantine

import "time"

// EventKind names what a tracker has learned.
type EventKind string

// Kinds of events.
const (
	EventCrash       EventKind = "engine-crashed"   // with requests whose answers had not begun
	EventQuarantined EventKind = "part-quarantined" // requests with it are refused
	EventReleased    EventKind = "part-released"    // an answer with it has begun
)

// Event is something that a tracker has learned. Fields that do not apply to its kind are empty.
type Event struct {
	Kind    EventKind
	Engine  string // id of the target
	Parts   []Part // shared parts of the request that it held
	Part    Part
	Crashes int           // under the part
	For     time.Duration // of the quarantine
}

// notify passes an event to Notify. The caller holds the lock.
func (t *Tracker) notify(e Event) {
	if t.Notify != nil {
		t.Notify(e)
	}
}
