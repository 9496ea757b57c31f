package entry

import (
	"context"
	"errors"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/ticket"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// incarnationTimeout limits queryIncarnation, which takes a round trip of a few milliseconds.
const incarnationTimeout = 500 * time.Millisecond

// IssuedTicket is a ticket in the form for the caller.
type IssuedTicket struct {
	Opaque   string
	Lifetime time.Duration
}

// IssueTicket chooses a target of the service and returns a ticket for it. The error is a *Refusal.
func (e *Entry) IssueTicket(ctx context.Context, req *Request) (*IssuedTicket, error) {
	x := newExecution(e, req, nil)
	issued, refusal := x.issueTicket(ctx)
	e.finish(x, nil, refusal)
	if refusal != nil {
		return nil, refusal
	}
	return issued, nil
}

// issueTicket asks targets until a local process that isn't draining states its incarnation, and seals a ticket for
// this incarnation.
func (x *execution) issueTicket(ctx context.Context) (*IssuedTicket, *Refusal) {
	if r := x.checkStopping(); r != nil {
		return nil, r
	}
	release, wait := x.entry.limits.admit(x.req.Account, x.entry.opt.Clock.Now())
	if release == nil {
		return nil, x.refusal(outcome.NotRun, outcome.AccountLimit, "the client account is over its limit", wait)
	}
	defer release()
	last := attemptResult{notRun: true, reason: outcome.NoTarget, message: "no target of the service takes bookings now"}
	for len(x.tried) < x.req.Snapshot.Preset().MaxAttempts && ctx.Err() == nil {
		choice := x.pick()
		if choice == nil {
			break
		}
		load, v := x.queryIncarnation(ctx, choice)
		choice.Done(v.failure)
		if load == nil || load.Draining {
			last = v
			x.applyResult(choice, v)
			continue
		}
		return x.sealTicket(choice.VM.Name, load.Incarnation)
	}
	return nil, x.finalRefusal(last)
}

// queryIncarnation asks a local process for its current incarnation. It sends an attempt without an incarnation, which
// no local process runs. The load is nil if the process didn't answer.
func (x *execution) queryIncarnation(ctx context.Context, c *routing.Choice) (*wire.Load, attemptResult) {
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	x.lastNumber++
	a := x.req.Attempt
	a.ID = wire.AttemptID{Request: x.req.ID, Number: x.lastNumber}
	a.RemainingMS = incarnationTimeout.Milliseconds()
	a.Revision = x.req.Snapshot.Revision()
	load := &wire.Load{}
	err := x.entry.opt.Sender.Send(ctx, c.VM.Data, a, func(f wire.Frame) error {
		if f.ID != a.ID || f.Incarnation == "" {
			return errors.New("frame has another attempt's id or no incarnation")
		}
		if f.Load != nil {
			*load = *f.Load
			c.Report(f.Load)
		}
		load.Incarnation = f.Incarnation
		x.entry.storeIncarnation(c.VM.Name, f.Incarnation)
		return nil
	})
	if err != nil || load.Incarnation == "" {
		v := attemptResult{notRun: true, reason: outcome.ConnectFailed, message: "no incarnation from " + c.VM.Name, failure: routing.Unreachable}
		if ctx.Err() == context.Canceled {
			v.failure = routing.NoVerdict
		}
		return nil, v
	}
	return load, attemptResult{notRun: true, reason: outcome.Draining, message: c.VM.Name + " is draining"}
}

// sealTicket returns a ticket for the target and incarnation.
func (x *execution) sealTicket(target, incarnation string) (*IssuedTicket, *Refusal) {
	opaque, err := x.entry.opt.Tickets.Seal(ticket.Ticket{
		Account: x.req.Account.Name, Service: x.req.Attempt.Service, Target: target, Incarnation: incarnation,
		Expires: x.entry.opt.Clock.Now().Add(ticket.MaxLifetime),
	})
	if err != nil {
		return nil, x.refusal(outcome.NotRun, outcome.NoTarget, "no ticket could be made: "+err.Error(), defaultRetryAfter)
	}
	return &IssuedTicket{Opaque: opaque, Lifetime: ticket.MaxLifetime}, nil
}

// OpenTicket verifies the opaque form of a ticket and sets the ticket in the request. It returns a refusal if the
// ticket is invalid, has expired, or belongs to another client account or service than the request.
func (e *Entry) OpenTicket(req *Request, opaque string) *Refusal {
	t, err := e.opt.Tickets.Open(opaque, e.opt.Clock.Now())
	r := &Refusal{RequestID: req.ID, Outcome: outcome.NotRun, Reason: outcome.TicketInvalid, Message: "ticket: " + ticket.ErrInvalid.Error()}
	switch {
	case errors.Is(err, ticket.ErrInvalid):
		return r
	case t.Account != req.Account.Name || t.Service != req.Attempt.Service:
		r.Message = "ticket: it belongs to another client account or service"
		return r
	case errors.Is(err, ticket.ErrExpired):
		// An earlier request with the ticket may have run, and the local process may have forgotten it.
		r.Outcome, r.Reason, r.Message = outcome.Unknown, outcome.TicketExpired, "ticket: "+err.Error()
		return r
	}
	req.Ticket = &t
	req.Attempt.Ticket, req.Attempt.TicketExpires = t.Random, t.Expires
	return nil
}

// runTicket sends a booking only to the target and incarnation of its ticket. The outcome is not-run only if the local
// process states it for the ticket, and not just for the attempt, since an earlier request with the ticket may have
// run.
func (x *execution) runTicket(caller, bounded context.Context) (*Answer, *Refusal) {
	t := x.req.Ticket
	choice := x.entry.router.PickNamed(x.req.query(x.entry), t.Target)
	if choice == nil {
		x.mayHaveRun = true
		return nil, x.finalRefusal(attemptResult{reason: outcome.NoTarget, message: "target " + t.Target + " of the ticket is not listed"})
	}
	v := x.attempt(caller, bounded, choice, t.Incarnation)
	choice.Done(v.failure)
	if v.answer != nil {
		return v.answer, nil
	}
	v.notRun = v.revoked || v.refused && closesTicket(v.reason)
	x.applyResult(choice, v)
	return nil, x.finalRefusal(v)
}

// closesTicket reports whether a refusal by the ticket's local process rules out any run with the ticket and this
// request's body.
func closesTicket(r outcome.Reason) bool {
	switch r {
	case outcome.WrongIncarnation, outcome.Revoked, outcome.CallerLeft:
		return false
	default:
		return true
	}
}
