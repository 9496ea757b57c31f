package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// refuse answers a request that has not run and will not run.
func (x *exchange) refuse(status int, reason Reason, retryAfter time.Duration) {
	x.record.end(OutcomeRejected, reason)
	if retryAfter > 0 {
		x.record.end(OutcomeRefused, reason)
		x.record.RetryAfter = retryAfter
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	x.own(status, reason)
}

// fail answers a request that may have run.
func (x *exchange) fail(reason Reason) {
	x.record.end(OutcomeFailed, reason)
	status := http.StatusBadGateway
	if reason == ReasonTimeout {
		status = http.StatusGatewayTimeout
	}
	x.own(status, reason)
}

// own writes an answer of the system itself.
func (x *exchange) own(status int, reason Reason) {
	x.record.Status = status
	h := x.w.Header()
	x.g.Dialect.Refuse(h, x.call.ID)
	h.Set("Content-Type", "application/json")
	body := `{"error":"` + string(reason) + `"}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	_, _ = x.w.Write([]byte(body)) // a caller that left is seen by its connection
}

// abort ends an answer that has begun so that it cannot be taken for a whole one.
func (x *exchange) abort(o Outcome, reason Reason) {
	x.record.end(o, reason)
	panic(http.ErrAbortHandler)
}
