package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/adapter/callerclient"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/stream"
)

// request is one request in flight. For a booking, it consists of two HTTP requests.
type request struct {
	*generator
	arrival
	due    time.Time // when it was to be sent
	client *client.Client
}

// perform sends the request, reads its answer and checks it.
func (r *request) perform(ctx context.Context) requestResult {
	switch {
	case r.class == ClassCall:
		return r.call(ctx, r.opt.Operation, nil)
	case r.class == ClassBooking:
		return r.callWithTicket(ctx)
	case r.streamed:
		return r.streamDraft(ctx)
	default:
		return r.draft(ctx)
	}
}

// requestID returns the identifier that a draft sends as the client request id, and a call or booking as its body. A
// correct answer contains it.
func (r *request) requestID() string { return fmt.Sprintf("load-%d-%d", r.opt.Seed, r.number) }

func (r *request) bearer() *string {
	b := "Bearer " + r.key
	return &b
}

func (r *request) deadlineMS() *int {
	if r.opt.Deadline == 0 {
		return nil
	}
	ms := int(r.opt.Deadline.Milliseconds())
	return &ms
}

func (r *request) payload() *api.DraftPayload {
	id := r.requestID()
	return &api.DraftPayload{Authorization: r.bearer(), Model: r.opt.Model, Prompt: r.prompt, MaxTokens: r.tokens,
		DeadlineMs: r.deadlineMS(), ClientRequestID: &id}
}

func (r *request) draft(ctx context.Context) requestResult {
	res, err := r.client.Draft()(ctx, r.payload())
	if err != nil {
		return errorResult(ctx, err)
	}
	d := res.(*api.DraftResult)
	if got := stream.Hash(d.Text); got != d.TextHash {
		return wrongAnswer("text with hash %s, expected %s", got, d.TextHash)
	}
	return r.checkDraft(d.ClientRequestID, d.Outcome, d.Tokens)
}

// checkDraft checks the client request id, outcome and number of tokens of a completed draft.
func (r *request) checkDraft(id *string, out string, tokens int) requestResult {
	switch {
	case id == nil || *id != r.requestID():
		return wrongAnswer("the answer is not marked as that of %s", r.requestID())
	case outcome.Outcome(out) != outcome.Completed:
		return wrongAnswer("outcome %q of a completed draft", out)
	case tokens < 0 || tokens > r.tokens:
		return wrongAnswer("%d tokens, at most %d were asked for", tokens, r.tokens)
	}
	return requestResult{outcome: outcome.Completed}
}

func (r *request) streamDraft(ctx context.Context) requestResult {
	res, err := r.client.DraftStream()(ctx, (*api.DraftStreamPayload)(r.payload()))
	if err != nil {
		return errorResult(ctx, err)
	}
	events := res.(client.DraftStreamClientStream)
	defer events.Close()
	var answer callerclient.AnswerChecker
	var last time.Time // arrival of the last text event; zero before the first
	for {
		e, err := events.Recv(ctx)
		if err != nil || e == nil {
			return errorResult(ctx, err)
		}
		if err := answer.Add(e); err != nil {
			return requestResult{wrong: err}
		}
		switch e.Kind {
		case callerclient.EventText:
			last = r.recordToken(last)
		case callerclient.EventEnd:
			return r.checkDraft(e.ClientRequestID, *e.Outcome, *e.Tokens)
		case callerclient.EventError:
			return refusalResult(*e.Outcome, *e.Reason)
		}
	}
}

// recordToken records the arrival of a text event and returns its time. last is the arrival of the one before.
func (r *request) recordToken(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		r.rec.recordFirstToken(r.class, now.Sub(r.due))
	} else {
		r.rec.recordTokenGap(r.class, now.Sub(last))
	}
	return now
}

// callWithTicket gets a ticket and calls the non-idempotent operation with it.
func (r *request) callWithTicket(ctx context.Context) requestResult {
	res, err := r.client.Ticket()(ctx, &api.TicketPayload{Authorization: r.bearer(), Service: r.opt.Service})
	if err != nil {
		return errorResult(ctx, err)
	}
	return r.call(ctx, r.opt.BookingOperation, &res.(*api.TicketResult).Ticket)
}

func (r *request) call(ctx context.Context, operation string, ticket *string) requestResult {
	key := r.requestID()
	res, err := r.client.Call()(ctx, &api.CallPayload{Authorization: r.bearer(), Service: r.opt.Service,
		Operation: operation, Body: key, Ticket: ticket, DeadlineMs: r.deadlineMS()})
	if err != nil {
		return errorResult(ctx, err)
	}
	c := res.(*api.CallResult)
	if c.Status/100 != 2 { // an error answer of the service need not contain the key
		return requestResult{outcome: outcome.Completed, reason: fmt.Sprintf("status-%d", c.Status)}
	}
	if !containsKey(c.Body, key) {
		return wrongAnswer("the reply %.100q does not name the key %s", c.Body, key)
	}
	return requestResult{outcome: outcome.Completed}
}

// containsKey reports whether the body contains the key, and not just a longer key that begins with it.
func containsKey(body, key string) bool {
	for {
		_, rest, found := strings.Cut(body, key)
		if !found {
			return false
		}
		if rest == "" || rest[0] < '0' || rest[0] > '9' {
			return true
		}
		body = rest
	}
}

// wrongAnswer returns the result of a request with an answer that is wrong in the described way.
func wrongAnswer(format string, args ...any) requestResult {
	return requestResult{wrong: fmt.Errorf(format, args...)}
}

// refusalResult returns the result of a refused request. The answer is wrong if out is not the outcome of a refusal.
func refusalResult(out, reason string) requestResult {
	switch o := outcome.Outcome(out); o {
	case outcome.NotRun, outcome.Unknown:
		return requestResult{outcome: o, reason: reason}
	}
	return wrongAnswer("refused with outcome %q", out)
}

// errorResult returns the result of a request that failed with err: a refusal, a malformed answer, or no answer.
func errorResult(ctx context.Context, err error) requestResult {
	var r *api.Refusal
	switch {
	case errors.As(err, &r):
		return refusalResult(r.Outcome, r.Reason)
	case isMalformed(err):
		return requestResult{wrong: err}
	case ctx.Err() != nil:
		return requestResult{reason: reasonTimeout}
	}
	return requestResult{reason: reasonConnection}
}

// isMalformed reports whether err says that an answer arrived which does not conform to the API or is too large. A
// truncated answer is not malformed: it fails with io.ErrUnexpectedEOF, which tells it from a complete answer.
func isMalformed(err error) bool {
	var large *http.MaxBytesError
	var syntax *json.SyntaxError
	var typ *json.UnmarshalTypeError
	var client *goahttp.ClientError
	if errors.As(err, &client) {
		if client.Name == "validation_error" || client.Name == "invalid_response" {
			return true
		}
		err = client.Err
	}
	return errors.As(err, &large) || errors.As(err, &syntax) || errors.As(err, &typ)
}
