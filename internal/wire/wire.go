// Package wire defines the messages that camphorbank processes exchange: the attempts and frames of the data path, the
// control protocol, and the platform's VM list. It only defines data and helpers to read it.
package wire

import (
	"encoding/json"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
)

// Paths of the data path, and the content type of a stream of frames.
const (
	AttemptPath      = "/attempt"
	ResumePath       = "/resume"
	FrameContentType = "application/x-ndjson"
)

// MaxTextBytes bounds the prompt of a draft and the body of a call of a plain service, as callers may send them.
const MaxTextBytes = 256 << 10

// Methods of the control protocol, which is JSON-RPC 2.0.
const (
	MethodRevoke       = "attempt.revoke"
	MethodHello        = "peer.hello"
	MethodStatus       = "peer.status"
	MethodConfigHead   = "config.head"
	MethodConfigFetch  = "config.fetch"
	MethodExplain      = "decision.explain"
	MethodReport       = "service.report"
	MethodModelVersion = "model.version"
	MethodGroupPlan    = "group.plan"
	MethodGroupState   = "group.state"
	MethodGroupJoin    = "group.join"
	MethodGroupStage   = "group.stage"
	MethodGroupPrepare = "group.prepare"
	MethodGroupDecide  = "group.decide"
)

// AttemptID identifies one attempt of one request.
type AttemptID struct {
	Request string `json:"request"` // request id made by the entry, 128 random bits in hexadecimal
	Number  int    `json:"number"`  // attempt number, from 1
}

// Kind distinguishes drafts of a model from calls of a plain service.
type Kind string

// Kinds of requests.
const (
	KindDraft Kind = "draft"
	KindCall  Kind = "call"
)

// Attempt is the message by which an entry tells a local process to run a request.
type Attempt struct {
	ID          AttemptID `json:"id"`
	Incarnation string    `json:"incarnation"` // local process that the attempt is meant for; empty if not known yet
	Kind        Kind      `json:"kind"`
	Account     string    `json:"account"` // client account
	Idempotent  bool      `json:"idempotent"`
	RemainingMS int64     `json:"remaining_ms"` // milliseconds from the sending of the attempt until the deadline
	Revision    int64     `json:"revision"`     // configuration revision that the entry used

	Model     string `json:"model,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"max_tokens,omitempty"`

	Service   string `json:"service,omitempty"`
	Operation string `json:"operation,omitempty"`
	Body      string `json:"body,omitempty"`
	Ticket    string `json:"ticket,omitempty"` // random part of the ticket, checked by the entry

	// TicketExpires is the stated expiry of the ticket. The local process stores the response until then,
	// for at most 10 minutes.
	TicketExpires time.Time `json:"ticket_expires,omitzero"`
}

// Resume asks for the frames of an attempt from the frame FromSeq on.
type Resume struct {
	ID          AttemptID `json:"id"`
	Incarnation string    `json:"incarnation"`
	FromSeq     int       `json:"from_seq"`
}

// FrameKind is the kind of a frame.
type FrameKind string

// Kinds of frames. A stream is either one refused frame, or any number of text frames followed by an end or failed
// frame.
const (
	FrameText    FrameKind = "text"
	FrameEnd     FrameKind = "end"     // the answer is complete
	FrameRefused FrameKind = "refused" // the attempt did not run and will not run
	FrameFailed  FrameKind = "failed"  // the attempt may have run
)

// MaxAnswerBytes bounds the text of all frames of an answer. It is 80 bytes for each token of the largest request.
const MaxAnswerBytes = 8 << 20

