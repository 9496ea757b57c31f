package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// errStopping is the cause of the end of a request that is cut short by the planned stop of the process.
var errStopping = errors.New("the process is stopping")

// StopTimes are the times of a planned stop.
type StopTimes struct {
	// Drained is the time from which requests arrive on connections that are open already only. Their callers can reach
	// another process at once.
	Drained time.Time
	// End is the time at which each request has its final answer at the latest.
	End time.Time
}

// Stop is a planned stop of the process. A nil Stop never begins.
type Stop struct {
	times atomic.Pointer[StopTimes] // nil before the stop
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

// Begin begins the stop. Later calls change nothing.
func (s *Stop) Begin(times StopTimes) {
	if !s.times.CompareAndSwap(nil, &times) {
		return
	}
	s.begin()
	time.AfterFunc(time.Until(times.End), s.close)
}

// Begun reports whether the stop has begun.
func (s *Stop) Begun() bool { return s != nil && s.times.Load() != nil }

// left returns the time that is left of the stop, which has begun.
func (s *Stop) left() time.Duration { return time.Until(s.times.Load().End) }

// drainLeft returns the time until the stop, which has begun, is drained.
func (s *Stop) drainLeft() time.Duration { return time.Until(s.times.Load().Drained) }

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
		wait := s.left() - margin()
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

// mayStart reports whether an attempt may start now. During a planned stop a request is sent to a target only if its own time
// limit passes before the end, or the time that is left is enough for most requests of its route. Once the stop is drained, a
// stream has to be short enough to be withheld. An answer that has begun is lost unless it goes on.
func (x *exchange) mayStart() bool {
	stop := x.g.Stop
	switch {
	case !stop.Begun() || x.endsBeforeStop():
		return true
	case x.headSent:
		return stop.left() >= minRetryTime
	case x.route.Kind != routetable.KindStream || stop.drainLeft() > 0:
		return stop.left() >= x.fairTime()
	}
	longest, ok := x.expectedWithheldTime()
	return ok && stop.left() >= longest
}

// endsBeforeStop reports whether the time limit of the request passes before the end of the stop, which has begun.
func (x *exchange) endsBeforeStop() bool {
	return !x.record.Started.Add(x.timeLimit()).After(x.g.Stop.times.Load().End)
}

// startWait returns the longest time for which the request may wait before an attempt.
func (x *exchange) startWait() time.Duration {
	switch {
	case !x.g.Stop.Begun() || x.endsBeforeStop():
		return time.Until(x.deadline)
	case x.headSent:
		return x.g.Stop.left() - minRetryTime
	}
	return x.g.Stop.left() - x.startMargin()
}

// fairTime returns the time that an attempt needs to finish: the time that most of the latest requests of the route took, or
// for lack of these the latency objective.
func (x *exchange) fairTime() time.Duration {
	return max(x.g.runTimes.usual(x.route), minRetryTime)
}

// startMargin returns the time before the end of the stop, which has begun, from which on a request without an answer may not
// start any more. It is also called while the handler goes on.
func (x *exchange) startMargin() time.Duration {
	if x.route.Kind != routetable.KindStream {
		return x.fairTime()
	}
	if longest, ok := x.expectedWithheldTime(); ok {
		return longest
	}
	return max(x.fairTime(), x.g.Stop.left()-x.g.Stop.drainLeft())
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
	cancel := x.g.Stop.beforeEnd(x.startMargin, func() {
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
