package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/camphorbank/camphorbank/internal/upstream"
)

// maxBufferedBytes bounds an answer that is read completely before it is passed on. Larger ones are passed on as they
// arrive.
const maxBufferedBytes = 256 << 10

// maxUnframedBytes bounds an answer whose length the target does not state. Without a bound, a target that sends bytes
// without end would keep its connection and the caller's busy until the deadline.
const maxUnframedBytes = 32 << 20

var errEndless = errors.New("answer without a stated length is too long")

// passOnWhole passes on an answer that is not an event stream. It buffers the answer if it is small enough, so that
// another attempt is possible if it is incomplete.
func (x *exchange) passOnWhole(resp *upstream.Response, a Answer) (result, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		resp.Finish(false)
		if x.ctx.Err() != nil {
			return x.contextResult(result{}), err
		}
		return resultBroken, err
	}
	if len(body) == maxBufferedBytes {
		return x.passOnLarge(resp, body)
	}
	resp.Finish(true)
	if resp.Status >= http.StatusInternalServerError && !x.passOnFailure(resp.Status, a) {
		return resultFailed, nil
	}
	x.copyHead(resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(body) // the server notices on the connection that a caller has left
	x.record.setOutcome(OutcomeServed, "")
	r := resultServed
	if resp.Status >= http.StatusInternalServerError {
		r.name, r.leaseResult = resultFailed.name, resultFailed.leaseResult
	}
	return r, nil
}

// passOnFailure reports whether a target's answer with a 5xx status is passed on to the caller as it is.
func (x *exchange) passOnFailure(status int, a Answer) bool {
	if status == http.StatusServiceUnavailable && !x.route.Idempotent() || !a.Stamped {
		// The caller reads status 503 as a promise that the request has not run, but the target has not promised it.
		return false
	}
	if !x.route.Idempotent() {
		return true
	}
	return x.sends >= x.route.MaxAttempts || time.Until(x.deadline) < minRetryTime || !x.g.Retries.Take(x.service)
}

// minRetryTime is the remaining time that another attempt needs after a target's failure.
const minRetryTime = 100 * time.Millisecond

// copyHead copies the head of a target's answer to the caller's response, and records its status and time.
func (x *exchange) copyHead(resp *upstream.Response) {
	x.g.HeaderTranslator.CopyAnswerHeaders(x.w.Header(), resp.Header)
	if _, ok := resp.Header["Content-Type"]; !ok {
		x.w.Header()["Content-Type"] = nil // prevents net/http from guessing one
	}
	x.record.Status = resp.Status
	x.record.FirstByte = time.Since(x.record.Started)
	x.headSent = true
}

// copyRest passes on the rest of an answer that exceeds the buffer.
func (x *exchange) copyRest(resp *upstream.Response) error {
	if resp.Length >= 0 {
		_, err := io.Copy(x.w, resp.Body)
		return err
	}
	n, err := io.Copy(x.w, io.LimitReader(resp.Body, maxUnframedBytes))
	if err == nil && n == maxUnframedBytes {
		return errEndless
	}
	return err
}

// passOnLarge passes on an answer that exceeds the buffer. start is the part that has been read.
func (x *exchange) passOnLarge(resp *upstream.Response, start []byte) (result, error) {
	x.copyHead(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	_, err := x.w.Write(start)
	if err == nil {
		err = x.copyRest(resp)
	}
	resp.Finish(err == nil)
	if err != nil {
		r := resultBroken
		if x.r.Context().Err() != nil {
			r = resultCallerLeft
		}
		x.record.setOutcome(OutcomeBroken, ReasonUnknown)
		r.final = true
		x.truncated = true
		return r, err
	}
	x.record.setOutcome(OutcomeServed, "")
	return resultServed, nil
}
