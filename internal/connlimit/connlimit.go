// Package connlimit bounds the open connections that a listener has accepted. When they are used up, a connection that is not
// needed now is closed for each new one. The order is:
//
//  1. connections on which nothing has arrived for some time and no request was completed, the oldest first,
//  2. connections that wait for their next request, the one that waits longest first,
//  3. connections whose request is being received, the slowest first,
//  4. connections on which a request has just begun, the oldest first.
//
// A connection whose request runs, as Slot.Run states, is never closed. If all of them run, the new connection is refused. On a
// listener whose server does not call Run, as for readiness and metrics, a request counts as being received until its answer has
// been written, and may be closed before.
package connlimit

import (
	"net"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

const (
	// graceTime is the time in which a new connection, or a request that has begun to arrive, is closed after all others.
	graceTime = 250 * time.Millisecond
	// crowdedBufferBytes is the size of the receive buffer of connections that are opened while more than crowdedShare of the
	// places are in use, or up to crowdedTime later. Buffers that the system sizes grow to megabytes on a connection that is
	// read in part.
	crowdedBufferBytes = 64 << 10
	crowdedShare       = 0.5
	crowdedTime        = 10 * time.Second
)

// Reason says why a connection was closed or refused.
type Reason string

// Reasons.
const (
	ReasonSilent  Reason = "silent"  // nothing has arrived on it
	ReasonIdle    Reason = "idle"    // between two requests
	ReasonSlow    Reason = "slow"    // its request is arriving, slower than those of others
	ReasonNew     Reason = "new"     // its request has just begun to arrive
	ReasonRefused Reason = "refused" // the requests of all others run
	ReasonMemory  Reason = "memory"  // there is no memory for what has arrived
)

// Limit bounds a number of connections. It is safe for concurrent use.
type Limit struct {
	// Closed is called for each connection that is closed or refused. It must not block. It may be nil.
	Closed func(Reason)
	// SmallBuffers gives all connections a receive buffer of crowdedBufferBytes.
	SmallBuffers bool
	// MaxWaiting is the largest number of connections that wait to be accepted. 0 leaves it to the system.
	MaxWaiting int

	max          int
	mu           sync.Mutex
	slots        map[*Slot]struct{}
	crowdedUntil time.Time
}

// New returns a limit of max connections. 0 means no limit.
func New(max int) *Limit { return &Limit{max: max, slots: map[*Slot]struct{}{}} }

// Slot is the place of one connection. A nil Slot has no limit.
type Slot struct {
	limit *Limit
	conn  net.Conn

	// Limit.mu guards the fields below.
	stage    stage
	since    time.Time // of the stage
	received int64     // bytes of the present request
	running  int       // requests that run
	// untilIdle means that one of these has ended once the connection is idle.
	untilIdle bool
}

type stage int

const (
	stageSilent stage = iota // nothing has arrived yet
	stageIdle
	stageReceiving
)

// Admit returns a slot for a new connection. It closes the connection when its slot is given to another one, and returns false
// if it must be closed at once. Free must be called when the connection is closed.
func (l *Limit) Admit(c net.Conn) (s *Slot, ok bool) {
	if l == nil || l.max <= 0 {
		return nil, true
	}
	s, victim, reason := l.admit(c)
	if reason != "" && l.Closed != nil {
		l.Closed(reason)
	}
	if victim != nil {
		_ = victim.conn.Close()
	}
	if s == nil {
		return nil, false
	}
	if buffered, ok := tcpconn.As[interface{ SetReadBuffer(bytes int) error }](c); ok && l.needsSmallBuffer() {
		_ = buffered.SetReadBuffer(crowdedBufferBytes)
	}
	return s, true
}

func (l *Limit) admit(c net.Conn) (s, victim *Slot, reason Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if len(l.slots) >= l.max {
		if victim, reason = l.victim(now); victim == nil {
			return nil, nil, ReasonRefused
		}
		delete(l.slots, victim)
	}
	s = &Slot{limit: l, conn: c, since: now}
	l.slots[s] = struct{}{}
	return s, victim, reason
}

// needsSmallBuffer reports whether a new connection gets a small receive buffer: many connections are open, or were a short time
// ago.
func (l *Limit) needsSmallBuffer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if float64(len(l.slots)) > crowdedShare*float64(l.max) {
		l.crowdedUntil = now.Add(crowdedTime)
	}
	return l.SmallBuffers || now.Before(l.crowdedUntil)
}

