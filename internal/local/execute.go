package local

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// bookingGrace is how long a dispatched booking may continue after its caller's deadline, so that its response is
	// stored for a retry with the same ticket.
	bookingGrace = 30 * time.Second
	// failedRetryAfter is the retry-after of work that failed at the target without one of its own, that could not be
	// sent, or whose deadline passed in the queue.
	failedRetryAfter = time.Second
	// notLoadedRetryAfter is the retry-after of work whose adapter the engine has yet to load.
	notLoadedRetryAfter = 2 * time.Second
)

// errOrphaned is the cancel cause of a run for whose response no caller waits.
var errOrphaned = errors.New("no caller waits for the response")

// Submit registers an attempt, queues it if it is new, and returns the run that answers it.
func (l *Local) Submit(a wire.Attempt) *attempt.Run {
	run, created := l.table.Begin(a)
	if !created {
		return run
	}
	if l.opt.Serves != nil && !l.opt.Serves(a.Adapter) {
		run.Refuse(outcome.NotLoaded, notLoadedRetryAfter)
		return run
	}
	l.enqueue(run, a)
	return run
}

// enqueue puts a new run into the queue, or refuses it at once.
func (l *Local) enqueue(run *attempt.Run, a wire.Attempt) {
	decided := make(chan *admission.Refusal, 1)
	job, refusal := l.queue.Enter(admission.Work{
		Account: a.Account, Operation: a.Operation, PromptBytes: len(a.Prompt), MaxTokens: a.MaxTokens,
		Bytes: len(a.Prompt) + len(a.Body), Deadline: run.Deadline(), Decide: func(r *admission.Refusal) { decided <- r },
	})
	if refusal != nil {
		run.Refuse(refusal.Reason, refusal.RetryAfter)
		return
	}
	go l.execute(run, job, decided)
}

// execute waits until the queue decides on the run and then runs it at the target. A run that ends or reaches its
// deadline in the queue is not sent.
func (l *Local) execute(run *attempt.Run, job *admission.Job, decided <-chan *admission.Refusal) {
	defer job.Leave()
	deadlineTimer := time.NewTimer(run.Deadline().Sub(l.opt.Clock.Now()))
	defer deadlineTimer.Stop()
	select {
	case refusal := <-decided:
		if refusal != nil {
			run.Refuse(refusal.Reason, refusal.RetryAfter)
			return
		}
	case <-run.Done():
		return
	case <-deadlineTimer.C:
		run.Refuse(outcome.DeadlinePassed, failedRetryAfter)
		return
	}
	ctx, cancelTimeout := context.WithDeadline(context.Background(), l.cutoff(run))
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !run.Dispatch(func() { cancel(errOrphaned) }) {
		return
	}
	if l.opt.Engine != nil {
		l.generate(ctx, run, job)
		return
	}
	l.call(ctx, run, job)
}

// cutoff returns the time at which work at the target is cancelled. A booking (a call that is not idempotent) may
// continue for bookingGrace after its deadline.
func (l *Local) cutoff(run *attempt.Run) time.Time {
	a := run.Attempt()
	if a.Kind == wire.KindCall && !a.Idempotent {
		return run.Deadline().Add(bookingGrace)
	}
	return run.Deadline()
}

// generate runs a draft at the engine.
func (l *Local) generate(ctx context.Context, run *attempt.Run, job *admission.Job) {
	a := run.Attempt()
	tokens := 0
	err := l.opt.Engine.Generate(ctx, port.EngineRequest{
		ID: fmt.Sprintf("%s-%d", a.ID.Request, a.ID.Number), Model: a.Model, Adapter: a.Adapter,
		Prompt: a.Prompt, MaxTokens: a.MaxTokens, Priority: job.Priority(),
	}, func(c port.Chunk) error {
		tokens += c.Tokens
		job.Progress(c.Tokens)
		run.AppendText(c.Text)
		return nil
	})
	if err != nil {
		failRun(ctx, run, err)
		return
	}
	job.Done()
	run.End(tokens, 0, 0)
}

// call runs an operation of the plain service.
func (l *Local) call(ctx context.Context, run *attempt.Run, job *admission.Job) {
	a := run.Attempt()
	res, err := l.opt.Service.Call(ctx, a.Operation, a.Body)
	if err != nil {
		failRun(ctx, run, err)
		return
	}
	job.Done()
	run.AppendText(res.Body)
	run.End(0, res.Status, res.RetryAfter)
}

// failRun ends a run with the failure of the target. The run is reported as not run only if the request was never sent.
func failRun(ctx context.Context, run *attempt.Run, err error) {
	var notSent *port.NotSentError
	var answered *port.TargetError
	switch {
	case errors.As(err, &notSent):
		run.Refuse(outcome.ConnectFailed, failedRetryAfter)
	case errors.Is(context.Cause(ctx), errOrphaned):
		run.Fail(outcome.CallerLeft, 0)
	case ctx.Err() != nil:
		run.Fail(outcome.DeadlinePassed, 0)
	case errors.As(err, &answered) && answered.RetryAfter > 0:
		run.Fail(outcome.TargetFailed, answered.RetryAfter)
	default:
		run.Fail(outcome.TargetFailed, failedRetryAfter)
	}
}
