package entry

import (
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/ticket"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Refusal is the error for a request that was not completed.
type Refusal struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Message    string
	RequestID  string
	RetryAfter time.Duration // 0 if the caller should not retry
}

// Error returns the outcome, reason and message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Message)
}

// Request is a caller's request after authentication and checks.
type Request struct {
	ID       string
	Snapshot *config.Snapshot
	Account  *config.ClientAccount
	Deadline time.Time
	Attempt  wire.Attempt   // complete except for the id, incarnation, remaining time and revision
	Ticket   *ticket.Ticket // nil unless the request is a booking with a ticket
}

// Answer is the complete answer to a request.
type Answer struct {
	RequestID string
	Text      string
	Tokens    int
	TextHash  string
	Status    int
	Repeated  bool // the answer is the stored one of an earlier attempt with the same ticket
	Target    string

	RetryAfter time.Duration // stated by a plain service, 0 if it stated none
}

// Listener receives the text of an answer while it is streamed. If a method returns an error, the caller has left.
type Listener interface {
	Text(seq int, text string) error
	Restart() error // tells the caller to discard the text received so far
}

// promptBytesPerToken has the same value as in package admission.
const promptBytesPerToken = 4

// Tokens estimates the largest number of tokens of a draft: those of its prompt and maxTokens generated ones.
func Tokens(prompt string, maxTokens int) int { return len(prompt)/promptBytesPerToken + maxTokens }

// serves returns the name of the model or plain service that must serve the request.
func (r *Request) serves() string {
	if r.Attempt.Kind == wire.KindDraft {
		return r.Attempt.Model
	}
	return r.Attempt.Service
}

// budgetKey returns the key of the request's retry budget. It differs for a model and a plain service of the same name.
func (r *Request) budgetKey() string { return string(r.Attempt.Kind) + " " + r.serves() }

func (r *Request) isDraft() bool { return r.Attempt.Kind == wire.KindDraft }

// isShort reports whether the request is a call, or a draft of at most the preset's ShortMaxTokens.
func (r *Request) isShort() bool {
	return !r.isDraft() || Tokens(r.Attempt.Prompt, r.Attempt.MaxTokens) <= r.Snapshot.Preset().ShortMaxTokens
}

// workTokens returns the expected work as a number of generated tokens. An engine processes about
// placement.PromptTokensPerGenerated tokens of a prompt in the time in which it generates one token.
func (r *Request) workTokens() int64 {
	return int64(len(r.Attempt.Prompt)/promptBytesPerToken/placement.PromptTokensPerGenerated + r.Attempt.MaxTokens)
}

// query returns the routing query for the request.
func (r *Request) query(e *Entry) *routing.Query {
	q := &routing.Query{
		Kind: r.Attempt.Kind, Serves: r.serves(), Targets: e.opt.Fleet.Targets(r.Attempt.Kind, r.serves()),
		Short: r.isShort(), Tokens: r.workTokens(),
	}
	if r.isDraft() {
		q.Prompt = promptcache.OfText(r.Attempt.Model, r.Attempt.Adapter, r.Attempt.Prompt)
	}
	return q
}