// Max returns the largest number of connections, or 0 for no limit.
func (l *Limit) Max() int { return l.max }

// Open returns the number of connections.
func (l *Limit) Open() int {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.slots)
}

// Free gives the slot back. It may be called more than once.
func (s *Slot) Free() {
	s.update(func() { delete(s.limit.slots, s) })
}

// NoMemory counts a connection that its owner closes because there is no memory for what has arrived.
func (s *Slot) NoMemory() {
	if s != nil && s.limit.Closed != nil {
		s.limit.Closed(ReasonMemory)
	}
}

// Idle records that the connection waits for a request.
func (s *Slot) Idle() {
	s.update(func() {
		s.enter(stageIdle)
		if s.untilIdle {
			s.untilIdle = false
			s.running--
		}
	})
}

// Received records that n bytes have arrived.
func (s *Slot) Received(n int) {
	s.update(func() {
		if s.stage != stageReceiving {
			s.enter(stageReceiving)
		}
		s.received += int64(n)
	})
}

// Run records that a request of the connection has begun to run. Done must be called when it has ended. It returns false if the
// connection is being closed, so that the request must not begin to run.
func (s *Slot) Run() (ok bool) {
	if s == nil {
		return true
	}
	s.update(func() {
		if _, ok = s.limit.slots[s]; ok {
			s.running++
		}
	})
	return ok
}

// RunUntilIdle is like Run for a request that has ended once Idle is called: its answer has been written then, which is after its
// handler has returned.
func (s *Slot) RunUntilIdle() (ok bool) {
	if ok = s.Run(); ok {
		s.update(func() { s.untilIdle = true })
	}
	return ok
}

// Done records that a request for which Run has returned true has ended.
func (s *Slot) Done() { s.update(func() { s.running-- }) }

func (s *Slot) update(f func()) {
	if s == nil {
		return
	}
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	f()
}

// enter changes the stage. The caller holds the lock.
func (s *Slot) enter(to stage) { s.stage, s.since, s.received = to, time.Now(), 0 }

// victim returns the connection that is closed for a new one, or nil if the requests of all of them run.
func (l *Limit) victim(now time.Time) (first *Slot, reason Reason) {
	for s := range l.slots {
		if s.running > 0 {
			continue
		}
		r := s.reason(now)
		if first == nil || closingOrder[r] < closingOrder[reason] || r == reason && s.before(first, r, now) {
			first, reason = s, r
		}
	}
	return first, reason
}

// closingOrder is the position of each reason in the order in which connections are closed.
var closingOrder = map[Reason]int{ReasonSilent: 0, ReasonIdle: 1, ReasonSlow: 2, ReasonNew: 3}

// reason returns the reason for which the connection would be closed.
func (s *Slot) reason(now time.Time) Reason {
	switch {
	case s.stage == stageIdle:
		return ReasonIdle
	case now.Sub(s.since) < graceTime:
		return ReasonNew
	case s.stage == stageSilent:
		return ReasonSilent
	}
	return ReasonSlow
}

// before reports whether the connection is closed before another one with the same reason.
func (s *Slot) before(other *Slot, r Reason, now time.Time) bool {
	if r == ReasonSlow {
		return s.rate(now) < other.rate(now)
	}
	return s.since.Before(other.since)
}

// rate returns the mean number of bytes of the present request that have arrived per second.
func (s *Slot) rate(now time.Time) float64 { return float64(s.received) / now.Sub(s.since).Seconds() }
