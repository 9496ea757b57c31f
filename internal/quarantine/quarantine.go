// Package quarantine finds the parts of prompts that crash engines, and keeps requests that contain them from further
// engines.
//
// Prompts consist of parts that many requests share, and an engine may crash whenever it begins an answer to a prompt
// with a certain part. A Tracker records which parts the requests had that an engine held when it crashed before their
// answers had begun, and which parts have been in requests whose answers did begin. Entries exchange this evidence. A
// part that explains several crashes and has not been in an answer since is quarantined: requests with it are refused
// for some time, after which the entry that imposed the quarantine lets a single one through to test whether engines still
// crash. Another entry takes that over if it does not. While a crash is recent and evidence may still arrive, requests with a
// suspected part are held off.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// Part is the id of a part of a prompt that several requests may share.
type Part string

const (
	// firstQuarantine is the first time for which a part is quarantined. Each test that fails multiplies it by
	// quarantineGrowth, up to maxQuarantine. Each of these tests crashes an engine, so that there must be few in a day:
	// they begin after 1 min, 21 min and 7 h.
	firstQuarantine  = time.Minute
	quarantineGrowth = 20
	maxQuarantine    = 24 * time.Hour
	// shortQuarantine is the first time for a part that may have crashed engines without enough evidence. It outlasts the
	// time in which all entries learn of the quarantine, and agree on the one that tests the part.
	shortQuarantine = 4 * time.Second
	// otherTestDelay is the time after a quarantine, as a multiple of it, after which other entries take over a part that
	// its origin has not tested. They spread this over as long again.
	otherTestDelay = 20
	// takeOverShare is the time, as a multiple of a quarantine, between the moment at which another entry takes it over and
	// its test, and maxTakeOverTime bounds it. All entries that can reach each other learn meanwhile which one tests.
	takeOverShare   = 2
	maxTakeOverTime = 2 * time.Minute
	// testPauseShare is the share of a quarantine, as a divisor, after which a test that reached no engine is repeated, and
	// testTime the time after which a caller that is refused during a test may return.
	testPauseShare = 10
	testTime       = 2 * time.Second
)

// Tracker collects evidence on parts of prompts and quarantines those that crash engines. It is safe for concurrent use.
type Tracker struct {
	// Notify receives an event for each crash of an engine and each change of a quarantine. It must neither block nor
	// call the tracker. It may be nil, and must not be changed once the tracker is in use.
	Notify func(Event)

	mu          sync.Mutex
	now         func() time.Time
	histories   map[Part]*history
	services    map[string]*serviceCounts
	halved      time.Time
	crashes     map[targetset.Incarnation]*crash
	unsettled   int // number of crashes that are not settled
	recent      recentSuspects
	quarantines map[Part]*quarantine
	released    map[Part]time.Time   // times at which quarantines ended because an answer had begun
	id          uint32               // distinguishes the entries that impose quarantines
	started     time.Time            // of the process
	probes      map[Part]*Prompt     // requests that were sent to prove a part after an opening
	wakingPeers map[uint32]time.Time // times of the last reports of peers that were waking, by Tracker.id
}

// quarantine is the quarantine of a part. It remains after its end until an answer with the part has begun.
type quarantine struct {
	since, until time.Time
	duration     time.Duration
	origin       uint32 // Tracker.id of the entry that tests the part: the one that imposed it or has taken it over
	// testAfter is the time from which this process sends a single request with the part to test it.
	testAfter time.Time
	testing   *Prompt // the request that tests the part; nil if none does
}

// New returns a tracker. now is its clock.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, services: map[string]*serviceCounts{}, histories: map[Part]*history{}, halved: now(), crashes: map[targetset.Incarnation]*crash{},
		quarantines: map[Part]*quarantine{}, released: map[Part]time.Time{}, id: rand.Uint32(), started: now(),
		probes: map[Part]*Prompt{}, wakingPeers: map[uint32]time.Time{}}
}

