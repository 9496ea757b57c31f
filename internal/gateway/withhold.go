package gateway

import (
	"errors"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// Once a planned stop is drained, nothing shows how long the answer to another request will take, and an answer that has begun
// would be cut off at the end of the stop. Such an answer is withheld until it is complete: its caller gets all of it, or the
// outcome of its request.

// maxWithheldBytes bounds an answer that is withheld and is no stream. A stream may have maxBufferedBytes.
const maxWithheldBytes = 8 << 20

// errNotWithheld is the error of an answer for which there is no memory while it is withheld.
var errNotWithheld = errors.New("answer is too long to be withheld until it is complete")

// expectedWithheldTime returns the time for which the stream of the request is withheld at most, if it is like the latest ones.
// ok is false if it cannot be withheld: its caller waits for the first event meanwhile, and has to send the request elsewhere if
// the stream is not complete in time. So it must be allowed to run twice, and the latest ones like it must have been short.
func (x *exchange) expectedWithheldTime() (_ time.Duration, ok bool) {
	longest, ok := x.g.runTimes.longestLate(x.route)
	return max(longest, minRetryTime), ok && x.route.Idempotent() && longest <= x.maxWithheldTime()
}

// maxWithheldTime returns the longest time for which a stream is withheld. A caller that is refused instead waits for as long until
// the first event of another process may come.
func (x *exchange) maxWithheldTime() time.Duration { return unsentRetryAfter + x.route.Objective }

// beginSend reports whether the request may be sent now, and decides whether its answer is withheld.
func (x *exchange) beginSend() bool {
	if !x.mayStart() {
		return false
	}
	x.endSend()
	stop := x.g.Stop
	x.withheld = stop.Begun() && stop.drainLeft() <= 0 && !x.headSent && !x.endsBeforeStop()
	if x.withheld && x.route.Kind == routetable.KindStream {
		x.withholdTimer = time.AfterFunc(time.Until(x.runStarted.Add(x.maxWithheldTime())), x.endForStop)
	}
	return true
}

// endSend ends the limit that beginSend has set to an answer that is withheld.
func (x *exchange) endSend() {
	if x.withholdTimer != nil {
		x.withholdTimer.Stop()
	}
}

// endForStop ends the request because of the planned stop of the process.
func (x *exchange) endForStop() { x.cancel(errStopping) }

// giveUpWithheld returns the result of an answer that cannot be withheld. Its request has run, and ends.
func (x *exchange) giveUpWithheld() (result, error) {
	x.endForStop()
	return x.brokenResult(BrokenStop), errNotWithheld
}

// withhold keeps a block of the stream back, and reports whether there is memory for it.
func (s *targetStream) withhold(raw []byte) bool {
	return len(s.ready)+len(raw) <= maxBufferedBytes && s.x.memory.Grow(int64(len(raw)))
}
