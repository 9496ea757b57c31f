package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// tryTarget sends an attempt to the chosen target. If the target's local process refuses it because its incarnation
// isn't the one that the entry knows, and the entry has learnt the current one from the refusal, tryTarget sends one
// more attempt.
func (x *execution) tryTarget(caller, bounded context.Context, c *routing.Choice) attemptResult {
	known := x.entry.incarnation(c.VM.Name)
	if c.Probe {
		// No local process runs an attempt without an incarnation. If this one doesn't answer, little time is lost and
		// it is certain that the attempt didn't run.
		known = ""
	}
	v := x.attempt(caller, bounded, c, known)
	if v.reason != outcome.WrongIncarnation || !v.notRun {
		v.failedProbe = c.Probe && v.notRun && !v.refused
		return v
	}
	present := x.entry.incarnation(c.VM.Name)
	if present == known || present == "" {
		return v
	}
	return x.attempt(caller, bounded, c, present)
}

// attempt sends one attempt to one incarnation of the chosen target's local process and records its result.
func (x *execution) attempt(caller, bounded context.Context, c *routing.Choice, incarnation string) attemptResult {
	x.lastNumber++
	a := x.req.Attempt
	a.ID = wire.AttemptID{Request: x.req.ID, Number: x.lastNumber}
	a.Incarnation = incarnation
	a.RemainingMS = x.req.Deadline.Sub(x.entry.opt.Clock.Now()).Milliseconds()
	a.Revision = x.req.Snapshot.Revision()
	s := &session{exec: x, choice: c, attempt: a, assembler: stream.NewAssembler(a.ID), startedAt: x.entry.opt.Clock.Now()}
	v := s.run(caller, bounded)
	s.recordAttempt(v)
	return v
}

// session is the exchange with a local process for one attempt, over one or more connections.
type session struct {
	exec      *execution
	choice    *routing.Choice
	attempt   wire.Attempt
	assembler *stream.Assembler
	startedAt time.Time

	firstFrame   time.Duration // from the start to the first frame
	resumes      int
	unresponsive atomic.Bool // the incarnation did not answer over the control protocol
	finalFrame   *wire.Frame // the last frame of the answer, nil before it arrives
}

var (
	errUnresponsive = errors.New("no frame in time")
	errCallerLeft   = errors.New("the caller left")
	errDeadline     = errors.New("no whole answer before the deadline")
)

// callerError is an error of the Listener: the caller no longer accepts the answer.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }
func (e *callerError) Unwrap() error { return e.err }

// maxEmptyResumes limits the consecutive resumes that receive no new frame.
const maxEmptyResumes = 2

// run sends the attempt and resumes its stream on a new connection whenever it breaks, until it has a result.
func (s *session) run(caller, bounded context.Context) attemptResult {
	err := s.send(bounded)
	for emptyResumes := 0; ; {
		if v, ended := s.resultAfter(caller, bounded, err); ended {
			return v
		}
		if emptyResumes++; emptyResumes > maxEmptyResumes || errors.Is(err, port.ErrUnknownAttempt) {
			return s.giveUp(outcome.StreamBroken, err, routing.StreamBroken)
		}
		if emptyResumes > 1 {
			sleep(bounded, s.exec.entry.opt.Bounds.ResumePause)
		}
		before := s.assembler.Next()
		err = s.resume(bounded)
		if s.assembler.Next() > before {
			emptyResumes = 0
		}
	}
}

// resultAfter returns the result of the attempt, and true, unless the stream should be resumed on a new connection
// after err.
func (s *session) resultAfter(caller, bounded context.Context, err error) (attemptResult, bool) {
	var callerErr *callerError
	var notSent *port.NotSentError
	switch {
	case s.finalFrame != nil:
		return s.finalResult(), true
	case s.resumes == 0 && errors.As(err, &notSent):
		return s.notSentResult(caller, bounded, err), true
	case caller.Err() != nil || errors.As(err, &callerErr):
		return s.giveUp(outcome.CallerLeft, errCallerLeft, routing.NoVerdict), true
	case errors.Is(err, stream.ErrIncomplete) || errors.Is(err, stream.ErrForeignFrame):
		return s.giveUp(outcome.Incomplete, err, routing.StreamBroken), true
	case errors.Is(err, errUnresponsive):
		return attemptResult{notRun: s.attempt.Incarnation == "", reason: outcome.StreamBroken,
			message: "no answer from " + s.choice.VM.Name, cause: err, failure: routing.Unreachable}, true
	case bounded.Err() != nil:
		// Callers choose the deadline, so a missed one doesn't count as a failure of the target.
		return s.giveUp(outcome.DeadlinePassed, errDeadline, routing.NoVerdict), true
	}
	return attemptResult{}, false
}

