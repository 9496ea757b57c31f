package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/httphead"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// send sends the attempt and receives frames on the first connection.
func (s *session) send(ctx context.Context) error {
	firstTimeout := s.choice.Wait + s.exec.entry.opt.Bounds.FirstFrame
	if s.attempt.Incarnation == "" {
		firstTimeout = s.exec.entry.opt.Bounds.Control // such an attempt is refused without being queued
	}
	return s.receive(ctx, firstTimeout, func(ctx context.Context, onFrame func(wire.Frame) error) error {
		return s.exec.entry.opt.Sender.Send(ctx, s.choice.VM.Data, s.attempt, onFrame)
	})
}

// resume receives the missing frames on a new connection.
func (s *session) resume(ctx context.Context) error {
	s.resumes++
	q := wire.Resume{ID: s.attempt.ID, Incarnation: s.attempt.Incarnation, FromSeq: s.assembler.Next()}
	return s.receive(ctx, s.exec.entry.opt.Bounds.NextFrame, func(ctx context.Context, onFrame func(wire.Frame) error) error {
		return s.exec.entry.opt.Sender.Resume(ctx, s.choice.VM.Data, q, onFrame)
	})
}

// receive handles the frames of one connection. If no frame arrives in time, it checks the local process over the
// control protocol, and returns errUnresponsive if keepWaiting returns false. The time that the caller takes to accept
// a frame doesn't count.
func (s *session) receive(ctx context.Context, firstTimeout time.Duration, connect func(context.Context, func(wire.Frame) error) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	nextTimeout := s.exec.entry.opt.Bounds.NextFrame
	var timer *time.Timer
	timerSet := make(chan struct{})
	timer = time.AfterFunc(firstTimeout, func() {
		<-timerSet
		switch {
		case ctx.Err() != nil:
		case s.keepWaiting(ctx):
			timer.Reset(nextTimeout)
		default:
			cancel(errUnresponsive)
		}
	})
	close(timerSet)
	defer timer.Stop()
	err := connect(ctx, func(f wire.Frame) error {
		timer.Stop()
		defer timer.Reset(nextTimeout)
		return s.handleFrame(f)
	})
	var notSent *port.NotSentError
	if errors.Is(context.Cause(ctx), errUnresponsive) && !errors.As(err, &notSent) {
		return errUnresponsive
	}
	return err
}

// keepWaiting reports whether to wait longer for a late frame. It asks the local process over the control protocol and
// leaves the connection open, since closing it would drop a queued attempt. A live process has the attempt queued or
// running, so waiting makes sense. A request that isn't idempotent or has a ticket waits in any case, since it may
// already be running there and may not be run elsewhere; but if the process doesn't answer, the target's circuit is
// opened to keep other requests away.
func (s *session) keepWaiting(ctx context.Context) bool {
	if s.attempt.Incarnation == "" {
		return false
	}
	ctx, stop := context.WithTimeout(ctx, s.exec.entry.opt.Bounds.Control)
	defer stop()
	incarnation, err := s.exec.entry.opt.Control.Incarnation(ctx, s.choice.VM.Control)
	live := err == nil && incarnation == s.attempt.Incarnation
	s.unresponsive.Store(!live)
	if live || s.exec.req.Attempt.Idempotent && s.exec.req.Ticket == nil {
		return live
	}
	s.choice.Suspect()
	return true
}

// handleFrame processes one frame of the answer.
func (s *session) handleFrame(f wire.Frame) error {
	if err := s.assembler.Add(f); err != nil {
		return err
	}
	if err := s.checkStatus(f); err != nil {
		return err
	}
	if s.firstFrame == 0 {
		s.firstFrame = s.exec.entry.opt.Clock.Now().Sub(s.startedAt)
		s.exec.entry.storeIncarnation(s.choice.VM.Name, f.Incarnation)
	}
	if f.Load != nil {
		s.choice.Report(f.Load)
	}
	switch f.Kind {
	case wire.FrameText:
		return s.handleText(f)
	case wire.FrameEnd:
		if err := s.discardEarlierText(0); err != nil {
			return err
		}
	}
	s.finalFrame = &f
	return nil
}

// checkStatus returns an error if a frame is the end of a plain service's answer without the status of a final answer.
func (s *session) checkStatus(f wire.Frame) error {
	if f.Kind != wire.FrameEnd || s.exec.req.isDraft() {
		return nil
	}
	if err := httphead.CheckFinal(f.Status); err != nil {
		return fmt.Errorf("%w: %w", stream.ErrIncomplete, err)
	}
	return nil
}

// handleText passes a text frame to the caller.
func (s *session) handleText(f wire.Frame) error {
	if err := s.discardEarlierText(1); err != nil {
		return err
	}
	s.exec.sentText = true
	s.exec.observeText()
	if err := s.exec.listener.Text(s.assembler.TextFrames()-1, f.Text); err != nil {
		return &callerError{err}
	}
	return nil
}

// discardEarlierText tells the caller to discard the text of an earlier attempt before the first text of this one.
// pendingFrames is the number of text frames of this attempt that were received and not yet passed to the caller.
func (s *session) discardEarlierText(pendingFrames int) error {
	if !s.exec.sentText || s.assembler.TextFrames() > pendingFrames {
		return nil
	}
	s.exec.sentText = false
	if err := s.exec.listener.Restart(); err != nil {
		return &callerError{err}
	}
	return nil
}
