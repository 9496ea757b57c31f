// Package decision keeps a record of each recent request of an entry: which targets were considered and chosen, and how
// each attempt ended. Operators read the records to find out why a request was placed or refused as it was.
package decision

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
)

// Candidate is a target that was considered for an attempt.
type Candidate struct {
	Target string        `json:"target"`
	Score  time.Duration `json:"score_ns"`        // predicted time to the first token if the target holds nothing of the prompt
	Probe  bool          `json:"probe,omitempty"` // the target's circuit is open, so that an attempt at it is a probe
}

// Attempt describes one attempt of a request at a target.
type Attempt struct {
	Number     int             `json:"number"`
	Target     string          `json:"target"`
	Considered []Candidate     `json:"considered"`            // the chosen target first, then some of the others
	Eligible   int             `json:"eligible"`              // number of targets that were eligible
	KeptTokens int             `json:"kept_tokens,omitempty"` // beginning of the prompt that the target was believed to hold
	Spilled    bool            `json:"spilled,omitempty"`     // another target held more, but its wait would have cost more than that saves
	Started    time.Time       `json:"started"`
	Duration   time.Duration   `json:"duration_ns"`
	FirstFrame time.Duration   `json:"first_frame_ns"` // from Started to the first frame; 0 if no frame arrived
	Resumes    int             `json:"resumes"`        // times that the entry resumed the stream
	Outcome    outcome.Outcome `json:"outcome"`
	Reason     outcome.Reason  `json:"reason,omitempty"`
	Message    string          `json:"message,omitempty"`
}

// Record describes how one request was placed and how it ended.
type Record struct {
	RequestID     string          `json:"request_id"`
	ClientAccount string          `json:"client_account"`
	Kind          string          `json:"kind"`
	Serves        string          `json:"serves"`
	Revision      int64           `json:"revision"`
	Preset        string          `json:"preset"`
	Received      time.Time       `json:"received"`
	Duration      time.Duration   `json:"duration_ns"`
	Outcome       outcome.Outcome `json:"outcome"`
	Reason        outcome.Reason  `json:"reason,omitempty"`
	Message       string          `json:"message,omitempty"`
	Attempts      []Attempt       `json:"attempts"`
}
