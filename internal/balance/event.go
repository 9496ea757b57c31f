package balance

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/contention"
)

// EventKind names a change in the balancer's assessment of a target or a group.
type EventKind string

// Kinds of events.
const (
	EventAvoided   EventKind = "target-avoided" // it gets no requests for Backoff, after consecutive failures
	EventRecovered EventKind = "target-used"    // it has served a request after it was avoided
	EventClosed    EventKind = "group-closed"   // its coordinator reports that it takes no requests
	EventOpened    EventKind = "group-opened"
	EventSilent    EventKind = "group-silent"   // it is stalled: no event for Age although it has requests in flight
	EventLeaves    EventKind = "target-leaving" // it has said in an answer that it leaves
	EventQuiet     EventKind = "target-quiet"   // it has asked for no requests for Backoff
	EventAnswers   EventKind = "group-answers"  // it has sent an event after it was stalled
	// EventContended means that requests of a service with priorities have to wait or are refused because places are lacking,
	// and EventCalm that no request did or was for a while.
	EventContended EventKind = "service-contended"
	EventCalm      EventKind = "service-calm"
)

// Event is a change in the balancer's assessment of a target, a group or a service. Fields that do not apply to its kind are
// empty.
type Event struct {
	Kind    EventKind
	Target  string
	Group   string
	Weight  int           // weight of the consecutive failures
	Backoff time.Duration // time for which the target is avoided
	Age     time.Duration // time since the last event of the group, or for which a service was contended
	Service string
	Counts  contention.Counts // decisions while the service was contended
}

// notify passes an event to Notify. The caller holds the lock.
func (b *Balancer) notify(e Event) {
	if b.Notify != nil {
		b.Notify(e)
	}
}

// recordResult records how a request ended in the health of its target, and notifies of a change. The caller holds the
// lock.
func (b *Balancer) recordResult(target string, h *health, r Result, now time.Time) {
	before := h.backoff
	h.record(r, now)
	switch {
	case h.backoff > before:
		b.notify(Event{Kind: EventAvoided, Target: target, Weight: h.failureWeight, Backoff: h.backoff})
	case h.backoff == 0 && before > 0:
		b.notify(Event{Kind: EventRecovered, Target: target})
	}
}
