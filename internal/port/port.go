// Package port defines the interfaces through which a process uses what is outside of it: the clock, model engines,
// plain services, the configuration service and the VM list. The packages in internal/adapter implement them, except
// for the clock. Tests use fakes.
package port

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// Clock returns the time. Tests use a fake.
type Clock interface {
	Now() time.Time
}

// SystemClock is the system clock.
type SystemClock struct{}

// Now returns the present time.
func (SystemClock) Now() time.Time { return time.Now() }

// Chunk is one part of the text that an engine streams.
type Chunk struct {
	Text   string
	Tokens int // tokens in Text
}

// EngineRequest is a request to a model engine to generate text.
type EngineRequest struct {
	ID        string // unique for each attempt; identifies the stream for cancelling and resuming
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Priority  int // higher runs first
}

// EngineLoad is the load that an engine reports. The report may be out of date.
type EngineLoad struct {
	Slots      int     `json:"slots"` // requests that run at once
	Running    int     `json:"running"`
	Waiting    int     `json:"waiting"`
	TokensPerS float64 `json:"tokens_per_s"` // total of all slots
	// CacheTokens is the number of prompt tokens that the engine can keep for later requests, 0 if unknown.
	CacheTokens int `json:"cache_tokens"`
}

// Engine is the interface to the model engine of a local process.
type Engine interface {
	// Generate passes the chunks of the answer to emit, and resumes a broken stream if the engine supports it.
	// The returned error is a *NotSentError if no byte of the request left the process.
	// When ctx ends, the stream is cancelled at the engine.
	Generate(ctx context.Context, r EngineRequest, emit func(Chunk) error) error
	Load(ctx context.Context) (EngineLoad, error)
}

// EngineModel describes the model version and the adapters that an engine has loaded.
type EngineModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Loading  bool     `json:"loading"` // a version is being loaded; the engine serves nothing meanwhile
	Fence    int64    `json:"fence"`   // highest fencing number seen; 0 if the engine ignores them
}

// ModelEngine is the control interface of a model engine for versions and adapters. If the engine checks fencing
// numbers, a command fails when its number is below one that the engine has seen. Sending a command again is harmless.
type ModelEngine interface {
	Loaded(ctx context.Context) (EngineModel, error)
	// LoadVersion replaces the model's weights and returns when the version is loaded. The engine must be idle.
	LoadVersion(ctx context.Context, fence int64, version string) error
	LoadAdapter(ctx context.Context, fence int64, adapter string) error
	UnloadAdapter(ctx context.Context, fence int64, adapter string) error
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status     int
	Body       string
	RetryAfter time.Duration
}

// PlainService is the interface to the plain service of a local process. A plain service is a target that is not a
// model engine.
type PlainService interface {
	// Call runs the operation once. The returned error is a *NotSentError if no byte of the request left the process.
	Call(ctx context.Context, operation, body string) (ServiceResponse, error)
}

// NotSentError means that no byte of a request left the process, so that the request cannot have run.
type NotSentError struct{ Err error }

// Error describes the failure.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// MarkNotSent wraps an error of dialling in a *NotSentError, because then no byte of a request can have left the
// process. It returns other errors unchanged.
func MarkNotSent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotSentError{Err: err}
	}
	return err
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// ErrUnknownAttempt means that a local process does not know the attempt whose frames were requested.
var ErrUnknownAttempt = errors.New("attempt is not known to the local process")

// Document is a published configuration as read from the configuration service.
type Document struct {
	Revision int64
	Body     []byte // TOML
}

// ConfigSource reads the platform's configuration service.
type ConfigSource interface {
	Read(ctx context.Context) (Document, error)
	// Watch waits a limited time until the service's revision differs from after. If it does not, the returned document
	// has the revision after and no body. Watch fails when ctx ends.
	Watch(ctx context.Context, after int64) (Document, error)
}

// VMList reads the platform's list of VMs, which may be out of date.
type VMList interface {
	List(ctx context.Context) ([]wire.VM, error)
}

// RankHold, RankState and ExpertMap are also parts of the messages between local processes.
type (
	RankHold  = wire.RankHold
	RankState = wire.RankState
	ExpertMap = wire.ExpertMap
)

// Popularity counts the tokens routed to each expert of each layer since the last report of an engine.
type Popularity struct {
	Seq    int64       `json:"seq"` // increases by one with each report; a gap means that reports were lost
	Tokens [][]float64 `json:"tokens"`
}

// RankEngine is the control interface of a model engine that is one rank of a group. A command that the engine refuses
// returns a *RankRefusedError; after any other error the engine may still have executed the command.
type RankEngine interface {
	State(ctx context.Context) (RankState, error)
	Map(ctx context.Context) (ExpertMap, error)
	Popularity(ctx context.Context) (Popularity, error)
	// Fence raises the engine's fencing number, so that it refuses commands with lower numbers.
	Fence(ctx context.Context, fence int64) error
	// Stage starts to load a map while another map is in use. Staging the same epoch again is harmless.
	Stage(ctx context.Context, fence int64, m ExpertMap) error
	// Hold prevents the rank from beginning the step before it knows the decision on the epoch. It fails if the rank
	// has reached the step.
	Hold(ctx context.Context, fence, epoch, step int64) error
	Commit(ctx context.Context, fence, epoch int64) error
	Abort(ctx context.Context, fence, epoch int64) error
}

// RankRefusedError means that an engine refused a command and will not execute it.
type RankRefusedError struct{ Reason string }

// Error describes the refusal.
func (e *RankRefusedError) Error() string { return "engine refused: " + e.Reason }
