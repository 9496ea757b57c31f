package balance

import "time"

// EventKind names a change of what the balancer believes of a target or a group.
type EventKind string

// Kinds of events.
const (
	EventAvoided EventKind = "target-avoided" // after failures in a row, for Backoff
	EventUsed    EventKind = "target-used"    // it has served a request again
	EventClosed  EventKind = "group-closed"   // its coordinator says that it takes no requests
	EventOpened  EventKind = "group-opened"
	EventSilent  EventKind = "group-silent" // no event came from it for the time in Age, though requests run there
	EventAnswers EventKind = "group-answers"
)

// Event is one such change.
type Event struct {
	Kind    EventKind
	Target  string
	Group   string
	Weight  int           // of the failures in a row
	Backoff time.Duration // for which the target is avoided
	Age     time.Duration // since the last event of the group
}

// notify tells an event. The caller holds the lock.
func (b *Balancer) notify(e Event) {
	if b.Notify != nil {
		b.Notify(e)
	}
}

// recordResult takes in how a request ended at a target.
func (b *Balancer) recordResult(target string, h *health, r Result, now time.Time) {
	before := h.backoff
	h.record(r, now)
	switch {
	case h.backoff > before:
		b.notify(Event{Kind: EventAvoided, Target: target, Weight: h.failureWeight, Backoff: h.backoff})
	case h.backoff == 0 && before > 0:
		b.notify(Event{Kind: EventUsed, Target: target})
	}
}
