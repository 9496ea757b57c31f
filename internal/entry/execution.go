package entry

import (
	"context"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/routing"
)

// defaultRetryAfter is the Retry-After of refusals for which no target stated a wait.
const defaultRetryAfter = time.Second

// execution is the state of one request until its outcome. It is not safe for concurrent use.
type execution struct {
	entry      *Entry
	req        *Request
	listener   Listener
	receivedAt time.Time

	lastNumber    int           // number of the last attempt
	tried         []string      // names of the targets that were tried
	mayHaveRun    bool          // at least one attempt may have run
	refusals      int           // attempts refused by a local process
	probeFailed   bool          // an attempt was a failed test of a target with an open circuit
	sentText      bool          // the caller has text of an attempt
	minRetryAfter time.Duration // shortest wait stated by a target, 0 if none
	attempts      []decision.Attempt
	firstTextAt   time.Time // zero before the first text frame
	lastTextAt    time.Time
}

func newExecution(e *Entry, req *Request, l Listener) *execution {
	return &execution{entry: e, req: req, listener: l, receivedAt: e.opt.Clock.Now()}
}

// attemptResult is the result of one attempt, as far as the entry knows it.
type attemptResult struct {
	answer      *Answer
	notRun      bool // it is certain that the attempt didn't run and won't run
	refused     bool // the local process refused it
	revoked     bool // the local process answered a revoke with not run
	failedProbe bool // the attempt tested a target with an open circuit, which sent no frame
	reason      outcome.Reason
	message     string // for the caller; must not contain an address
	cause       error  // for the decision record
	retryAfter  time.Duration
	failure     routing.Failure
}

// admitAndRun checks the limits of the client account and runs the request until its deadline.
func (x *execution) admitAndRun(ctx context.Context) (*Answer, *Refusal) {
	if r := x.checkStopping(); r != nil {
		return nil, r
	}
	release, wait := x.entry.limits.admit(x.req.Account, x.entry.opt.Clock.Now())
	if release == nil {
		return nil, x.notStarted(outcome.AccountLimit, "the client account is over its limit", wait)
	}
	defer release()
	x.entry.budgets.Of(x.req.budgetKey()).CountRequest(x.req.Snapshot.Preset().RetryShare)
	bounded, cancel := context.WithDeadline(ctx, x.req.Deadline)
	defer cancel()
	if x.req.Ticket != nil {
		return x.runTicket(ctx, bounded)
	}
	return x.run(ctx, bounded)
}

// checkStopping returns a refusal if the entry is stopping.
func (x *execution) checkStopping() *Refusal {
	if x.entry.stopping.Load() {
		return x.notStarted(outcome.Stopping, "this entry is stopping", defaultRetryAfter)
	}
	return nil
}

// notStarted returns the refusal of a request of which this entry sent no attempt. If the request has a ticket, its
// outcome is unknown, since an earlier request with the ticket may have run.
func (x *execution) notStarted(reason outcome.Reason, message string, wait time.Duration) *Refusal {
	o := outcome.NotRun
	if x.req.Ticket != nil {
		o = outcome.Unknown
	}
	return x.refusal(o, reason, message, wait)
}

// run makes attempts at targets until one answers or no further attempt is permitted. The context caller ends when the
// caller leaves, and bounded also ends at the deadline.
func (x *execution) run(caller, bounded context.Context) (*Answer, *Refusal) {
	last := attemptResult{notRun: true, reason: outcome.NoTarget, message: "no target serves this now"}
	for {
		choice := x.pick()
		if choice == nil {
			return nil, x.finalRefusal(last)
		}
		if reason := x.chargeRetry(last); reason != "" {
			choice.Done(routing.NoVerdict)
			last.reason, last.message = reason, "no further attempt after "+string(last.reason)
			return nil, x.finalRefusal(last)
		}
		last = x.tryTarget(caller, bounded, choice)
		if last.notRun {
			choice.NotRun()
		}
		choice.Done(last.failure)
		if last.answer != nil {
			return last.answer, nil
		}
		x.applyResult(choice, last)
		if !x.mayRetry(caller, &last) {
			return nil, x.finalRefusal(last)
		}
	}
}

