package gateway

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/quarantine"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	OutcomeServed   Outcome = "served"   // with the whole answer of a target, which may be an error of the target
	OutcomeRefused  Outcome = "refused"  // not run; the caller may retry
	OutcomeRejected Outcome = "rejected" // not run, because it is malformed or not allowed by the configuration
	OutcomeFailed   Outcome = "failed"   // it may have run, but no usable answer arrived
	OutcomeBroken   Outcome = "broken"   // the answer to the caller began but is incomplete
	OutcomeLeft     Outcome = "left"     // the caller left before the end
)

// Reason is the reason why a request was not served.
type Reason string

// Reasons besides those of package balance.
const (
	ReasonNoConfig   Reason = "no-configuration"
	ReasonBadRequest Reason = "malformed-request"
	ReasonNoRoute    Reason = "no-route"
	ReasonBadKey     Reason = "unknown-key"
	ReasonHeaders    Reason = "headers-too-large"
	ReasonTooLarge   Reason = "body-too-large"
	ReasonSlowBody   Reason = "body-too-slow"
	ReasonBody       Reason = "body-incomplete"
	ReasonMemory     Reason = "memory-used-up" // of the requests in progress
	ReasonStalled    Reason = "body-stalled"   // its memory was taken back for another request
	ReasonClosed     Reason = "closed"         // its connection was closed for another one
	ReasonTimeout    Reason = "timeout"
	ReasonAttempts   Reason = "attempts-used-up"
	ReasonBudget     Reason = "retry-budget-used-up"
	ReasonUnknown    Reason = "outcome-unknown"
	ReasonStopping   Reason = "stopping" // the process ends before the request would
	// ReasonQuarantined means that engines crash under a part of the prompt, and ReasonSuspected that they may.
	ReasonQuarantined Reason = "prompt-quarantined"
	ReasonSuspected   Reason = "prompt-suspected"
	// ReasonUnproven means that no answer with a part of the prompt has begun in time after the targets opened.
	ReasonUnproven Reason = "prompt-unproven"
)

// Attempt describes one attempt at a target.
type Attempt struct {
	Target  string
	Group   string        // of the target; empty if it is unknown
	Started time.Duration // time from the start of the request to that of the attempt
	Took    time.Duration
	Result  string
	Ending  Ending // of the target's answer; empty if it was not read to its end
	Events  int    // number of events that the target sent
	Err     error

	KeptTokens int  // beginning of the prompt that the target was believed to hold
	Spilled    bool // another target held more of the prompt, but its first token was expected later
}

// Record describes how one request was handled. It is complete when the request has ended.
type Record struct {
	ID            string
	Started       time.Time
	Duration      time.Duration
	FirstByte     time.Duration // time until the head of the answer was sent to the caller; 0 if it was not
	LongestGap    time.Duration // between two events of a stream
	ConfigVersion int64
	ListRevision  int64
	Route         string
	Service       string
	Account       string
	Status        int
	Outcome       Outcome
	Reason        Reason
	RetryAfter    time.Duration
	Part          quarantine.Part   // quarantined part of the prompt; empty if there is none
	Parts         []quarantine.Part // shared parts of the prompt, if a target crashed before its answer had begun
	Attempts      []Attempt
}

// setOutcome records how the request ended. The reason is empty for a request that was served.
func (r *Record) setOutcome(o Outcome, reason Reason) { r.Outcome, r.Reason = o, reason }
