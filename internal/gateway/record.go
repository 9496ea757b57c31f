package gateway

import "time"

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	OutcomeServed   Outcome = "served"   // with the whole answer of a target, a failure of the target's own included
	OutcomeRefused  Outcome = "refused"  // not run
	OutcomeRejected Outcome = "rejected" // not allowed by the configuration, or malformed
	OutcomeFailed   Outcome = "failed"   // may have run
	OutcomeBroken   Outcome = "broken"   // the answer had begun and ended early
	OutcomeLeft     Outcome = "left"     // the caller left first
)

// Reason says why a request was not served.
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
	ReasonTimeout    Reason = "timeout"
	ReasonAttempts   Reason = "attempts-used-up"
	ReasonBudget     Reason = "retry-budget-used-up"
	ReasonUnknown    Reason = "outcome-unknown"
)

// Try is one attempt at a target.
type Try struct {
	Target  string
	Group   string        // of the target; empty if it is unknown
	Started time.Duration // since the start of the request
	Took    time.Duration
	Result  string
	Err     error
}

// Record explains one request afterwards.
type Record struct {
	ID            string
	Started       time.Time
	Duration      time.Duration
	FirstByte     time.Duration // until the head of the answer went to the caller; 0 if it did not
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
	Tries         []Try
}

func (r *Record) end(o Outcome, reason Reason) { r.Outcome, r.Reason = o, reason }
