package balance

import "time"

const (
	// stallGaps is the number of longest pauses on time without an event from a group, while it has requests of this
	// process, after which the group counts as stalled. A group whose rank is gone stalls as a whole, and its coordinator,
	// which could tell, may be on the VM that is gone.
	stallGaps = 4
	// stallTrial is the time between two requests that test whether a stalled group goes on.
	stallTrial = 400 * time.Millisecond
)

// progress tells whether an engine group answers at all, from the events of this process's own requests.
type progress struct {
	group   string
	running int       // requests in flight from this process
	last    time.Time // last event, or start of the first request in flight
	trial   time.Time // last request that was sent in spite of a stall
	told    bool      // the silence was told
}

func (p *progress) began(now time.Time, gap time.Duration) {
	if p.running == 0 {
		p.last = now
	}
	if p.silent(now, gap) {
		p.trial = now
	}
	p.running++
}

func (p *progress) silent(now time.Time, gap time.Duration) bool {
	return p.running > 0 && now.Sub(p.last) > stallGaps*gap
}

// stalled says whether the group of a target should get no request now.
func (b *Balancer) stalled(addr string, now time.Time, gap time.Duration) bool {
	p := b.progressOf(addr)
	if p == nil || !p.silent(now, gap) {
		return false
	}
	if !p.told {
		p.told = true
		b.notify(Event{Kind: EventSilent, Group: p.group, Age: now.Sub(p.last)})
	}
	return now.Sub(p.trial) < stallTrial
}

// progressOf returns the progress of a target's group, or nil if no report ever named the group. An old report still tells
// which engines belong together.
func (b *Balancer) progressOf(addr string) *progress {
	g := b.engines[addr]
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

// answered takes in an event of a group.
func (b *Balancer) answered(p *progress, now time.Time) {
	if p.told {
		p.told = false
		b.notify(Event{Kind: EventAnswers, Group: p.group, Age: now.Sub(p.last)})
	}
	p.last = now
}

// Event tells that the target has sent an event of the request's stream, and the pause before it, or 0 for the first one.
func (l *Lease) Event(pause time.Duration) {
	l.b.mu.Lock()
	defer l.b.mu.Unlock()
	now := l.b.now()
	if l.progress != nil {
		l.b.answered(l.progress, now)
	}
	if pause > 0 {
		l.s.pause, l.s.paused = pause, now
	}
}
