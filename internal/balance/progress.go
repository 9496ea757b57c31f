package balance

import "time"

const (
	// stallEventGaps is the number of longest pauses on time without an event from a group, while it has requests of this
	// process, after which the group counts as stalled. A group whose rank is gone stalls as a whole, and its coordinator,
	// which could tell, may be on the VM that is gone.
	stallEventGaps = 4
	// stallProbeInterval is the time between two requests that test whether a stalled group goes on.
	stallProbeInterval = 400 * time.Millisecond
)

// progress tells whether an engine group answers at all, from the events of this process's own requests.
type progress struct {
	group           string
	running         int       // requests in flight from this process
	lastEvent       time.Time // last event, or start of the first request in flight
	lastProbe       time.Time // last request that was sent in spite of a stall
	silenceReported bool      // the silence was told
}

func (p *progress) requestSent(now time.Time, gap time.Duration) {
	if p.running == 0 {
		p.lastEvent = now
	}
	if p.silent(now, gap) {
		p.lastProbe = now
	}
	p.running++
}

func (p *progress) silent(now time.Time, gap time.Duration) bool {
	return p.running > 0 && now.Sub(p.lastEvent) > stallEventGaps*gap
}

// stalled says whether the group of a target should get no request now.
func (b *Balancer) stalled(addr string, now time.Time, gap time.Duration) bool {
	p := b.progressOf(addr)
	if p == nil || !p.silent(now, gap) {
		return false
	}
	if !p.silenceReported {
		p.silenceReported = true
		b.notify(Event{Kind: EventSilent, Group: p.group, Age: now.Sub(p.lastEvent)})
	}
	return now.Sub(p.lastProbe) < stallProbeInterval
}

// progressOf returns the progress of a target's group, or nil if no report ever named the group. An old report still tells
// which engines belong together.
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

// groupAnswered takes in an event of a group.
func (b *Balancer) groupAnswered(p *progress, now time.Time) {
	if p.silenceReported {
		p.silenceReported = false
		b.notify(Event{Kind: EventAnswers, Group: p.group, Age: now.Sub(p.lastEvent)})
	}
	p.lastEvent = now
}

// EventReceived tells that the target has sent an event of the request's stream, and the pause before it, or 0 for the first one.
func (l *Lease) EventReceived(gap time.Duration) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	now := l.b.now()
	if l.progress != nil {
		l.b.groupAnswered(l.progress, now)
	}
	if gap > 0 {
		l.s.lastEventGap, l.s.lastEventGapAt = gap, now
	}
}
