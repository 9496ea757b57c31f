package balance

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/contention"
)

const (
	// stallEventGaps is the time without an event after which a group counts as stalled, in multiples of the longest
	// event gap that is on time. It applies while the group has requests of this process. A group that has lost a rank
	// stalls as a whole, and its coordinator, which would report this, may have been on the VM that is lost.
	stallEventGaps = 4
	// stallProbeInterval is the time between two requests that test whether a stalled group has resumed work.
	stallProbeInterval = 400 * time.Millisecond
)

// progress tracks whether an engine group sends events for the requests of this process.
type progress struct {
	group         string
	running       int       // requests in flight from this process
	lastEvent     time.Time // time of the last event, or of the first request since the group had none in flight
	lastProbe     time.Time // time of the last request that was sent to the group while it was stalled
	stallReported bool      // EventSilent was sent for the present stall
	mean          float64   // requests of each rank when a place was last sought, for services with priorities
	reserve       contention.ImbalanceReserve
}

// requestSent records that a request was sent to the group.
func (p *progress) requestSent(now time.Time, gap time.Duration) {
	if p.running == 0 {
		p.lastEvent = now
	}
	if p.stalled(now, gap) {
		p.lastProbe = now
	}
	p.running++
}

// stalled reports whether the group has requests in flight and has sent no event for stallEventGaps times the gap.
func (p *progress) stalled(now time.Time, gap time.Duration) bool {
	return p.running > 0 && now.Sub(p.lastEvent) > stallEventGaps*gap
}

// stalledAndProbed reports whether the group of a target is stalled and was probed within stallProbeInterval, so that
// it should get no request now.
func (b *Balancer) stalledAndProbed(addr string, now time.Time, gap time.Duration) bool {
	p := b.progressOf(addr)
	if p == nil || !p.stalled(now, gap) {
		return false
	}
	if !p.stallReported {
		p.stallReported = true
		b.notify(Event{Kind: EventSilent, Group: p.group, Age: now.Sub(p.lastEvent)})
	}
	return now.Sub(p.lastProbe) < stallProbeInterval
}

// progressOf returns the progress of a target's group, or nil if no report ever named the target. Outdated reports are
// used too, as they still state which engines belong together.
func (b *Balancer) progressOf(addr string) *progress {
	g := b.groupByEngine[addr]
	if g == nil {
		return nil
	}
	p := b.progress[g.report.Name]
	if p == nil {
		p = &progress{group: g.report.Name}
		b.progress[g.report.Name] = p
	}
	return p
}

// groupAnswered records an event of a group.
func (b *Balancer) groupAnswered(p *progress, now time.Time) {
	if p.stallReported {
		p.stallReported = false
		b.notify(Event{Kind: EventAnswers, Group: p.group, Age: now.Sub(p.lastEvent)})
	}
	p.lastEvent = now
}

// EventReceived records that the target has sent an event of the request's stream. gap is the time since the event
// before it, or 0 for the first one.
func (l *Lease) EventReceived(gap time.Duration) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	now := l.b.now()
	if l.progress != nil {
		l.b.groupAnswered(l.progress, now)
	}
	if l.contention != nil && !l.answered {
		l.contention.FirstEvent(now.Sub(l.started), now)
	}
	l.promptProcessed()
	if gap > 0 {
		l.s.lastEventGap, l.s.lastEventGapAt = gap, now
		l.recordImbalance(gap, now)
	}
}
