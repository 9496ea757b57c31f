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
	// bookingGrace is how long a dispatched booking may go on after its caller's deadline, so that its response
	// is stored for a repeat with the ticket.
	bookingGrace = 30 * time.Second
	// failedRetryAfter is the Retry-After of work that the target failed.
	failedRetryAfter = time.Second
	// notLoadedRetryAfter is the Retry-After of work whose adapter the engine is about to load.
	notLoadedRetryAfter = 2 * time.Second
)

// errOrphaned is the cause of a cancel when no caller waits for the response.
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

func (l *Local) enqueue(run *attempt.Run, a wire.Attempt) {
	decided := make(chan *admission.Refusal, 1)
	place, refusal := l.queue.Enter(admission.Work{
		Account: a.Account, Operation: a.Operation, PromptBytes: len(a.Prompt), MaxTokens: a.MaxTokens,
		Bytes: len(a.Prompt) + len(a.Body), Deadline: run.Deadline(), Decide: func(r *admission.Refusal) { decided <- r },
	})
	if refusal != nil {
		run.Refuse(refusal.Reason, refusal.RetryAfter)
		return
	}
	go l.execute(run, place, decided)
}

func (l *Local) execute(run *attempt.Run, place *admission.Job, decided <-chan *admission.Refusal) {
	defer place.Leave()
	late := time.NewTimer(run.Deadline().Sub(l.opt.Clock.Now()))
	defer late.Stop()
	select {
	case refusal := <-decided:
		if refusal != nil {
			run.Refuse(refusal.Reason, refusal.RetryAfter)
			return
		}
	case <-run.Done():
		return
	case <-late.C:
		run.Refuse(outcome.DeadlinePassed, failedRetryAfter)
		return
	}
	ctx, stop := context.WithDeadline(context.Background(), l.limit(run))
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !run.Dispatch(func() { cancel(errOrphaned) }) {
		return
	}
	if l.opt.Engine != nil {
		l.generate(ctx, run, place)
		return
	}
	l.call(ctx, run, place)
}

// limit returns when work at the target is cut off.
func (l *Local) limit(run *attempt.Run) time.Time {
	a := run.Attempt()
	if a.Kind == wire.KindCall && !a.Idempotent {
		return run.Deadline().Add(bookingGrace)
	}
	return run.Deadline()
}

func (l *Local) generate(ctx context.Context, run *attempt.Run, place *admission.Job) {
	a := run.Attempt()
	tokens := 0
	err := l.opt.Engine.Generate(ctx, port.EngineRequest{
		ID: fmt.Sprintf("%s-%d", a.ID.Request, a.ID.Number), Model: a.Model, Adapter: a.Adapter,
		Prompt: a.Prompt, MaxTokens: a.MaxTokens, Priority: place.Priority(),
	}, func(c port.Chunk) error {
		tokens += c.Tokens
		place.Progress(c.Tokens)
		run.AppendText(c.Text)
		return nil
	})
	if err != nil {
		fail(ctx, run, err)
		return
	}
	place.Done()
	run.End(tokens, 0, 0)
}

func (l *Local) call(ctx context.Context, run *attempt.Run, place *admission.Job) {
	a := run.Attempt()
	res, err := l.opt.Service.Call(ctx, a.Operation, a.Body)
	if err != nil {
		fail(ctx, run, err)
		return
	}
	place.Done()
	run.AppendText(res.Body)
	run.End(0, res.Status, res.RetryAfter)
}

// fail reports a failure of the target: as not run only if the request never left the process.
func fail(ctx context.Context, run *attempt.Run, err error) {
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
