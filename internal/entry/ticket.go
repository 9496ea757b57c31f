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

// probeTimeout bounds the question for a local process's incarnation, a round trip of a few milliseconds.
const probeTimeout = 500 * time.Millisecond

// Ticket is an issued ticket.
type Ticket struct {
	Opaque string
	Life   time.Duration
}

// IssueTicket chooses a target of the service and returns a ticket for it. The error is a *Refusal.
func (e *Entry) IssueTicket(ctx context.Context, req *Request) (*Ticket, error) {
	x := newExecution(e, req, nil)
	issued, refusal := x.issue(ctx)
	e.finish(x, nil, refusal)
	if refusal != nil {
		return nil, refusal
	}
	return issued, nil
}

func (x *execution) issue(ctx context.Context) (*Ticket, *Refusal) {
	if r := x.admit(); r != nil {
		return nil, r
	}
	release, wait := x.e.limits.admit(x.req.Account, x.e.opt.Clock.Now())
	if release == nil {
		return nil, x.refusal(outcome.NotRun, outcome.AccountLimit, "the client account is over its limit", wait)
	}
	defer release()
	last := verdict{notRun: true, reason: outcome.NoTarget, message: "no target of the service takes bookings now"}
	for len(x.tried) < x.req.Snapshot.Preset().MaxAttempts && ctx.Err() == nil {
		choice := x.pick()
		if choice == nil {
			break
		}
		load, v := x.probe(ctx, choice)
		choice.Done(v.failure)
		if load == nil || load.Draining {
			last = v
			x.note(choice, v)
			continue
		}
		return x.seal(choice.VM.Name, load.Incarnation)
	}
	return nil, x.final(last)
}

// probe asks a local process for its present incarnation with an attempt that no incarnation runs. The load is
// nil if the process did not answer.
func (x *execution) probe(ctx context.Context, c *routing.Choice) (*wire.Load, verdict) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	x.number++
	a := x.req.Attempt
	a.ID = wire.AttemptID{Request: x.req.ID, Number: x.number}
	a.RemainingMS = probeTimeout.Milliseconds()
	a.Revision = x.req.Snapshot.Revision()
	load := &wire.Load{}
	err := x.e.opt.Sender.Send(ctx, c.VM.Data, a, func(f wire.Frame) error {
		if f.ID != a.ID || f.Incarnation == "" {
			return errors.New("answer to a probe without incarnation")
		}
		if f.Load != nil {
			*load = *f.Load
			c.Report(f.Load)
		}
		load.Incarnation = f.Incarnation
		x.e.learn(c.VM.Name, f.Incarnation)
		return nil
	})
	if err != nil || load.Incarnation == "" {
		v := verdict{notRun: true, reason: outcome.ConnectFailed, message: "no incarnation from " + c.VM.Name, failure: routing.Dead}
		if ctx.Err() == context.Canceled {
			v.failure = routing.NoVerdict
		}
		return nil, v
	}
	return load, verdict{notRun: true, reason: outcome.Draining, message: c.VM.Name + " is draining"}
}

func (x *execution) seal(target, incarnation string) (*Ticket, *Refusal) {
	opaque, err := x.e.opt.Tickets.Seal(ticket.Ticket{
		Account: x.req.Account.Name, Service: x.req.Attempt.Service, Target: target, Incarnation: incarnation,
		Expires: x.e.opt.Clock.Now().Add(ticket.MaxLifetime),
	})
	if err != nil {
		return nil, x.refusal(outcome.NotRun, outcome.NoTarget, "no ticket could be made: "+err.Error(), retryAfterDefault)
	}
	return &Ticket{Opaque: opaque, Life: ticket.MaxLifetime}, nil
}

// OpenTicket checks the opaque form of a ticket for a call of the request's account and service.
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

// runTicket sends a booking to the ticket's target and incarnation only. The outcome is not-run only if that
// local process says so about the ticket, since an earlier request with the ticket may have run.
func (x *execution) runTicket(caller, bounded context.Context) (*Answer, *Refusal) {
	t := x.req.Ticket
	choice := x.e.router.At(x.req.query(x.e), t.Target)
	if choice == nil {
		x.mayHaveRun = true
		return nil, x.final(verdict{reason: outcome.NoTarget, message: "target " + t.Target + " of the ticket is not listed"})
	}
	v := x.attempt(caller, bounded, choice, t.Incarnation)
	choice.Done(v.failure)
	if v.answer != nil {
		return v.answer, nil
	}
	v.notRun = v.revoked || v.refused && closesTicket(v.reason)
	x.note(choice, v)
	return nil, x.final(v)
}

// closesTicket says whether a refusal of the ticket's local process excludes every run with the ticket and this body.
func closesTicket(r outcome.Reason) bool {
	switch r {
	case outcome.WrongIncarnation, outcome.Revoked, outcome.CallerLeft:
		return false
	default:
		return true
	}
}
