// Package attempt keeps track of the attempts that a local process receives from entries. An entry makes one or more
// attempts for each request of a caller. The table runs each attempt, and all attempts with the same ticket, at most
// once, stores responses so that an entry can re-attach after a broken connection, and remembers whether past attempts
// may have run, so that entries can tell callers for certain that a request did not run.
package attempt

import (
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// State is the state of a run.
type State int

// States of a run.
const (
	Queued     State = iota // waits to be sent to the target
	Dispatched              // may be running at the target
	Finished                // ended after its dispatch, with a complete response or a failure
	Refused                 // ended without reaching the target
	Revoked                 // ended without reaching the target, at the request of the entry
)

const (
	// MaxDeadline is the longest time that an attempt may take. Longer deadlines are shortened to it.
	MaxDeadline = time.Hour
	// MaxTicketLife is the longest time for which the response to a ticket is stored.
	MaxTicketLife = 10 * time.Minute
	// OrphanGrace is how long a dispatched draft continues without a follower. It leaves an entry whose connection
	// broke enough time to re-attach, with a dial timeout of 500 ms.
	OrphanGrace = 2 * time.Second
	// QueueGrace is how long queued attempts may still be dispatched after the start of a drain.
	QueueGrace = 2 * time.Second

	// endedRetention is how long the frames of an ended run without a ticket are kept for re-attachment.
	endedRetention = 30 * time.Second
	// maxEndedTextBytes limits the text of ended runs. Above it, the oldest runs without a ticket are dropped early and
	// new attempts are refused.
	maxEndedTextBytes = 6 << 20
	// maxKnownIDs limits the remembered attempts, at about 40 bytes each. It is enough for about 50 attempts a second
	// over the time for which they are remembered. The load expected in two years is 5 a second for each target, and
	// four times that at a peak.
	maxKnownIDs = 1 << 18
)

// Table holds the attempts of one incarnation of a local process. It is safe for concurrent use.
type Table struct {
	incarnation string
	clock       port.Clock

	mu             sync.Mutex
	drainStartedAt time.Time // zero while the table isn't draining
	stopped        bool
	runs           map[key]*Run
	ended          []*Run // in the order in which they ended
	endedTextBytes int    // total text of the runs in ended
	live           int    // queued and dispatched runs
	tickets        map[key]*ticketState
	history        *idHistory
}

// NewTable returns an empty table.
func NewTable(incarnation string, clock port.Clock) *Table {
	return &Table{
		incarnation: incarnation, clock: clock,
		runs: map[key]*Run{}, tickets: map[key]*ticketState{}, history: newIDHistory(clock.Now()),
	}
}

// Incarnation returns the name of the process start that the table belongs to.
func (t *Table) Incarnation() string { return t.incarnation }

// SetDraining makes the table refuse new attempts, or accept them again. Attempts that are already queued may still be
// dispatched for QueueGrace.
func (t *Table) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !draining:
		t.drainStartedAt = time.Time{}
	case t.drainStartedAt.IsZero():
		t.drainStartedAt = t.clock.Now()
	}
}

// Stop refuses all queued attempts and, from then on, all new ones. It cannot be undone.
func (t *Table) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.refuseQueuedLocked(outcome.Stopping)
}

// Draining reports whether the table refuses new attempts because of a drain or a stop.
func (t *Table) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopped || !t.drainStartedAt.IsZero()
}

// Live returns the number of runs that are queued or dispatched.
func (t *Table) Live() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live
}

// UsesAdapter reports whether an attempt with the adapter is queued or dispatched.
func (t *Table) UsesAdapter(adapter string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, run := range t.runs {
		if !run.ended() && run.attempt.Adapter == adapter {
			return true
		}
	}
	return false
}

// Begin registers an attempt. It returns the run that answers the attempt and whether that run is new. A delayed copy
// of an attempt and a retry with the same ticket get the existing run. An attempt that is not allowed to run gets a run
// that has already ended.
func (t *Table) Begin(a wire.Attempt) (run *Run, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.Incarnation != t.incarnation {
		return t.endedRun(a, refusedFrame(outcome.WrongIncarnation, 0)), false
	}
	id := attemptKey(a.ID)
	if run, ok := t.runs[id]; ok {
		return run, false
	}
	switch t.history.find(id) {
	case didNotRun:
		return t.endedRun(a, refusedFrame(outcome.Revoked, 0)), false
	case mayHaveRun:
		return t.endedRun(a, failedFrame(outcome.Incomplete, 0)), false
	}
	if a.Ticket != "" {
		return t.beginTicket(a, id)
	}
	return t.register(a, id, nil)
}