// Prompt tracks the shared parts of the prompt of one request. A nil Prompt has no parts.
type Prompt struct {
	tracker *Tracker
	service string
	parts   []Part
	begun   bool   // the answer has, at the engine to which the request was sent last
	lost    bool   // an engine may have run the request, and its answer was lost
	tests   []Part // quarantined parts that the request tests
	waited  bool   // for targets to open
	probes  []Part // unproven parts whose probe the request is

	probeSent time.Time // zero if it has been no probe
}

// Prompt returns the prompt of a request to a service with the shared parts, or nil if there are none. Done must be called
// when the request has ended. A nil tracker tracks nothing.
func (t *Tracker) Prompt(service string, parts []Part) *Prompt {
	if t == nil || len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countRequest(service, parts)
	return &Prompt{tracker: t, service: service, parts: parts}
}

// Blocked returns the part that keeps the request from engines, since it is quarantined or held off, and the time until
// that may change. It returns an empty part if the request may be sent.
func (p *Prompt) Blocked() (Part, time.Duration) {
	if p == nil {
		return "", 0
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.settle(now)
	if part := p.heldOff(); part != "" {
		return part, settleTime
	}
	for _, part := range p.parts {
		q := t.quarantines[part]
		switch {
		case q == nil, q.testing == p && !p.lost:
		case now.Before(q.testAfter):
			return part, q.retryAfter(now)
		case q.testing != nil: // also by this request, which must not reach a second engine
			return part, testTime
		case q.origin != t.id:
			t.takeOver(part, q, now)
			return part, q.takeOverTime()
		}
	}
	p.startTests()
	return "", 0
}

// retryAfter returns the time after which the result of a test may be known: one by the origin, which tests the part at the
// end of the quarantine, or one by this entry.
func (q *quarantine) retryAfter(now time.Time) time.Duration {
	result := q.until.Add(testTime)
	if !now.Before(q.until) {
		result = now.Add(testTime)
	}
	if q.testAfter.Before(result) {
		result = q.testAfter
	}
	return result.Sub(now)
}

// heldOff returns a part of the request that is a suspect while any crash is not settled, or an empty part. The caller
// holds the tracker's lock.
func (p *Prompt) heldOff() Part {
	if p.tracker.unsettled == 0 {
		return ""
	}
	suspects := p.tracker.recentSuspects()
	for _, part := range p.parts {
		if suspects[part] {
			return part
		}
	}
	return ""
}

// startTests makes the request the test of its parts whose quarantines have ended. The caller holds the lock.
func (p *Prompt) startTests() {
	for _, part := range p.parts {
		if q := p.tracker.quarantines[part]; q != nil && q.testing == nil {
			q.testing = p
			p.tests = append(p.tests, part)
		}
	}
}

// Sent records that the request is sent to an engine. The answer has not begun there, even if an earlier engine had begun it.
func (p *Prompt) Sent() {
	if p != nil {
		p.begun = false
	}
}

// Begun records that the answer to the request has begun, so that none of its parts crashes an engine.
func (p *Prompt) Begun() {
	if p == nil || p.begun {
		return
	}
	p.begun = true
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceOf(p.service).answers++
	now := t.now()
	for _, part := range p.parts {
		t.partBegun(part, now)
	}
}

// HasBegun reports whether the engine to which the request was sent last has begun its answer.
func (p *Prompt) HasBegun() bool { return p != nil && p.begun }

// Lost records that an engine may have run the request and that its answer was lost, for whatever reason.
func (p *Prompt) Lost() {
	if p == nil {
		return
	}
	p.tracker.mu.Lock()
	defer p.tracker.mu.Unlock()
	p.lost = true
}

// partBegun records that an answer with the part began at a time, and ends a quarantine that was imposed before. The
// caller holds the lock.
func (t *Tracker) partBegun(part Part, at time.Time) {
	h := t.historyOf(part)
	if at.After(h.lastBegun) {
		h.lastBegun = at
	}
	if t.recent.parts[part] {
		t.recent = recentSuspects{}
	}
	if q := t.quarantines[part]; q != nil && at.After(q.since) {
		delete(t.quarantines, part)
		t.released[part] = t.now()
		t.notify(Event{Kind: EventReleased, Part: part})
	}
}

// Crashed records that an engine crashed while it held the request, whose answer had not begun there. It may be called after
// Done.
func (p *Prompt) Crashed(engine targetset.Incarnation) {
	if p == nil {
		return
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	p.lost = true
	t.addCrash(engine, p.service, p.parts, t.now())
}

// Suspected reports whether a part of the request is a suspect or quarantined. The gateway must not retry such a request.
func (p *Prompt) Suspected() bool {
	if p == nil {
		return false
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects := t.recentSuspects()
	return slices.ContainsFunc(p.parts, func(part Part) bool { return suspects[part] || t.quarantines[part] != nil })
}

// Done ends the tracking of the request. A test whose answer was lost before it began has failed: the engine may have
// crashed unnoticed.
func (p *Prompt) Done() {
	if p == nil || len(p.tests)+len(p.probes) == 0 {
		return
	}
	t := p.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	p.endProbes()
	for _, part := range p.tests {
		if q := t.quarantines[part]; q != nil && q.testing == p {
			q.testing = nil
			q.testAfter = t.now().Add(q.duration / testPauseShare)
			if p.lost {
				t.impose(part, min(maxQuarantine, quarantineGrowth*q.duration))
			}
		}
	}
}

// decide quarantines the parts that explain the settled crashes, for a short time also those that may, and releases those
// that others explain better. The caller holds the lock.
func (t *Tracker) decide() {
	suspects, conclusive := t.suspects(false)
	for conclusive {
		for part := range suspects {
			t.impose(part, firstQuarantine)
		}
		suspects, conclusive = t.suspects(false)
	}
	for _, part := range t.shortSuspects(suspects) {
		if t.quarantines[part] == nil {
			t.impose(part, shortQuarantine)
		}
	}
	for part := range t.quarantines {
		if t.explainedBetter(part) {
			delete(t.quarantines, part)
			t.notify(Event{Kind: EventReleased, Part: part})
		}
	}
}

// impose quarantines a part. The caller holds the lock.
func (t *Tracker) impose(part Part, d time.Duration) {
	now := t.now()
	t.recent = recentSuspects{}
	t.quarantines[part] = t.newQuarantine(now, now.Add(d), d, t.id)
	t.notify(Event{Kind: EventQuarantined, Part: part, Crashes: t.crashesWith(part), For: d})
}

// takeOver makes this entry the origin of a quarantine whose origin has not tested the part. It sends no test before
// takeOverTime: entries that take a quarantine over before they learn of each other would each send one. The caller holds
// the lock.
func (t *Tracker) takeOver(part Part, q *quarantine, now time.Time) {
	t.quarantines[part] = t.newQuarantine(q.since, now.Add(q.takeOverTime()), q.duration, t.id)
}

// takeOverTime returns the time after which an entry that takes the quarantine over tests the part.
func (q *quarantine) takeOverTime() time.Duration {
	return min(maxTakeOverTime, takeOverShare*q.duration)
}

// newQuarantine returns a quarantine. Its origin tests the part at its end; another entry takes it over only if the origin
// has not for otherTestDelay, since it may have ended.
func (t *Tracker) newQuarantine(since, until time.Time, d time.Duration, origin uint32) *quarantine {
	q := &quarantine{since: since, until: until, duration: d, origin: origin, testAfter: until}
	if origin != t.id {
		q.testAfter = until.Add(time.Duration((1 + rand.Float64()) * otherTestDelay * float64(d)))
	}
	return q
}

// Sweep removes crashes and quarantines that are too old to count.
func (t *Tracker) Sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.settle(now)
	for engine, c := range t.crashes {
		if now.Sub(c.at) > crashRetention {
			t.removeCrash(engine)
		}
	}
	for part, q := range t.quarantines {
		if now.Sub(q.until) > maxQuarantine {
			delete(t.quarantines, part) // no test of the part has had a result for so long
		}
	}
	for part, at := range t.released {
		if now.Sub(at) > releaseShareTime {
			delete(t.released, part)
		}
	}
	for id, at := range t.wakingPeers {
		if now.Sub(at) >= wakingPeerMaxAge {
			delete(t.wakingPeers, id)
		}
	}
	t.decayRequestCounts(now)
}

// Quarantined returns the number of quarantined parts.
func (t *Tracker) Quarantined() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantines)
}
