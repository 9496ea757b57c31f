package attempt

import (
	"crypto/sha256"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// ticketState is the state of a booking ticket. It is kept until the ticket expires.
type ticketState struct {
	contentHash [sha256.Size]byte // hash of the service, operation and body that the ticket was first used with
	expires     time.Time
	run         *Run // nil while the table has no run for the ticket
	closed      bool // not-run was reported, so no attempt with the ticket may run
}

// hashContent returns a hash of what a ticketed attempt would execute: its service, operation and body.
func hashContent(a wire.Attempt) [sha256.Size]byte {
	return sha256.Sum256([]byte(a.Service + "\x00" + a.Operation + "\x00" + a.Body))
}

// beginTicket is Begin for an attempt that has a ticket and whose own id isn't known.
func (t *Table) beginTicket(a wire.Attempt, id key) (*Run, bool) {
	now := t.clock.Now()
	expires := ticketExpiry(a.TicketExpires, now)
	tk := ticketKey(a.Ticket)
	tr := t.tickets[tk]
	if tr == nil {
		if p := t.history.find(tk); p != unknown || !now.Before(expires) {
			return t.pastTicket(a, id, p, now.Sub(expires)), false
		}
		tr = &ticketState{contentHash: hashContent(a), expires: expires}
		t.tickets[tk] = tr
	}
	switch {
	case tr.contentHash != hashContent(a):
		// The id isn't remembered, since the refusal says nothing about the ticket's own booking. Each copy of the
		// attempt is compared with the ticket again.
		return t.endedRun(a, refusedFrame(outcome.TicketMismatch, 0)), false
	case tr.closed:
		return t.refuseUnregistered(a, id, outcome.TicketClosed), false
	case tr.run != nil:
		tr.run.ids = append(tr.run.ids, id)
		t.runs[id] = tr.run
		return tr.run, false
	}
	return t.register(a, id, tr)
}

// ticketExpiry returns the stated expiry, but at most MaxTicketLife from now. A ticket without an expiry gets this
// limit.
func ticketExpiry(stated, now time.Time) time.Time {
	limit := now.Add(MaxTicketLife)
	if stated.IsZero() || stated.After(limit) {
		return limit
	}
	return stated
}

// pastTicket answers an attempt whose ticket isn't in the table: it was closed before its first use, or it expired age
// ago. The attempt is refused as not run only if no attempt with the ticket can have run. Otherwise it fails: another
// attempt with the ticket may have run, possibly so long ago that it is no longer remembered.
func (t *Table) pastTicket(a wire.Attempt, id key, p pastResult, age time.Duration) *Run {
	forgotten := age > (generations-1)*generationSpan
	if p == didNotRun && age < 0 {
		return t.refuseUnregistered(a, id, outcome.TicketClosed)
	}
	if p == didNotRun || p == unknown && !forgotten {
		return t.refuseUnregistered(a, id, outcome.TicketExpired)
	}
	t.history.add(id, mayHaveRun)
	return t.endedRun(a, failedFrame(outcome.TicketExpired, 0))
}

// revokeTicket closes the ticket of a revoked attempt that is not in the table. It returns true if no attempt with the
// ticket has run or will run.
func (t *Table) revokeTicket(ticket string) (notRun bool) {
	tk := ticketKey(ticket)
	if tr := t.tickets[tk]; tr != nil {
		if tr.run != nil {
			return tr.run.revokeLocked()
		}
		tr.closed = true
		return true
	}
	if t.history.find(tk) == mayHaveRun {
		return false
	}
	t.history.add(tk, didNotRun)
	return true
}

// sweepTickets drops the tickets that have expired and remembers whether they may have run. A queued run of an expired
// ticket is refused; a dispatched one continues.
func (t *Table) sweepTickets(now time.Time) {
	for tk, tr := range t.tickets {
		if now.Before(tr.expires) {
			continue
		}
		delete(t.tickets, tk)
		result := didNotRun
		if tr.run != nil {
			result = tr.run.expireTicketLocked()
		}
		t.history.add(tk, result)
	}
}

// expireTicketLocked detaches the run from its expired ticket and returns whether the ticket may have run.
func (r *Run) expireTicketLocked() pastResult {
	if r.state == Queued {
		r.endLocked(Refused, refusedFrame(outcome.TicketExpired, 0))
	}
	r.ticket = nil
	if r.state == Dispatched || r.state == Finished {
		return mayHaveRun
	}
	return didNotRun
}
