package gateway

import (
	"net"
	"net/http"
	"strconv"
	"time"
)

// refuse answers a request that has not run and will not run. The caller may retry if retryAfter is not 0.
func (x *exchange) refuse(status int, reason Reason, retryAfter time.Duration) {
	x.record.setOutcome(OutcomeRejected, reason)
	if retryAfter > 0 {
		x.record.setOutcome(OutcomeRefused, reason)
		x.record.RetryAfter = retryAfter
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.writeError(status, reason)
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
	x.limitWrites()
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
	if !x.r.ProtoAtLeast(1, 1) {
		x.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the caller's connection. An answer over HTTP/1.0 has no chunks, so that one without a length ends
// like a complete one if its connection is only closed.
func (x *exchange) resetCaller() {
	c, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return // the connection has failed already
	}
	if limited, ok := c.(*limitedConn); ok {
		c = limited.Conn
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
