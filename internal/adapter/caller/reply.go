package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/entry"
)

// Headers of every reply. A streamed reply carries the outcome and the reason as trailers.
const (
	headerOutcome   = "Camphorbank-Outcome"
	headerReason    = "Camphorbank-Reason"
	headerRequestID = "Camphorbank-Request-Id"
)

// defaultWriteTimeout bounds each write, so that a caller that stops reading does not block the request for ever.
const defaultWriteTimeout = 10 * time.Second

// replyKey is the context key of the *reply of a request.
type replyKey struct{}

// reply is the response writer of one request. It sets a deadline for each write and keeps the error of a failed write.
type reply struct {
	http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration // limit for each write
	id           string        // request id

	mu       sync.Mutex
	writeErr error
}

// withReply wraps a handler: it gives each request an id and puts a reply into the context of the request.
func withReply(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rep := &reply{ResponseWriter: w, controller: http.NewResponseController(w), writeTimeout: timeout, id: entry.NewRequestID()}
		w.Header().Set(headerRequestID, rep.id)
		rep.extendWriteDeadline() // the deadline of an earlier request on the connection may have passed
		next.ServeHTTP(rep, r.WithContext(context.WithValue(r.Context(), replyKey{}, rep)))
		rep.extendWriteDeadline() // for the end of the response, which net/http writes after the handler returns
	})
}

// replyFromContext returns the reply that withReply created, or nil if there is none.
func replyFromContext(ctx context.Context) *reply {
	rep, _ := ctx.Value(replyKey{}).(*reply)
	return rep
}

// requestIDFromContext returns the id of the request, or a new id if the context has no reply.
func requestIDFromContext(ctx context.Context) string {
	if rep := replyFromContext(ctx); rep != nil {
		return rep.id
	}
	return entry.NewRequestID()
}

// extendWriteDeadline allows the next write its full time.
func (r *reply) extendWriteDeadline() {
	_ = r.controller.SetWriteDeadline(time.Now().Add(r.writeTimeout))
}

// Write writes a part of the body within the write timeout.
func (r *reply) Write(p []byte) (int, error) {
	r.extendWriteDeadline()
	n, err := r.ResponseWriter.Write(p)
	r.recordWriteError(err)
	return n, err
}

// FlushError sends the buffered data within the write timeout.
func (r *reply) FlushError() error {
	r.extendWriteDeadline()
	err := r.controller.Flush()
	r.recordWriteError(err)
	return err
}

// Unwrap returns the underlying response writer, for http.ResponseController.
func (r *reply) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *reply) recordWriteError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeErr = err
}

// earlierWriteError returns the error of an earlier write, or nil. A nil reply has none.
func (r *reply) earlierWriteError() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeErr
}

// setTrailers sets the trailers that state the outcome after a streamed body.
func (r *reply) setTrailers(outcome, reason string) {
	if r == nil {
		return
	}
	r.Header().Set(http.TrailerPrefix+headerOutcome, outcome)
	if reason != "" {
		r.Header().Set(http.TrailerPrefix+headerReason, reason)
	}
}
