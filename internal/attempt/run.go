package attempt

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Run is the execution of a request by a local process at its target, with the frames of the response. Attempts with
// the same ticket share a run. The mutex of the table guards it.
type Run struct {
	table    *Table
	attempt  wire.Attempt
	deadline time.Time
	ids      []key // attempts that get this run's response
	ticket   *ticketState

	state           State
	endedAt         time.Time
	text            []byte
	frameEnds       []int // end of each text frame in text
	lastFrame       wire.Frame
	digest          *xxhash.Digest
	changed         chan struct{} // closed and replaced when frames grow or the run ends
	done            chan struct{} // closed when the run ends
	followers       int
	unfollowedSince time.Time // zero while there is a follower, and before the first one
	cancel          func()
}

func newRun(t *Table, a wire.Attempt, deadline time.Time) *Run {
	return &Run{
		table: t, attempt: a, deadline: deadline, digest: xxhash.New(),
		changed: make(chan struct{}), done: make(chan struct{}),
	}
}

// Attempt returns the attempt that created the run. Its prompt and body are dropped when the run ends.
func (r *Run) Attempt() wire.Attempt {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	return r.attempt
}

// Deadline returns the time after which the caller has no use for the response.
func (r *Run) Deadline() time.Time { return r.deadline }

// Done returns a channel that is closed when the run ends.
func (r *Run) Done() <-chan struct{} { return r.done }

func (r *Run) ended() bool { return r.state != Queued && r.state != Dispatched }

// Dispatch moves a queued run to dispatched and returns true. It refuses the run and returns false if its deadline or
// ticket has expired, if the process is stopping, or if a drain began QueueGrace ago. It also returns false if the run
// isn't queued. It must be called immediately before the first byte is sent to the target. cancel stops the work at the
// target; it is called for a draft that is revoked with Cancel or has lost its followers.
func (r *Run) Dispatch(cancel func()) bool {
	t := r.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.state != Queued {
		return false
	}
	if reason, refuse := r.dispatchRefusal(t.clock.Now()); refuse {
		r.endLocked(Refused, refusedFrame(reason, 0))
		return false
	}
	r.state = Dispatched
	r.cancel = cancel
	return true
}

// dispatchRefusal returns the reason to refuse a queued run at its dispatch. It repeats checks made when the attempt
// was registered, since the process may have been paused since then.
func (r *Run) dispatchRefusal(now time.Time) (outcome.Reason, bool) {
	t := r.table
	switch {
	case t.stopped:
		return outcome.Stopping, true
	case !t.drainStartedAt.IsZero() && now.Sub(t.drainStartedAt) >= QueueGrace:
		return outcome.Draining, true
	case !now.Before(r.deadline):
		return outcome.DeadlinePassed, true
	case r.ticket != nil && !now.Before(r.ticket.expires):
		return outcome.TicketExpired, true
	}
	return "", false
}

// Refuse ends a run that wasn't dispatched, or of which no byte was sent to the target. It closes the run's ticket.
func (r *Run) Refuse(reason outcome.Reason, retryAfter time.Duration) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if !r.ended() {
		r.endLocked(Refused, refusedFrame(reason, retryAfter))
	}
}

// revokeLocked revokes a queued run. It reports whether the run has ended without reaching the target.
func (r *Run) revokeLocked() (notRun bool) {
	if r.state == Queued {
		r.endLocked(Revoked, refusedFrame(outcome.Revoked, 0))
	}
	if r.state == Refused || r.state == Revoked {
		return true
	}
	return false
}

// AppendText appends a text frame to the response.
func (r *Run) AppendText(text string) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Dispatched {
		return
	}
	_, _ = r.digest.WriteString(text)
	r.text = append(r.text, text...)
	r.frameEnds = append(r.frameEnds, len(r.text))
	r.notifyLocked()
}

// End ends a dispatched run whose response is complete. status is the HTTP status of a plain service, or 0, and
// retryAfter is the service's Retry-After, or 0.
func (r *Run) End(tokens, status int, retryAfter time.Duration) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state != Dispatched {
		return
	}
	r.endLocked(Finished, wire.Frame{
		Kind: wire.FrameEnd, Frames: len(r.frameEnds), Tokens: tokens, Status: status,
		TextHash: fmt.Sprintf("%016x", r.digest.Sum64()), RetryAfterMS: retryAfter.Milliseconds(),
	})
}

// Fail ends a dispatched run without a complete response. The target may have run the request.
func (r *Run) Fail(reason outcome.Reason, retryAfter time.Duration) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.state == Dispatched {
		r.endLocked(Finished, failedFrame(reason, retryAfter))
	}
}

// endLocked ends a run that is registered in the table. Unless the run is finished, it closes the run's ticket.
func (r *Run) endLocked(s State, f wire.Frame) {
	if s != Finished && r.ticket != nil {
		r.ticket.closed = true
	}
	r.finishLocked(s, f)
	t := r.table
	t.live--
	t.endedTextBytes += len(r.text)
	t.ended = append(t.ended, r)
}

// finishLocked sets the state and the last frame of the run, releases its prompt and body, and wakes its followers.
func (r *Run) finishLocked(s State, f wire.Frame) {
	r.state = s
	r.endedAt = r.table.clock.Now()
	f.Incarnation = r.table.incarnation
	r.lastFrame = f
	r.cancel = nil
	r.attempt.Prompt, r.attempt.Body = "", ""
	close(r.done)
	r.notifyLocked()
}

func (r *Run) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func refusedFrame(reason outcome.Reason, retryAfter time.Duration) wire.Frame {
	return wire.Frame{Kind: wire.FrameRefused, Reason: reason, RetryAfterMS: retryAfter.Milliseconds()}
}

func failedFrame(reason outcome.Reason, retryAfter time.Duration) wire.Frame {
	return wire.Frame{Kind: wire.FrameFailed, Reason: reason, RetryAfterMS: retryAfter.Milliseconds()}
}
