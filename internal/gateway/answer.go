package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/camphorbank/camphorbank/internal/upstream"
)

// maxBuffered bounds an answer that is read completely before it is passed on. Larger ones are passed on as they come.
const maxBuffered = 256 << 10

// maxDiscarded bounds the body of a refusal that is read so that its connection can be used again.
const maxDiscarded = 4 << 10

// discard reads the rest of an answer that is not passed on.
func (x *exchange) discard(resp *upstream.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscarded))
	resp.Finish(err == nil && n < maxDiscarded)
	return nil
}

// whole passes on an answer that is not a stream of events.
func (x *exchange) whole(resp *upstream.Response, a Answer) (result, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBuffered))
	if err != nil {
		resp.Finish(false)
		if x.ctx.Err() != nil {
			return x.ended(result{}), err
		}
		return resultBroken, err
	}
	if len(body) == maxBuffered {
		return x.copyLarge(resp, body)
	}
	resp.Finish(true)
	if resp.Status >= http.StatusInternalServerError && !x.passOnFailure(resp.Status, a) {
		return resultFailed, nil
	}
	x.head(resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(resp.Status)
	_, _ = x.w.Write(body) // a caller that left is seen by its connection
	x.record.end(OutcomeServed, "")
	r := resultServed
	if resp.Status >= http.StatusInternalServerError {
		r.name, r.health = resultFailed.name, resultFailed.health
	}
	return r, nil
}

// passOnFailure says whether a target's own failure is the caller's answer.
func (x *exchange) passOnFailure(status int, a Answer) bool {
	if status == http.StatusServiceUnavailable && !x.route.Idempotent() || !a.Stamped {
		// The status promises that the request has not run, but the target did not say so.
		return false
	}
	if !x.route.Idempotent() {
		return true
	}
	return x.sends >= x.route.MaxAttempts || time.Until(x.expires) < minRetryTime || !x.g.Retries.Take(x.service)
}

// minRetryTime is the time that must be left for another attempt after a target's failure.
const minRetryTime = 100 * time.Millisecond

// head copies the head of a target's answer.
func (x *exchange) head(resp *upstream.Response) {
	x.g.Dialect.Return(x.w.Header(), resp.Header)
	if _, ok := resp.Header["Content-Type"]; !ok {
		x.w.Header()["Content-Type"] = nil // keeps the library from guessing one
	}
	x.record.Status = resp.Status
	x.record.FirstByte = time.Since(x.record.Started)
	x.begun = true
}

// copyLarge passes on an answer that exceeds the buffer.
func (x *exchange) copyLarge(resp *upstream.Response, start []byte) (result, error) {
	x.head(resp)
	if resp.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	x.w.WriteHeader(resp.Status)
	_, err := x.w.Write(start)
	if err == nil {
		_, err = io.Copy(x.w, resp.Body)
	}
	resp.Finish(err == nil)
	if err != nil {
		r := resultBroken
		if x.r.Context().Err() != nil {
			r = resultLeft
		}
		x.record.end(OutcomeBroken, ReasonUnknown)
		r.final = true
		x.cut = true
		return r, err
	}
	x.record.end(OutcomeServed, "")
	return resultServed, nil
}
