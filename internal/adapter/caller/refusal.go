package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/outcome"
)

// refusalError turns an *entry.Refusal into the error type of the API. It returns other errors as they are.
func refusalError(err error) error {
	var r *entry.Refusal
	if !errors.As(err, &r) {
		return err
	}
	return &api.Refusal{
		Name: errorName(r), Outcome: string(r.Outcome), Reason: string(r.Reason), Message: r.Message,
		RequestID: r.RequestID, RetryAfterS: retryAfterSeconds(r.RetryAfter),
	}
}

// retryAfterSeconds rounds up to whole seconds, the unit of the Retry-After header. It returns nil if d is not
// positive.
func retryAfterSeconds(d time.Duration) *int {
	if d <= 0 {
		return nil
	}
	s := int((d + time.Second - 1) / time.Second)
	return &s
}

// errorName returns the name of the API error for a refusal. The name determines the HTTP status.
func errorName(r *entry.Refusal) string {
	if r.Outcome == outcome.Unknown {
		return "outcome_unknown"
	}
	switch r.Reason {
	case outcome.Unauthenticated:
		return "unauthenticated"
	case outcome.Invalid, outcome.TicketInvalid, outcome.TicketExpired:
		return "invalid"
	case outcome.UnknownModel, outcome.UnknownService:
		return "not_found"
	case outcome.TicketClosed, outcome.TicketMismatch:
		return "conflict"
	case outcome.AccountLimit:
		return "too_many_requests"
	default:
		return "unavailable"
	}
}

// httpStatuses holds the HTTP status of each API error. It agrees with the goa design of the API.
var httpStatuses = map[string]int{
	"invalid": http.StatusBadRequest, "unauthenticated": http.StatusUnauthorized, "not_found": http.StatusNotFound,
	"conflict": http.StatusConflict, "too_many_requests": http.StatusTooManyRequests,
	"unavailable": http.StatusServiceUnavailable, "outcome_unknown": http.StatusBadGateway,
}

// refusalBody is the response body of a refusal.
type refusalBody struct {
	Name        string `json:"name"`
	Outcome     string `json:"outcome"`
	Reason      string `json:"reason"`
	Message     string `json:"message"`
	RequestID   string `json:"request_id"`
	RetryAfterS *int   `json:"retry_after_s,omitempty"`
}

// StatusCode returns the HTTP status of the refusal.
func (b *refusalBody) StatusCode() int { return httpStatuses[b.Name] }

func newRefusalBody(r *api.Refusal) *refusalBody {
	return &refusalBody{Name: r.Name, Outcome: r.Outcome, Reason: r.Reason, Message: r.Message,
		RequestID: r.RequestID, RetryAfterS: r.RetryAfterS}
}

// formatError is the error formatter of the generated server. The generated code sets the headers of a refusal;
// formatError sets them for errors that the generated decoder and validation return, and counts these as refusals.
func (s *Service) formatError(ctx context.Context, err error) goahttp.Statuser {
	var r *api.Refusal
	if errors.As(err, &r) {
		return newRefusalBody(r)
	}
	refusal := &entry.Refusal{Outcome: outcome.NotRun, Reason: outcome.Invalid, Message: err.Error(), RequestID: requestIDFromContext(ctx)}
	s.Entry.Refuse(refusal)
	_ = errors.As(refusalError(refusal), &r)
	if rep := replyFromContext(ctx); rep != nil {
		setRefusalHeaders(rep.Header(), r)
	}
	return newRefusalBody(r)
}

func setRefusalHeaders(h http.Header, r *api.Refusal) {
	h.Set(headerOutcome, r.Outcome)
	h.Set(headerReason, r.Reason)
	h.Set(headerRequestID, r.RequestID)
	if r.RetryAfterS != nil {
		h.Set("Retry-After", strconv.Itoa(*r.RetryAfterS))
	}
}
