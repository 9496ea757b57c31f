package attempt

import (
	"context"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Follow calls emit with each frame of the run, from sequence number from on, as the frames are produced. The frames
// carry the attempt id. Follow returns nil after the last frame, and otherwise the error of emit or ctx. When the last
// follower leaves before the end, a queued run is dropped, a dispatched draft is cancelled after OrphanGrace, and a
// dispatched call continues.
func (r *Run) Follow(ctx context.Context, id wire.AttemptID, from int, emit func(wire.Frame) error) error {
	r.addFollower()
	defer r.removeFollower()
	for {
		frames, ended, changed := r.snapshot(id, from)
		for _, f := range frames {
			if err := emit(f); err != nil {
				return err
			}
		}
		from += len(frames)
		if ended {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Run) addFollower() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.followers++
	r.unfollowedSince = time.Time{}
}

func (r *Run) removeFollower() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.followers--
	if r.followers > 0 {
		return
	}
	r.unfollowedSince = r.table.clock.Now()
	if r.state == Queued {
		r.dropLocked()
	}
}

// dropLocked ends a queued run that has no follower. No caller was told an outcome, so the ticket stays open and the
// ids of its attempts are forgotten: a delayed copy of an attempt may still run, and a revoke of one closes the ticket.
func (r *Run) dropLocked() {
	t := r.table
	tr := r.ticket
	r.ticket = nil
	r.endLocked(Refused, refusedFrame(outcome.CallerLeft, 0))
	if tr == nil {
		return
	}
	tr.run = nil
	for _, id := range r.ids {
		delete(t.runs, id)
	}
	r.ids = nil
}

// orphaned reports whether the run is a dispatched draft that has had no follower for OrphanGrace.
func (r *Run) orphaned(now time.Time) bool {
	return r.state == Dispatched && r.attempt.Kind == wire.KindDraft && r.cancel != nil &&
		r.followers == 0 && !r.unfollowedSince.IsZero() && now.Sub(r.unfollowedSince) >= OrphanGrace
}

// snapshot returns the frames from sequence number from on. It also returns whether the run has ended, and a channel
// that is closed at the next change. It builds the frames on each call: a run stores its text as one byte slice, since
// a stored frame for each token would take ten times the memory.
func (r *Run) snapshot(id wire.AttemptID, from int) (frames []wire.Frame, ended bool, changed <-chan struct{}) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	repeated := id != r.attempt.ID
	for seq := max(from, 0); seq < len(r.frameEnds); seq++ {
		start := 0
		if seq > 0 {
			start = r.frameEnds[seq-1]
		}
		frames = append(frames, wire.Frame{
			ID: id, Seq: seq, Kind: wire.FrameText, Text: string(r.text[start:r.frameEnds[seq]]),
			Repeated: repeated, Incarnation: r.table.incarnation,
		})
	}
	if r.ended() && from <= len(r.frameEnds) {
		last := r.lastFrame
		last.ID, last.Seq, last.Repeated = id, len(r.frameEnds), repeated
		frames = append(frames, last)
	}
	return frames, r.ended(), r.changed
}
