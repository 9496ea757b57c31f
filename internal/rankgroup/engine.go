// Package rankgroup balances the load of the engines of a group by changing their expert map while they serve requests.
//
// Each engine of a group is a rank and holds some of the experts of a mixture-of-experts model; the expert map says
// which. The ranks compute in lockstep. A step is one forward pass of the whole group, and it lasts as long as the most
// loaded rank takes. A process beside each rank reads its engine and sends it commands, which are called orders. The
// process beside the lowest rank coordinates the group: it estimates the popularity of experts, plans small changes of
// the map, and switches all ranks to the new map at the same step.
//
// During a switch the group is held: it does not begin the step of the switch until every rank has confirmed the new
// map for that step. The hold is normally released before the group reaches the step, so that the group does not wait.
//
// An engine may carry out an order seconds after the request for it has timed out. Every order therefore has a fencing
// number above those of all earlier orders to the rank, and an engine that has accepted an order refuses all orders
// with lower numbers. For engines that ignore fencing numbers, an order also states how many orders the engine must have
// accepted before, and an engine that has accepted another number refuses it.
package rankgroup

import (
	"context"
	"errors"
)

// Status is the state of one rank as its engine reports it.
type Status struct {
	Group       string  `json:"g,omitempty"`
	Epoch       int64   `json:"e,omitempty"` // of the group; increases each time the group is formed
	Rank        int     `json:"r,omitempty"`
	Size        int     `json:"z,omitempty"` // number of ranks of the group
	Open        bool    `json:"o,omitempty"` // the group is formed
	StartedAtMs int64   `json:"b,omitempty"` // start of the engine in Unix milliseconds
	Step        int64   `json:"s,omitempty"` // last step that was begun
	Map         int64   `json:"m,omitempty"` // version of the map in use
	Prepared    int64   `json:"p,omitempty"` // version of a map that is loaded besides the one in use; 0 for none
	Armed       int64   `json:"a,omitempty"` // version of the map that comes into use at a later step; 0 for none
	Held        *int64  `json:"h,omitempty"` // step that this rank keeps the group from beginning; nil for none
	Sequence    int64   `json:"q,omitempty"` // number of orders that the engine has accepted since its start
	Busy        bool    `json:"y,omitempty"` // an order is in progress
	Active      int     `json:"n,omitempty"` // requests in the batch
	Queued      int     `json:"w,omitempty"` // requests that wait for a place in the batch
	MemoryUsed  int     `json:"u,omitempty"` // tokens in the KV cache
	MemoryTotal int     `json:"t,omitempty"` // tokens that the KV cache can hold
	Pace        float64 `json:"x,omitempty"` // above 1 if the engine takes longer than others for the same work
}

// maxGroupSize is more than the number of ranks of any group. A coordinator allocates memory for each rank.
const maxGroupSize = 4096

// InGroup reports whether the status names a possible place in a group.
func (s Status) InGroup() bool {
	return s.Group != "" && s.Size <= maxGroupSize && s.Rank >= 0 && s.Rank < s.Size
}

// essential returns the fields that a coordinator needs. The others are left out of what a relay sends.
func (s Status) essential() Status {
	return Status{Epoch: s.Epoch, Open: s.Open, Step: s.Step, Map: s.Map, Prepared: s.Prepared, Armed: s.Armed, Held: s.Held,
		Sequence: s.Sequence, Pace: s.Pace}
}

// Counts holds how often the rank's requests have chosen each expert since the start of the engine.
type Counts struct {
	Step  int64
	Epoch int64
	Total []int64 // layer by layer
}

// HeldExperts are the experts that a rank holds by one version of the map.
type HeldExperts struct {
	Version int64   `json:"v"`
	ByLayer [][]int `json:"e"`
}

// Operation is the kind of an order.
type Operation string

// Operations of orders.
const (
	OpPrepare Operation = "prepare" // load the experts of a map
	OpArm     Operation = "arm"     // use a loaded map from a step on
	OpDisarm  Operation = "disarm"  // cancel an arm order before its step
	OpHold    Operation = "hold"    // do not begin a step
	OpRelease Operation = "release" // end a hold
)

// Order is one command to an engine.
type Order struct {
	Op      Operation `json:"op"`
	Epoch   int64     `json:"epoch"` // the engine refuses the order if the group has another epoch
	Version int64     `json:"version,omitempty"`
	Step    int64     `json:"step,omitempty"`
	// Expect is the Status.Sequence that the engine must have; it refuses the order if it has another one. nil stands for any.
	Expect *int64    `json:"expect,omitempty"`
	Map    [][][]int `json:"-"` // experts by layer and rank
	Fence  int64     `json:"-"`
}

// Errors of orders. After any other error it is unknown whether the order has been or will be carried out.
var (
	ErrConflict    = errors.New("order does not fit the engine's state")
	ErrFenced      = errors.New("engine has seen a higher fencing number")
	ErrOtherEngine = errors.New("another engine has the address")
	ErrInvalid     = errors.New("engine does not know the order")
)

// Engine gives access to the engine of one rank.
type Engine interface {
	// Status may return an earlier status if the engine has sent it once more, late. PresentStatus never does, and costs a
	// connection.
	Status(ctx context.Context) (Status, error)
	PresentStatus(ctx context.Context) (Status, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the experts that the rank holds. To another VM it may return those of an earlier map, as Status does.
	Experts(ctx context.Context) (HeldExperts, error)
	Order(ctx context.Context, o Order) error
}
