package gateway

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/camphorbank/camphorbank/internal/httpdrain"
)

// unreadBodyTime is the time for which the server reads the rest of a body that is not needed, before it sends the answer or,
// if it is to close the connection, after that. If it closed the connection at once, a caller that still sends could lose the
// answer.
const unreadBodyTime = 500 * time.Millisecond

// refuse answers a request that has not run and will not run. The caller may retry if retryAfter is not 0.
func (x *exchange) refuse(status int, reason Reason, retryAfter time.Duration) {
	if x.r.ContentLength != 0 && !x.bodyRead {
		_ = setBodyDeadline(x.r, time.Now().Add(unreadBodyTime)) // an error means that the connection is closed
	}
	x.record.setOutcome(OutcomeRejected, reason)
	if retryAfter > 0 {
		x.record.setOutcome(OutcomeRefused, reason)
		x.record.RetryAfter = retryAfter
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.writeError(status, reason)
}

// refuseStalled refuses a request that has not been received, as its memory is taken back for another one.
func (x *exchange) refuseStalled() {
	x.memory.Release()
	x.w.Header().Set("Connection", "close") // the rest of the request is not read
	x.refuse(http.StatusServiceUnavailable, ReasonStalled, memoryRetryAfter)
}

// fail answers a request that may have run.
func (x *exchange) fail(reason Reason) {
	x.record.setOutcome(OutcomeFailed, reason)
	status := http.StatusBadGateway
	if reason == ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	x.writeError(status, reason)
}

// writeError writes an answer that comes from the system itself and states the reason.
func (x *exchange) writeError(status int, reason Reason) {
	x.record.Status = status
	x.limitReadyWrites()
	h := x.w.Header()
	x.g.HeaderTranslator.Refuse(h, x.call.ID)
	h.Set("Content-Type", "application/json")
	body := `{"error":"` + string(reason) + `"}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(body)) // the server notices on the connection that a caller has left
}

// abort breaks off an answer that has begun.
func (x *exchange) abort(o Outcome, reason Reason) {
	x.record.setOutcome(o, reason)
	x.breakOff()
}

// breakOff closes the connection of a caller whose answer has begun, so that the answer cannot be mistaken for a complete
// one.
func (x *exchange) breakOff() {
	if !x.r.ProtoAtLeast(1, 1) || x.unsentIsUseless() {
		x.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// unsentIsUseless reports whether the caller needs no more of what was written for it. The buffers of a connection hold
// megabytes; if the connection is only closed, the caller has to read them before it learns that the answer has ended.
func (x *exchange) unsentIsUseless() bool {
	n := len(x.record.Attempts)
	return !time.Now().Before(x.deadline) || n > 0 && x.record.Attempts[n-1].Ending == BrokenEndless
}

// resetCaller resets the caller's connection, which drops the bytes that have not been sent. An answer over HTTP/1.0 has no
// chunks, so that one without a length ends like a complete one if its connection is only closed.
func (x *exchange) resetCaller() {
	rc := http.NewResponseController(x.w)
	_ = rc.SetWriteDeadline(time.Now()) // Hijack flushes, which would wait for a caller that does not read
	c, _, err := rc.Hijack()
	if err != nil {
		return // the connection has failed already
	}
	inner := httpdrain.Inner(c)
	if limited, ok := inner.(*limitedConn); ok {
		inner = limited.Conn
	}
	if t, ok := inner.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
