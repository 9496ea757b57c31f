// Package status defines the status that a process reports to operators, and collects statuses, service reports and
// decision records from the processes of a fleet. The processes answer over their control listeners.
package status

import (
	"context"

	"github.com/camphorbank/camphorbank/internal/alarm"
	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Process is the status of one process.
type Process struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	DataCentre  string `json:"data_centre"`
	Version     string `json:"version"`
	Incarnation string `json:"incarnation"`
	UptimeS     int64  `json:"uptime_s"`
	Ready       bool   `json:"ready"`
	Draining    bool   `json:"draining"`

	Revision       int64  `json:"revision"` // 0 before the first configuration
	Hash           string `json:"hash"`
	Preset         string `json:"preset"`
	Rejected       int64  `json:"rejected_revision,omitempty"` // last revision that the process rejected
	RejectedReason string `json:"rejected_reason,omitempty"`
	Conflict       string `json:"conflict,omitempty"` // where different, unapplied content of Revision was seen
	ServiceSeenS   int64  `json:"service_seen_s"`     // since the configuration service last answered; -1 if it never did

	Engine *wire.ModelVersion `json:"engine,omitempty"` // local processes of model engines only
	Alarms []alarm.Alarm      `json:"alarms,omitempty"`
	Target *Target            `json:"target,omitempty"` // local processes only
	Group  *Group             `json:"group,omitempty"`  // local processes of a rank group only
}

// Target is the state of the target of a local process.
type Target struct {
	Kind   wire.Kind `json:"kind"`
	Serves string    `json:"serves"`
	Load   wire.Load `json:"load"`
}

// Group is the state of one rank of a rank group.
type Group struct {
	Name  string  `json:"name"`
	Rank  int     `json:"rank"`
	Epoch int64   `json:"epoch"`
	Step  int64   `json:"step"`
	Phase string  `json:"phase,omitempty"`
	Skew  float64 `json:"skew,omitempty"` // step time relative to an even distribution of the load; coordinator only

	HoldStep   int64          `json:"hold_step,omitempty"`   // step that the rank does not begin without a decision
	ChangeStep int64          `json:"change_step,omitempty"` // step at which the expert map last changed; coordinator only
	Decision   *GroupDecision `json:"decision,omitempty"`    // last decision; coordinator only
	Waiting    []int          `json:"waiting,omitempty"`     // ranks that the switch waits for; coordinator only
	Plan       *GroupPlan     `json:"plan,omitempty"`        // last plan of a new map; coordinator only
	Error      string         `json:"error,omitempty"`       // why the last change failed; coordinator only
}

// GroupDecision is the decision to commit or abort an epoch of a group's expert map.
type GroupDecision struct {
	Epoch  int64 `json:"epoch"`
	Commit bool  `json:"commit"` // false if aborted
}

// GroupPlan is the cost and the predicted gain of the last plan of a new expert map for a group.
type GroupPlan struct {
	Reason    string  `json:"reason"`
	Moves     int     `json:"moves"` // experts to load, over all ranks and layers
	Bytes     int64   `json:"bytes"`
	LoadMS    int64   `json:"load_ms"`
	SkewAfter float64 `json:"skew_after"` // predicted
	Bound     float64 `json:"bound"`      // lower bound of the skew over all maps
	GainMS    int64   `json:"gain_ms"`    // step time saved over the horizon
	CostMS    int64   `json:"cost_ms"`    // step time lost by the change
}

// DryRun is the change of a group's expert map that the coordinator would make now.
type DryRun struct {
	Group string `json:"group"`
	GroupPlan
	SkewBefore float64          `json:"skew_before"`
	Listed     []expertmap.Move `json:"listed"` // the first moves, at most MaxListedMoves
}

// MaxListedMoves bounds the moves that a dry run lists, so that it fits a control message.
const MaxListedMoves = 1000

// Unreachable names a process that did not answer, or whose answer could not be used.
type Unreachable struct {
	Name  string `json:"name"`
	Error string `json:"error"`
}

// Fleet is the status of all processes that answered, and the names of the others.
type Fleet struct {
	Processes   []Process     `json:"processes"`
	Unreachable []Unreachable `json:"unreachable"`
}

// HighestRevision returns the highest configuration revision that any process has in force.
func (f *Fleet) HighestRevision() int64 {
	var highest int64
	for _, p := range f.Processes {
		highest = max(highest, p.Revision)
	}
	return highest
}

// Collect asks every VM of the list for its status.
func Collect(ctx context.Context, vms []wire.VM, ask func(ctx context.Context, addr string) (Process, error)) *Fleet {
	answers, unreachable := Ask(ctx, vms, ask)
	f := &Fleet{Processes: make([]Process, len(answers)), Unreachable: unreachable}
	for i, a := range answers {
		f.Processes[i] = a.Value
	}
	return f
}