// notSentResult returns the result of an attempt of which no byte was sent.
func (s *session) notSentResult(caller, bounded context.Context, err error) attemptResult {
	v := attemptResult{notRun: true, reason: outcome.ConnectFailed, message: "no connection to " + s.choice.VM.Name, cause: err, failure: routing.Unreachable}
	switch {
	case caller.Err() != nil:
		v.reason, v.failure = outcome.CallerLeft, routing.NoVerdict
	case bounded.Err() != nil:
		v.reason, v.failure = outcome.DeadlinePassed, routing.NoVerdict
	}
	return v
}

// finalResult returns the result that the last frame of the answer states.
func (s *session) finalResult() attemptResult {
	f := s.finalFrame
	wait := time.Duration(f.RetryAfterMS) * time.Millisecond
	switch f.Kind {
	case wire.FrameEnd:
		return attemptResult{answer: &Answer{
			RequestID: s.exec.req.ID, Text: s.assembler.Text(), Tokens: f.Tokens, TextHash: f.TextHash,
			Status: f.Status, Repeated: f.Repeated, Target: s.choice.VM.Name,
			RetryAfter: wait,
		}}
	case wire.FrameRefused:
		if f.Reason == outcome.CallerLeft {
			// The local process dropped the queued attempt because the connection to this entry broke.
			return attemptResult{notRun: true, reason: outcome.StreamBroken, failure: routing.StreamBroken,
				message: "dropped by the local process of " + s.choice.VM.Name}
		}
		return attemptResult{notRun: true, refused: true, reason: f.Reason, retryAfter: wait,
			message: "refused by the local process of " + s.choice.VM.Name}
	default:
		return attemptResult{reason: f.Reason, retryAfter: wait, failure: routing.StreamBroken,
			message: "target " + s.choice.VM.Name + " failed"}
	}
}

// giveUp revokes the attempt, which also cancels a running draft, and returns a result that reports whether it is
// certain that the attempt didn't run. It doesn't revoke a booking with a ticket whose caller left: its local process
// drops the booking from the queue and leaves the ticket open, so that the caller can retry it.
func (s *session) giveUp(reason outcome.Reason, err error, f routing.Failure) attemptResult {
	v := attemptResult{reason: reason, message: "no whole answer from " + s.choice.VM.Name, cause: err, failure: f}
	if s.exec.req.Ticket == nil || reason != outcome.CallerLeft {
		_, v.notRun = s.revoke(true)
		v.revoked = v.notRun
	}
	return v
}

// revoke asks the local process never to run the attempt. For a booking with a ticket it closes the ticket, and the
// local process answers not run only if no attempt with the ticket has run.
func (s *session) revoke(cancel bool) (answered, notRun bool) {
	if s.attempt.Incarnation == "" {
		return false, true // no local process runs an attempt without an incarnation
	}
	if s.unresponsive.Load() {
		return false, false
	}
	ctx, stop := context.WithTimeout(context.Background(), s.exec.entry.opt.Bounds.Control)
	defer stop()
	r, err := s.exec.entry.opt.Control.Revoke(ctx, s.choice.VM.Control, wire.Revoke{
		ID: s.attempt.ID, Incarnation: s.attempt.Incarnation, Ticket: s.attempt.Ticket, Cancel: cancel,
	})
	if err != nil {
		return false, false
	}
	same := r.Incarnation == s.attempt.Incarnation
	return same, same && r.NotRun && s.assembler.Next() == 0
}

// recordAttempt adds the attempt to the request's decision record.
func (s *session) recordAttempt(v attemptResult) {
	d := decision.Attempt{
		Number: s.attempt.ID.Number, Target: s.choice.VM.Name, Considered: s.choice.Considered,
		Eligible: s.choice.Eligible, KeptTokens: s.choice.KeptTokens, Spilled: s.choice.Spilled, Started: s.startedAt, Duration: s.exec.entry.opt.Clock.Now().Sub(s.startedAt),
		FirstFrame: s.firstFrame, Resumes: s.resumes, Reason: v.reason, Message: v.message, Outcome: outcome.Unknown,
	}
	if v.cause != nil {
		d.Message = v.cause.Error()
	}
	switch {
	case v.answer != nil:
		d.Outcome = outcome.Completed
	case v.notRun:
		d.Outcome = outcome.NotRun
	}
	s.exec.attempts = append(s.exec.attempts, d)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
