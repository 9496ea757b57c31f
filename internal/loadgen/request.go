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

// request is one request in flight.
type request struct {
	*generator
	arrival
	due    time.Time
	client *client.Client
}

func (r *request) perform(ctx context.Context) ending {
	switch {
	case r.class == ClassCall:
		return r.call(ctx, r.opt.Operation, nil)
	case r.class == ClassBooking:
		return r.book(ctx)
	case r.streamed:
		return r.streamDraft(ctx)
	default:
		return r.draft(ctx)
	}
}

// id names the request. Callers' request ids and booking keys have to come back in the answers.
func (r *request) id() string { return fmt.Sprintf("load-%d-%d", r.opt.Seed, r.number) }

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
	id := r.id()
	return &api.DraftPayload{Authorization: r.bearer(), Model: r.opt.Model, Prompt: r.prompt, MaxTokens: r.tokens,
		DeadlineMs: r.deadlineMS(), ClientRequestID: &id}
}

func (r *request) draft(ctx context.Context) ending {
	res, err := r.client.Draft()(ctx, r.payload())
	if err != nil {
		return failed(ctx, err)
	}
	d := res.(*api.DraftResult)
	if got := stream.Hash(d.Text); got != d.TextHash {
		return wrong("text with hash %s, expected %s", got, d.TextHash)
	}
	return r.whole(d.ClientRequestID, d.Outcome, d.Tokens)
}

// whole checks what a completed draft states beside its text.
func (r *request) whole(id *string, out string, tokens int) ending {
	switch {
	case id == nil || *id != r.id():
		return wrong("the answer is not marked as that of %s", r.id())
	case outcome.Outcome(out) != outcome.Completed:
		return wrong("outcome %q of a completed draft", out)
	case tokens < 0 || tokens > r.tokens:
		return wrong("%d tokens, at most %d were asked for", tokens, r.tokens)
	}
	return ending{outcome: outcome.Completed}
}

func (r *request) streamDraft(ctx context.Context) ending {
	res, err := r.client.DraftStream()(ctx, (*api.DraftStreamPayload)(r.payload()))
	if err != nil {
		return failed(ctx, err)
	}
	events := res.(client.DraftStreamClientStream)
	defer events.Close()
	var answer callerclient.AnswerChecker
	var last time.Time // of the last text
	for {
		e, err := events.Recv(ctx)
		if err != nil || e == nil {
			return failed(ctx, err)
		}
		if err := answer.Add(e); err != nil {
			return ending{wrong: err}
		}
		switch e.Kind {
		case callerclient.EventText:
			last = r.token(last)
		case callerclient.EventEnd:
			return r.whole(e.ClientRequestID, *e.Outcome, *e.Tokens)
		case callerclient.EventError:
			return refused(*e.Outcome, *e.Reason)
		}
	}
}

// token records the arrival of a text and returns its time.
func (r *request) token(last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		r.rec.firstToken(r.class, now.Sub(r.due))
	} else {
		r.rec.gap(r.class, now.Sub(last))
	}
	return now
}

func (r *request) book(ctx context.Context) ending {
	res, err := r.client.Ticket()(ctx, &api.TicketPayload{Authorization: r.bearer(), Service: r.opt.Service})
	if err != nil {
		return failed(ctx, err)
	}
	return r.call(ctx, r.opt.BookingOperation, &res.(*api.TicketResult).Ticket)
}

func (r *request) call(ctx context.Context, operation string, ticket *string) ending {
	key := r.id()
	res, err := r.client.Call()(ctx, &api.CallPayload{Authorization: r.bearer(), Service: r.opt.Service,
		Operation: operation, Body: key, Ticket: ticket, DeadlineMs: r.deadlineMS()})
	if err != nil {
		return failed(ctx, err)
	}
	c := res.(*api.CallResult)
	if c.Status/100 != 2 { // an error of the service need not name the booking
		return ending{outcome: outcome.Completed, reason: fmt.Sprintf("status-%d", c.Status)}
	}
	if !hasKey(c.Body, key) {
		return wrong("the reply %.100q does not name the key %s", c.Body, key)
	}
	return ending{outcome: outcome.Completed}
}

// hasKey says whether the body has the key, and not only a longer one that begins with it.
func hasKey(body, key string) bool {
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

func wrong(format string, args ...any) ending { return ending{wrong: fmt.Errorf(format, args...)} }

func refused(out, reason string) ending {
	switch o := outcome.Outcome(out); o {
	case outcome.NotRun, outcome.Unknown:
		return ending{outcome: o, reason: reason}
	}
	return wrong("refused with outcome %q", out)
}

// failed tells a refusal and a malformed answer from one that did not come.
func failed(ctx context.Context, err error) ending {
	var r *api.Refusal
	switch {
	case errors.As(err, &r):
		return refused(r.Outcome, r.Reason)
	case malformed(err):
		return ending{wrong: err}
	case ctx.Err() != nil:
		return ending{reason: reasonTimeout}
	}
	return ending{reason: reasonConnection}
}

// malformed says whether an answer came that the API does not have. An answer that was cut off gives
// io.ErrUnexpectedEOF instead, which its caller can tell from a whole one.
func malformed(err error) bool {
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
