// Package entry implements the entry role of the process. An entry takes callers' requests after authentication and
// checks, sends each one as an attempt to the local process of a chosen target, retries at other targets within the
// limits of the preset and the retry budget, and reports the answer or a Refusal. A refusal has the outcome not-run
// only if it is certain that no attempt ran or will run. A request is either a draft, which a model generates, or a
// call of an operation of a plain service.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/ticket"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Fleet lists the targets for a model or plain service. The list is shared and must not be changed. It is the same
// slice until the fleet changes.
type Fleet interface {
	Targets(kind wire.Kind, serves string) []wire.VM
}

// Sender sends attempts to local processes. Both methods call onFrame with every frame of the answer, until the last
// one.
type Sender interface {
	// Send returns a *port.NotSentError if no byte of the attempt left the process.
	Send(ctx context.Context, addr string, a wire.Attempt, onFrame func(wire.Frame) error) error
	// Resume returns port.ErrUnknownAttempt if the local process does not know the attempt.
	Resume(ctx context.Context, addr string, q wire.Resume, onFrame func(wire.Frame) error) error
}

// Control sends requests of the control protocol to local processes.
type Control interface {
	Revoke(ctx context.Context, addr string, r wire.Revoke) (wire.RevokeReply, error)
	// Incarnation returns the current incarnation of a live process.
	Incarnation(ctx context.Context, addr string) (string, error)
}

// Options are the dependencies and settings of an entry. Refusals, Retries and Decisions may be nil.
type Options struct {
	DataCentre string
	Seed       uint64 // for the random choice between targets
	Fleet      Fleet
	Sender     Sender
	Control    Control
	Tickets    *ticket.Sealer
	Clock      port.Clock
	Bounds     Bounds // DefaultBounds() if zero
	Refusals   *outcome.Counters
	Retries    *outcome.Counters
	Decisions  *decision.Ring
	Service    *report.Recorder    // records the service that callers get; may be nil
	Responded  func(target string) // receives the name of a target whose local process has sent a frame; may be nil
}

// Bounds limits the times for which an entry waits for a local process.
type Bounds struct {
	FirstFrame  time.Duration // for the first frame, in addition to the predicted queue wait
	NextFrame   time.Duration // between two frames
	Control     time.Duration // for an answer over the control protocol
	ResumePause time.Duration // before a resume that follows one without a new frame
}

// DefaultBounds returns the bounds for production. At the 95th percentile, the first token takes 0.31 s and each
// further token 57 ms.
func DefaultBounds() Bounds {
	return Bounds{
		FirstFrame: time.Second, NextFrame: 2 * time.Second,
		Control: 250 * time.Millisecond, ResumePause: 50 * time.Millisecond,
	}
}

// Entry serves callers' requests.
type Entry struct {
	opt      Options
	router   *routing.Router
	budgets  *retry.Budgets
	limits   *accountLimits
	stopping atomic.Bool

	mu           sync.Mutex
	incarnations map[string]string // by target name, as stated in the frames of local processes
}

// New returns an entry with the options.
func New(opt Options) *Entry {
	if opt.Bounds == (Bounds{}) {
		opt.Bounds = DefaultBounds()
	}
	return &Entry{
		opt:     opt,
		router:  routing.New(routing.Options{DataCentre: opt.DataCentre, Clock: opt.Clock, Seed: opt.Seed}),
		budgets: retry.NewBudgets(), limits: newAccountLimits(),
		incarnations: map[string]string{},
	}
}

// maxIncarnations limits the incarnations that are remembered, since VMs are replaced all the time. It is several times
// the number of targets of the largest fleet. A forgotten incarnation costs one refused attempt, whose answer states it
// again.
const maxIncarnations = 8192

// NewRequestID returns a random request id: 128 bits in hexadecimal.
func NewRequestID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Stop makes the entry refuse new requests, with the outcome of notStarted. Requests in flight continue.
func (e *Entry) Stop() { e.stopping.Store(true) }

// Do runs a request until it is answered or refused. The error is a *Refusal.
func (e *Entry) Do(ctx context.Context, req *Request, l Listener) (*Answer, error) {
	x := newExecution(e, req, l)
	ans, refusal := x.admitAndRun(ctx)
	e.finish(x, ans, refusal)
	if refusal != nil {
		return nil, refusal
	}
	return ans, nil
}

func (e *Entry) incarnation(target string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnations[target]
}

// storeIncarnation reports that the target's local process sent a frame, and stores the incarnation that the frame
// states.
func (e *Entry) storeIncarnation(target, incarnation string) {
	if e.opt.Responded != nil {
		e.opt.Responded(target)
	}
	if incarnation == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.incarnations) >= maxIncarnations {
		clear(e.incarnations)
	}
	e.incarnations[target] = incarnation
}
