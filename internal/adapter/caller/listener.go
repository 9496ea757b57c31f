package caller

import (
	"context"
	"errors"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/outcome"
)

// streamListener is an entry.Listener that sends a streamed answer to the caller as events.
type streamListener struct {
	ctx      context.Context
	out      api.DraftStreamServerStream
	req      *entry.Request
	clientID *string
	started  bool // an event was sent
	nextSeq  int  // sequence number of the next text event
}

func (l *streamListener) send(e *api.DraftEvent) error {
	l.started = true
	e.RequestID = l.req.ID
	e.ClientRequestID = l.clientID
	if err := l.out.SendWithContext(l.ctx, e); err != nil {
		return err
	}
	// The generated stream does not return write errors of the connection.
	return replyFromContext(l.ctx).earlierWriteError()
}

// Text sends a part of the text.
func (l *streamListener) Text(seq int, text string) error {
	l.nextSeq = seq + 1
	return l.send(&api.DraftEvent{Kind: "text", Seq: seq, Text: &text})
}

// Restart tells the caller to discard the text received so far. It sends nothing if the caller received none.
func (l *streamListener) Restart() error {
	if !l.started {
		return nil
	}
	l.nextSeq = 0
	return l.send(&api.DraftEvent{Kind: "restart"})
}

// sendEnd sends the event that ends a completed answer.
func (l *streamListener) sendEnd(ans *entry.Answer) error {
	completed := string(outcome.Completed)
	replyFromContext(l.ctx).setTrailers(completed, "")
	return l.send(&api.DraftEvent{Kind: "end", Seq: l.nextSeq, Tokens: &ans.Tokens, TextHash: &ans.TextHash, Outcome: &completed})
}

// sendError reports a refusal. Before the first event it returns an error, which becomes a plain HTTP error response;
// later it sends an error event.
func (l *streamListener) sendError(err error) error {
	var r *entry.Refusal
	if !l.started || !errors.As(err, &r) {
		return refusalError(err)
	}
	out, reason := string(r.Outcome), string(r.Reason)
	replyFromContext(l.ctx).setTrailers(out, reason)
	return l.send(&api.DraftEvent{Kind: "error", Seq: l.nextSeq, Outcome: &out, Reason: &reason,
		Message: &r.Message, RetryAfterS: retryAfterSeconds(r.RetryAfter)})
}
