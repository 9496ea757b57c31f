// Package outcome defines how a request can end, and the closed list of reasons for refusals and retries. Callers,
// metrics and decision records use the same reasons.
package outcome

import "expvar"

// Outcome is how a request ended.
type Outcome string

// Outcomes of a request.
const (
	Completed Outcome = "completed" // the whole answer was delivered
	NotRun    Outcome = "not-run"   // the request did not run and will not run
	Unknown   Outcome = "unknown"   // the request may have run
)

// Reason explains a refusal or a retry.
type Reason string

// Reasons of refusals and retries. Each has its own counter in every set of Counters.
const (
	Unauthenticated  Reason = "unauthenticated"
	Invalid          Reason = "invalid"
	UnknownModel     Reason = "unknown-model"
	UnknownService   Reason = "unknown-service"
	AccountLimit     Reason = "account-limit"
	QueueFull        Reason = "queue-full"
	DeadlineTooNear  Reason = "deadline-too-near"
	DeadlinePassed   Reason = "deadline-passed"
	Draining         Reason = "draining"
	NoTarget         Reason = "no-target"
	RetryBudget      Reason = "retry-budget"
	WrongIncarnation Reason = "wrong-incarnation"
	Revoked          Reason = "revoked"
	TicketInvalid    Reason = "ticket-invalid"
	TicketExpired    Reason = "ticket-expired"
	TicketClosed     Reason = "ticket-closed"
	TicketMismatch   Reason = "ticket-mismatch"
	TargetFailed     Reason = "target-failed"
	StreamBroken     Reason = "stream-broken"
	ConnectFailed    Reason = "connect-failed"
	Incomplete       Reason = "incomplete"
	CallerLeft       Reason = "caller-left"
	Stopping         Reason = "stopping"
	PresetClosed     Reason = "preset-closed"
	NotLoaded        Reason = "not-loaded"
	MemoryUsedUp     Reason = "memory-used-up" // by the requests in progress
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		Unauthenticated, Invalid, UnknownModel, UnknownService, AccountLimit, QueueFull,
		DeadlineTooNear, DeadlinePassed, Draining, NoTarget, RetryBudget, WrongIncarnation,
		Revoked, TicketInvalid, TicketExpired, TicketClosed, TicketMismatch, TargetFailed,
		StreamBroken, ConnectFailed, Incomplete, CallerLeft, Stopping, PresetClosed, NotLoaded, MemoryUsedUp,
	}
}

// Counters holds one counter for each reason.
type Counters struct {
	byReason map[Reason]*expvar.Int
}

// NewCounters publishes one expvar counter for each reason in a map called name.
// It panics if name is already published.
func NewCounters(name string) *Counters {
	published := expvar.NewMap(name)
	c := &Counters{byReason: make(map[Reason]*expvar.Int)}
	for _, r := range Reasons() {
		v := new(expvar.Int)
		published.Set(string(r), v)
		c.byReason[r] = v
	}
	return c
}

// Add increments the counter of the reason. It does nothing if c is nil or the reason is unknown.
func (c *Counters) Add(r Reason) {
	if c == nil {
		return
	}
	if v, ok := c.byReason[r]; ok {
		v.Add(1)
	}
}
