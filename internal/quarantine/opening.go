package quarantine

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// wakeTime is the time for which targets of a service must have taken requests without a pause since the process
	// started, before the process relies on its evidence alone.
	wakeTime = 5 * time.Second
	// probeSlot is the time between the first probes of two entries. Meanwhile the answer begins, or an engine crashes and
	// its group is reported as closed.
	probeSlot = 400 * time.Millisecond
	// probeTimeout is the time after which a probe without a result, as in a stalled group, no longer holds others back.
	probeTimeout = time.Second
	// wakingPeerMaxAge is the age of its last report up to which a waking peer counts.
	wakingPeerMaxAge = 3 * time.Second
	// maxProvenParts bounds the parts in a report that are sent because answers with them have begun after an opening.
	maxProvenParts = 32
)

// ProofWait is the time for which a request may wait for its parts to be proven although its wait for a target has ended.
// An answer begins within it, and other entries learn of that.
const ProofWait = 300 * time.Millisecond

// opening tells when the targets of a service opened. A process that was restarted while all were closed has no evidence
// when they open, and the requests that wait at all entries would reach engines together. Such a process is waking until
// wakeTime has passed. It sends a request with an unproven part, one with which no answer has begun, only as a probe: one
// at a time for each part, and those that have waited for the opening only once it is this entry's turn.
type opening struct {
	since  time.Time // time since which targets take requests, as far as the process knows
	closed bool      // none takes requests, and requests wait for that
	opened bool      // they have been closed since the process started
	first  time.Time // time at which they opened for the first time since then
	awake  bool      // they have taken requests for wakeTime without a pause
}

// waking reports whether the process may lack evidence.
func (o *opening) waking(now time.Time) bool {
	if !o.closed && now.Sub(o.since) >= wakeTime {
		o.awake = true
	}
	return !o.awake
}

// Waits records that the request waits for a target, since none of the service takes requests at present.
func (p *Prompt) Waits() {
	if p == nil {
		return
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	o := &t.serviceOf(p.service).opening
	p.waited = true
	if o.waking(t.now()) {
		o.closed = true
	}
}

// TargetOpen records that a target takes the request.
func (p *Prompt) TargetOpen() {
	if p == nil {
		return
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := &t.serviceOf(p.service).opening; o.closed {
		o.since, o.closed = t.now(), false
		if !o.opened {
			o.opened, o.first = true, o.since
		}
	}
}

// Unproven returns a part for which the request must not be sent yet, since no answer with it has begun after the targets
// of the service opened, or an empty part. The request is then the probe of its unproven parts until it has ended.
func (p *Prompt) Unproven() Part {
	if p == nil {
		return ""
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	o := &t.serviceOf(p.service).opening
	if !o.waking(now) || !o.opened {
		return ""
	}
	unproven := p.unprovenParts(o)
	early := p.waited && now.Before(o.since.Add(t.probeDelay(now)))
	for _, part := range unproven {
		probe := t.probes[part]
		if early || probe != nil && probe != p && now.Sub(probe.probeSent) < probeTimeout || t.inUnsettledCrash(part) {
			return part
		}
	}
	p.endProbes()
	for _, part := range unproven {
		t.probes[part] = p
	}
	p.probes, p.probeSent = unproven, now
	return ""
}

// unprovenParts returns the parts of the request with which no answer has begun. Once an engine has crashed after the first
// opening, they are those of such crashes only, which contain the cause, without common parts: if these were held back,
// answers would begin without them, and count as evidence against them.
func (p *Prompt) unprovenParts(o *opening) (out []Part) {
	t := p.tracker
	crashed := t.crashedSince(o.first, "")
	for _, part := range p.parts {
		h := t.historyOf(part)
		if !h.lastBegun.IsZero() || crashed && (t.isCommon(p.service, h) || !t.crashedSince(o.first, part)) {
			continue
		}
		out = append(out, part)
	}
	return out
}

// crashedSince reports whether an engine has crashed since a time under the part, or under any if that is empty.
func (t *Tracker) crashedSince(from time.Time, part Part) bool {
	for _, c := range t.crashes {
		if !c.at.Before(from) && (part == "" || c.parts[part]) {
			return true
		}
	}
	return false
}

// endProbes lets other requests probe the parts of this one. The caller holds the lock.
func (p *Prompt) endProbes() {
	for _, part := range p.probes {
		if p.tracker.probes[part] == p {
			delete(p.tracker.probes, part)
		}
	}
	p.probes = nil
}

// inUnsettledCrash reports whether a part is in a crash that is not settled.
func (t *Tracker) inUnsettledCrash(part Part) bool {
	if t.unsettled == 0 {
		return false
	}
	for _, c := range t.crashes {
		if !c.settled && c.parts[part] {
			return true
		}
	}
	return false
}

// probeDelay returns the time after an opening at which this entry sends its first probe. It follows from the order of the
// ids of the waking entries that it hears from: the first two take a slot each, the next two share one, then four, and so
// on, since the more entries have had no request with a part, the fewer are likely to have one.
func (t *Tracker) probeDelay(now time.Time) time.Duration {
	before := 0
	for id, at := range t.wakingPeers {
		if id < t.id && now.Sub(at) < wakingPeerMaxAge {
			before++
		}
	}
	return time.Duration(bits.Len(uint(before))) * probeSlot
}

// isWaking reports whether the process has just started, or lacks evidence for a service.
func (t *Tracker) isWaking(now time.Time) bool {
	if now.Sub(t.started) < wakeTime {
		return true
	}
	for _, s := range t.services {
		if s.opening.waking(now) {
			return true
		}
	}
	return false
}

// provenParts returns the parts with which answers have begun after an opening, the most used ones first, while entries may
// wait for them.
func (t *Tracker) provenParts(now time.Time) []Part {
	after := false
	for _, s := range t.services {
		after = after || s.opening.opened && s.opening.waking(now)
	}
	if !after {
		return nil
	}
	var proven []Part
	for part, h := range t.histories {
		if !h.lastBegun.IsZero() {
			proven = append(proven, part)
		}
	}
	slices.SortFunc(proven, func(a, b Part) int {
		return int(t.histories[b].requests - t.histories[a].requests)
	})
	return proven[:min(len(proven), maxProvenParts)]
}
