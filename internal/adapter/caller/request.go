package caller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// maxTextBytes bounds a prompt and the body of a call of a plain service. It is checked here because the generated
// validation counts characters instead of bytes.
const maxTextBytes = wire.MaxTextBytes

// draftInput is the type to which the payloads of whole and of streamed drafts are converted.
type draftInput api.DraftPayload

// newRequest authenticates the caller and returns a request with its client account, deadline and configuration
// snapshot. The deadline stays zero if the caller gave none. The ticket is that of a call, or nil.
func (s *Service) newRequest(ctx context.Context, authorization *string, deadlineMS *int, ticket *string) (*entry.Request, error) {
	req := &entry.Request{ID: requestIDFromContext(ctx), Snapshot: s.Config.Current()}
	if req.Snapshot == nil {
		return nil, s.refuseWithOutcome(outcomeWithoutConfig(ticket), req.ID, outcome.NoTarget, "no configuration is in force yet")
	}
	key, ok := strings.CutPrefix(deref(authorization), "Bearer ")
	if !ok {
		return nil, s.refuse(req.ID, outcome.Unauthenticated, "Authorization: holds no bearer key")
	}
	if req.Account = req.Snapshot.AccountByKey(key); req.Account == nil {
		return nil, s.refuse(req.ID, outcome.Unauthenticated, "Authorization: the key belongs to no client account")
	}
	if deadlineMS != nil {
		req.Deadline = s.Clock.Now().Add(time.Duration(*deadlineMS) * time.Millisecond)
	}
	return req, nil
}

// newDraftRequest authenticates and checks a draft. The preset gives the deadline if the caller gave none.
func (s *Service) newDraftRequest(ctx context.Context, p draftInput) (*entry.Request, error) {
	req, err := s.newRequest(ctx, p.Authorization, p.DeadlineMs, nil)
	if err != nil {
		return nil, err
	}
	model := req.Snapshot.Model(p.Model)
	if model == nil {
		return nil, s.refuse(req.ID, outcome.UnknownModel, "model: "+p.Model+" is not configured")
	}
	if a := deref(p.Adapter); a != "" && !slices.Contains(model.Adapters, a) {
		return nil, s.refuse(req.ID, outcome.UnknownModel, "adapter: model "+p.Model+" has no adapter "+a)
	}
	if err := s.checkSize(req.ID, "prompt", p.Prompt); err != nil {
		return nil, err
	}
	if preset := req.Snapshot.Preset(); req.Deadline.IsZero() {
		timeout := preset.DeadlineLong.Duration
		if entry.Tokens(p.Prompt, p.MaxTokens) <= preset.ShortMaxTokens {
			timeout = preset.DeadlineShort.Duration
		}
		req.Deadline = s.Clock.Now().Add(timeout)
	}
	req.Attempt = wire.Attempt{Kind: wire.KindDraft, Account: req.Account.Name, Idempotent: true,
		Model: p.Model, Adapter: deref(p.Adapter), Prompt: p.Prompt, MaxTokens: p.MaxTokens}
	return req, nil
}

// newCallRequest authenticates and checks a call of a plain service, and opens its ticket if it has one. The preset
// gives the deadline if the caller gave none.
func (s *Service) newCallRequest(ctx context.Context, p *api.CallPayload) (*entry.Request, error) {
	req, err := s.newRequest(ctx, p.Authorization, p.DeadlineMs, p.Ticket)
	if err != nil {
		return nil, err
	}
	svc := req.Snapshot.Service(p.Service)
	if svc == nil {
		return nil, s.refuseWithOutcome(outcomeWithoutConfig(p.Ticket), req.ID, outcome.UnknownService, "service: "+p.Service+" is not configured")
	}
	op := svc.Operation(p.Operation)
	if op == nil {
		return nil, s.refuseWithOutcome(outcomeWithoutConfig(p.Ticket), req.ID, outcome.UnknownService, "operation: service "+p.Service+" has no operation "+p.Operation)
	}
	if err := s.checkSize(req.ID, "body", p.Body); err != nil {
		return nil, err
	}
	if req.Deadline.IsZero() {
		req.Deadline = s.Clock.Now().Add(req.Snapshot.Preset().DeadlineCall.Duration)
	}
	req.Attempt = wire.Attempt{Kind: wire.KindCall, Account: req.Account.Name, Idempotent: op.Idempotent,
		Service: p.Service, Operation: p.Operation, Body: p.Body}
	if p.Ticket == nil {
		return req, nil
	}
	if r := s.Entry.OpenTicket(req, *p.Ticket); r != nil {
		s.Entry.Refuse(r)
		return nil, refusalError(r)
	}
	return req, nil
}

func (s *Service) checkSize(id, field, text string) error {
	if len(text) > maxTextBytes {
		return s.refuse(id, outcome.Invalid, fmt.Sprintf("%s: %d bytes, at most %d", field, len(text), maxTextBytes))
	}
	return nil
}

func deref(p *string) string {
	if p == nil {
		return ""
	}
	return *p
}

// outcomeWithoutConfig returns the outcome of a call that is refused because this entry has no configuration, or one
// without the service or operation. With a ticket the outcome is unknown, since an earlier request with the same ticket
// may have run through an entry that had the configuration.
func outcomeWithoutConfig(ticket *string) outcome.Outcome {
	if ticket != nil {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// refuse counts a refusal with the outcome not-run and returns it as an error of the API.
func (s *Service) refuse(id string, reason outcome.Reason, message string) error {
	return s.refuseWithOutcome(outcome.NotRun, id, reason, message)
}

// refuseWithOutcome counts a refusal and returns it as an error of the API.
func (s *Service) refuseWithOutcome(o outcome.Outcome, id string, reason outcome.Reason, message string) error {
	r := &entry.Refusal{Outcome: o, Reason: reason, Message: message, RequestID: id}
	if reason == outcome.NoTarget {
		r.RetryAfter = time.Second
	}
	s.Entry.Refuse(r)
	return refusalError(r)
}