// register creates a run for an attempt that the table doesn't know, or refuses the attempt and closes its ticket.
func (t *Table) register(a wire.Attempt, id key, tr *ticketState) (*Run, bool) {
	now := t.clock.Now()
	if reason, refuse := t.refusalReason(a); refuse {
		if tr != nil {
			tr.closed = true
		}
		return t.refuseUnregistered(a, id, reason), false
	}
	run := newRun(t, a, now.Add(min(time.Duration(a.RemainingMS)*time.Millisecond, MaxDeadline)))
	run.ids = append(run.ids, id)
	run.ticket = tr
	if tr != nil {
		tr.run = run
	}
	t.runs[id] = run
	t.live++
	return run, true
}

// refusalReason returns the reason to refuse a new attempt, if there is one.
func (t *Table) refusalReason(a wire.Attempt) (outcome.Reason, bool) {
	switch {
	case t.stopped:
		return outcome.Stopping, true
	case !t.drainStartedAt.IsZero():
		return outcome.Draining, true
	case a.RemainingMS <= 0:
		return outcome.DeadlinePassed, true
	case t.history.len()+len(t.runs) >= maxKnownIDs, t.endedTextBytes > maxEndedTextBytes:
		return outcome.QueueFull, true
	}
	return "", false
}

// refuseUnregistered refuses an attempt without registering it. It remembers the id, so that a delayed copy doesn't run
// after the cause of the refusal has passed.
func (t *Table) refuseUnregistered(a wire.Attempt, id key, reason outcome.Reason) *Run {
	t.history.add(id, didNotRun)
	return t.endedRun(a, refusedFrame(reason, 0))
}

// endedRun returns a run that isn't in the table and has ended with the frame.
func (t *Table) endedRun(a wire.Attempt, f wire.Frame) *Run {
	run := newRun(t, a, t.clock.Now())
	run.finishLocked(Refused, f)
	return run
}

// Find returns the run of an attempt, or nil if the attempt isn't in the table.
func (t *Table) Find(id wire.AttemptID) *Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[attemptKey(id)]
}

// Revoke makes sure that an attempt that wasn't dispatched never runs, even if it arrives later. It closes the ticket
// in the request. It returns false if the attempt, or another one with its ticket, may have run.
func (t *Table) Revoke(r wire.Revoke) (notRun bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := attemptKey(r.ID)
	if run, ok := t.runs[id]; ok {
		notRun = run.revokeLocked()
		if r.Cancel && run.state == Dispatched && run.attempt.Kind == wire.KindDraft && run.cancel != nil {
			go run.cancel()
		}
		return notRun
	}
	if t.history.find(id) == mayHaveRun || t.history.len()+len(t.runs) >= maxKnownIDs {
		return false
	}
	if r.Ticket != "" && !t.revokeTicket(r.Ticket) {
		t.history.add(id, mayHaveRun)
		return false
	}
	t.history.add(id, didNotRun)
	return true
}

// Sweep drops expired tickets and old runs and ids, refuses attempts that are still queued QueueGrace after the start
// of a drain, and cancels dispatched drafts that have had no follower for OrphanGrace. It must be called several times
// a second.
func (t *Table) Sweep() {
	for _, cancel := range t.sweep() {
		cancel()
	}
}

// sweep does the work of Sweep under the mutex. It returns the functions to call without the mutex to cancel drafts.
func (t *Table) sweep() (cancels []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if !t.drainStartedAt.IsZero() && now.Sub(t.drainStartedAt) >= QueueGrace {
		t.refuseQueuedLocked(outcome.Draining)
	}
	t.sweepTickets(now)
	t.sweepEnded(now)
	t.history.sweep(now)
	for _, run := range t.runs {
		if run.orphaned(now) {
			cancels = append(cancels, run.cancel)
		}
	}
	return cancels
}

func (t *Table) refuseQueuedLocked(reason outcome.Reason) {
	for _, run := range t.runs {
		if run.state == Queued {
			run.endLocked(Refused, refusedFrame(reason, 0))
		}
	}
}

// sweepEnded drops the runs that ended endedRetention ago, and, oldest first, younger ones while the stored text
// exceeds maxEndedTextBytes. It keeps runs whose ticket has not expired.
func (t *Table) sweepEnded(now time.Time) {
	kept := t.ended[:0]
	for _, run := range t.ended {
		old := now.Sub(run.endedAt) >= endedRetention || t.endedTextBytes > maxEndedTextBytes
		if !old || run.ticket != nil {
			kept = append(kept, run)
			continue
		}
		t.forget(run)
	}
	clear(t.ended[len(kept):])
	t.ended = kept
}

// forget drops an ended run and remembers whether its attempts may have run.
func (t *Table) forget(run *Run) {
	t.endedTextBytes -= len(run.text)
	result := didNotRun
	if run.state == Finished {
		result = mayHaveRun
	}
	for _, id := range run.ids {
		delete(t.runs, id)
		t.history.add(id, result)
	}
}