// pick chooses a target that wasn't tried, or returns nil. Only the first attempt may test a target with an open
// circuit while other targets are eligible.
func (x *execution) pick() *routing.Choice {
	q := x.req.query(x.entry)
	q.Tried = x.tried
	q.MayProbe = len(x.tried) == 0
	return x.entry.router.Pick(q)
}

// chargeRetry takes a retry from the budget, or returns the reason why it can't. The retry after the first refusal by a
// local process is not charged, since a refusal costs its target almost nothing. Neither is the retry after the first
// failed test of a target with an open circuit: otherwise the tests of a few dead targets would use up the budget of a
// service with little traffic.
func (x *execution) chargeRetry(last attemptResult) outcome.Reason {
	if len(x.tried) == 0 {
		return ""
	}
	freeOfCharge := last.failedProbe && !x.probeFailed || last.refused && x.refusals == 1
	x.probeFailed = x.probeFailed || last.failedProbe
	if !freeOfCharge && !x.entry.budgets.Of(x.req.budgetKey()).Take() {
		return outcome.RetryBudget
	}
	x.entry.opt.Retries.Add(last.reason)
	return ""
}

// applyResult updates the state of the request with the result of an attempt.
func (x *execution) applyResult(c *routing.Choice, v attemptResult) {
	x.tried = append(x.tried, c.VM.Name)
	x.mayHaveRun = x.mayHaveRun || !v.notRun
	if v.refused {
		x.refusals++
	}
	if v.retryAfter > 0 && (x.minRetryAfter == 0 || v.retryAfter < x.minRetryAfter) {
		x.minRetryAfter = v.retryAfter
	}
}

// mayRetry reports whether another target may be tried after the result v. It replaces v's reason and message if the
// caller left or the deadline passed.
func (x *execution) mayRetry(caller context.Context, v *attemptResult) bool {
	switch {
	case caller.Err() != nil:
		v.reason, v.message = outcome.CallerLeft, errCallerLeft.Error()
		return false
	case !x.entry.opt.Clock.Now().Before(x.req.Deadline):
		v.reason, v.message = outcome.DeadlinePassed, errDeadline.Error()
		return false
	case !x.req.Attempt.Idempotent && x.mayHaveRun:
		return false
	case x.countedAttempts(v) >= x.req.Snapshot.Preset().MaxAttempts:
		return false
	}
	switch v.reason {
	case outcome.CallerLeft, outcome.DeadlinePassed, outcome.Invalid, outcome.PresetClosed:
		return false
	}
	return true
}

// countedAttempts returns the number of attempts that count against the preset's MaxAttempts. One failed test of a
// target with an open circuit doesn't count.
func (x *execution) countedAttempts(v *attemptResult) int {
	if x.probeFailed || v.failedProbe {
		return len(x.tried) - 1
	}
	return len(x.tried)
}

// finalRefusal returns the refusal after the last attempt. Its outcome is not-run only if no attempt may have run.
func (x *execution) finalRefusal(v attemptResult) *Refusal {
	if !x.mayHaveRun {
		return x.refusal(outcome.NotRun, v.reason, v.message, x.suggestedWait())
	}
	wait := x.suggestedWait()
	if !x.req.Attempt.Idempotent && x.req.Ticket == nil {
		wait = 0 // no Retry-After, since a retry could run the operation twice
	}
	return x.refusal(outcome.Unknown, v.reason, v.message, wait)
}

// suggestedWait returns the time after which the caller should retry the request.
func (x *execution) suggestedWait() time.Duration {
	if x.minRetryAfter > 0 {
		return x.minRetryAfter
	}
	return defaultRetryAfter
}

func (x *execution) refusal(o outcome.Outcome, r outcome.Reason, message string, wait time.Duration) *Refusal {
	return &Refusal{Outcome: o, Reason: r, Message: message, RequestID: x.req.ID, RetryAfter: wait}
}
