package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// errStopping is the cause of the end of a request that is cut short by the planned stop of the process.
var errStopping = errors.New("the process is stopping")

// Stop is a planned stop of the process. A nil Stop never begins.
type Stop struct {
	end   atomic.Pointer[time.Time] // nil before the stop
	begun context.Context           // done once the stop has begun
	begin context.CancelFunc
	over  context.Context // done at the end
	close context.CancelFunc
}

// NewStop returns a stop that has not begun.
func NewStop() *Stop {
	s := &Stop{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.over, s.close = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop. Each request has its final answer at the end at the latest. Later calls change nothing.
func (s *Stop) Begin(end time.Time) {
	if !s.end.CompareAndSwap(nil, &end) {
		return
	}
	s.begin()
	time.AfterFunc(time.Until(end), s.close)
}

// Begun reports whether the stop has begun.
func (s *Stop) Begun() bool { return s != nil && s.end.Load() != nil }

// beforeEnd arranges that f runs once no more than margin is left of the stop, if there is one. margin may change, and is
// called in another goroutine. After cancel has returned, f does not run.
func (s *Stop) beforeEnd(margin func() time.Duration, f func()) (cancel func()) {
	if s == nil {
		return func() {}
	}
	var mu sync.Mutex
	cancelled := make(chan struct{})
	detach := context.AfterFunc(s.begun, func() {
		s.awaitMargin(margin, cancelled)
		mu.Lock()
		defer mu.Unlock()
		select {
		case <-cancelled:
		default:
			f()
		}
	})
	return func() {
		detach()
		mu.Lock()
		defer mu.Unlock()
		close(cancelled)
	}
}

// awaitMargin returns once no more than margin is left of the stop, or when cancelled is closed.
func (s *Stop) awaitMargin(margin func() time.Duration, cancelled <-chan struct{}) {
	for {
		wait := time.Until(*s.end.Load()) - margin()
		if wait <= 0 {
			return
		}
		select {
		case <-time.After(wait):
		case <-cancelled:
			return
		}
	}
}

// atEnd arranges that f runs at the end of the stop, if there is one.
func (s *Stop) atEnd(f func()) (cancel func()) {
	if s == nil {
		return func() {}
	}
	detach := context.AfterFunc(s.over, f)
	return func() { detach() }
}

// mayStart reports whether an attempt that starts now has a fair time to finish. During a planned stop a request is sent to
// a target only if its own time limit passes before the end, or the time that is left is enough for most requests of its
// route.
func (x *exchange) mayStart() bool {
	if !x.g.Stop.Begun() {
		return true
	}
	return x.endsBeforeStop() || time.Until(*x.g.Stop.end.Load()) >= x.fairTime()
}

// endsBeforeStop reports whether the time limit of the request passes before the end of the stop, which has begun.
func (x *exchange) endsBeforeStop() bool {
	return !x.record.Started.Add(x.timeLimit()).After(*x.g.Stop.end.Load())
}

// startWait returns the longest time for which the request may wait before an attempt.
func (x *exchange) startWait() time.Duration {
	if !x.g.Stop.Begun() || x.endsBeforeStop() {
		return time.Until(x.deadline)
	}
	return time.Until(*x.g.Stop.end.Load()) - x.fairTime()
}

// fairTime returns the time that an attempt needs to finish: the time that most of the latest requests of the route took, or
// for lack of these the latency objective. A continued stream has a part of that behind it.
func (x *exchange) fairTime() time.Duration {
	usual := x.g.runTimes.usual(x.route)
	if x.headSent {
		usual -= time.Since(x.runStarted)
	}
	return max(usual, minRetryTime)
}

// refuseStopping ends a request for which no further attempt can finish before the process stops, and reports whether it did.
func (x *exchange) refuseStopping() bool {
	if x.mayStart() {
		return false
	}
	x.giveUp(ReasonStopping, unsentRetryAfter)
	return true
}

// refuseUnread refuses a request as not run before its body has been read.
func (x *exchange) refuseUnread() {
	x.w.Header().Set("Connection", "close")
	x.refuse(http.StatusServiceUnavailable, ReasonStopping, unsentRetryAfter)
}

// interruptBody makes reading the body fail once the request may no longer start. interrupted reports whether it did, and
// ends the arrangement.
func (x *exchange) interruptBody() (interrupted func() bool) {
	done := false
	margin := func() time.Duration { return max(x.g.runTimes.usual(x.route), minRetryTime) }
	cancel := x.g.Stop.beforeEnd(margin, func() {
		if done = !x.endsBeforeStop(); done {
			_ = setBodyDeadline(x.r, time.Now())
		}
	})
	return func() bool {
		cancel()
		return done
	}
}

// stopped reports whether the stop of the process has ended the request.
func (x *exchange) stopped() bool {
	return errors.Is(context.Cause(x.ctx), errStopping)
}

// contextReason returns the reason why the request's context has ended although its caller has not left.
func (x *exchange) contextReason() Reason {
	if x.stopped() {
		return ReasonStopping
	}
	return ReasonTimeout
}