// Frame is one message of an attempt's answer.
type Frame struct {
	ID   AttemptID `json:"id"`
	Seq  int       `json:"seq"` // from 0, counting every frame of the attempt
	Kind FrameKind `json:"kind"`
	Text string    `json:"text,omitempty"`

	// Set in an end frame.
	Frames   int    `json:"frames,omitempty"`    // number of text frames
	Tokens   int    `json:"tokens,omitempty"`    // number of generated tokens
	TextHash string `json:"text_hash,omitempty"` // xxhash64 of the whole text in hexadecimal
	Status   int    `json:"status,omitempty"`    // HTTP status of a plain service
	Repeated bool   `json:"repeated,omitempty"`  // the answer is the stored one of an earlier attempt with the same ticket

	// Set in a refused or failed frame. RetryAfterMS is also set in an end frame if a plain service states it.
	Reason       outcome.Reason `json:"reason,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Incarnation  string         `json:"incarnation,omitempty"` // incarnation of the local process that sends the frame

	Load *Load `json:"load,omitempty"` // in the first and the last frame
}

// Load is the load of a target as its local process reports it.
type Load struct {
	Incarnation   string        `json:"incarnation"`
	Draining      bool          `json:"draining"`
	Updating      bool          `json:"updating,omitempty"` // draining only for a short change of the model version
	Slots         int           `json:"slots"`              // requests that the target runs at once
	Running       int           `json:"running"`            // requests sent to the target
	Queued        int           `json:"queued"`             // requests queued
	RunningTokens int64         `json:"running_tokens"`
	QueuedTokens  int64         `json:"queued_tokens"`
	WaitShort     time.Duration `json:"wait_short"` // predicted wait of a short request
	WaitLong      time.Duration `json:"wait_long"`  // predicted wait of a long request
	TokensPerS    float64       `json:"tokens_per_s"`
	CacheTokens   int           `json:"cache_tokens,omitempty"` // prompt tokens that the target can keep for later requests, 0 if unknown
	Revision      int64         `json:"revision"`
}

// Revoke asks a local process never to run an attempt. With a ticket it also closes the ticket, and RevokeReply.NotRun
// is then true only if no attempt with the ticket has run.
type Revoke struct {
	ID          AttemptID `json:"id"`
	Incarnation string    `json:"incarnation"`
	Ticket      string    `json:"ticket,omitempty"` // random part of the ticket
	Cancel      bool      `json:"cancel,omitempty"` // also stop a running draft whose response is no longer needed
}

// RevokeReply answers Revoke.
type RevokeReply struct {
	NotRun      bool   `json:"not_run"` // false if the attempt may have run
	Incarnation string `json:"incarnation"`
}

// Report asks an entry for a report.Report on the service that its callers got.
type Report struct {
	Window time.Duration `json:"window"`
}

// GroupPlan asks the local process of rank 0 of a group, its coordinator, for the change of the expert map that it
// would make now.
type GroupPlan struct {
	Group string `json:"group"`
}

// ModelVersion describes what the engine of a local process has loaded.
type ModelVersion struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Updating bool     `json:"updating"` // out of service for a change of the version
	Adapters []string `json:"adapters"`
	Problem  string   `json:"problem,omitempty"` // why the last read of the engine or command to it failed
}

// InServiceWith reports whether the target is in service with the version.
func (v ModelVersion) InServiceWith(version string) bool { return v.Version == version && !v.Updating }

// Explain asks a process for its decision record of a request.
type Explain struct {
	RequestID string `json:"request_id"`
}

// ExplainReply answers Explain.
type ExplainReply struct {
	Found  bool            `json:"found"`
	Record json.RawMessage `json:"record,omitempty"` // a decision.Record
}

// Hello identifies a process to the other end of a control connection. Each end sends one.
type Hello struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Role        string `json:"role"`
	Control     string `json:"control"` // address of the control listener
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
	Draining    bool   `json:"draining"`
}

// VM describes one VM in the platform's VM list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`             // RoleEntry or RoleTarget
	State      string `json:"state"`            // StateLive or StateLeaving
	Serves     string `json:"serves,omitempty"` // model or plain service of a target
	Kind       Kind   `json:"kind,omitempty"`   // draft for a model, call for a plain service
	Group      string `json:"group,omitempty"`  // rank group that the target belongs to; empty if none
	Rank       int    `json:"rank,omitempty"`
	Data       string `json:"data,omitempty"` // address of the local process's data listener
	Control    string `json:"control"`        // address of the control listener
}

// Roles and states of VMs.
const (
	RoleEntry    = "entry"
	RoleTarget   = "target"
	StateLive    = "live"
	StateLeaving = "leaving"
)
