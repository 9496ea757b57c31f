// Package rankgroup keeps the expert map of an engine group even. A process beside each rank reads its engine and gives
// it orders; the one beside the lowest rank coordinates the group: it estimates the popularity of experts, plans small
// changes of the map, and switches all ranks at the same pass.
//
// A switch holds the group before the pass of the switch until every rank has confirmed the new map for that pass. The
// hold is lifted early in the ordinary case, so that the group never waits. Engines may carry out an order that they
// left unanswered seconds later. Every order carries a fencing number that is higher than that of all earlier orders to
// the rank, so that an engine which has accepted a later order refuses the late one.
package rankgroup

import (
	"context"
	"errors"
)

// Status is what an engine says of its rank.
type Status struct {
	Group       string  `json:"g,omitempty"`
	Epoch       int64   `json:"e,omitempty"` // of the group; increases when it forms anew
	Rank        int     `json:"r,omitempty"`
	Size        int     `json:"z,omitempty"` // ranks of the group
	Open        bool    `json:"o,omitempty"`
	Born        int64   `json:"b,omitempty"` // start of the engine, Unix milliseconds
	Step        int64   `json:"s,omitempty"` // last pass that was begun
	Map         int64   `json:"m,omitempty"` // version in use
	Prepared    int64   `json:"p,omitempty"` // version that is loaded beside it; 0 for none
	Armed       int64   `json:"a,omitempty"` // version that is to come into use; 0 for none
	Held        *int64  `json:"h,omitempty"` // pass before which the group waits for this rank; nil for none
	Sequence    int64   `json:"q,omitempty"` // of orders that began something
	Busy        bool    `json:"y,omitempty"` // an order is in progress
	Active      int     `json:"n,omitempty"` // requests in the batch
	Queued      int     `json:"w,omitempty"`
	MemoryUsed  int     `json:"u,omitempty"` // tokens of the KV cache
	MemoryTotal int     `json:"t,omitempty"`
	Pace        float64 `json:"x,omitempty"` // above 1 if the engine is slow
}

// Counts are how often the rank's requests chose each expert since the engine's start, layer by layer.
type Counts struct {
	Step  int64
	Epoch int64
	Total []int64
}

// Operation names an order.
type Operation string

// Operations of orders.
const (
	OpPrepare Operation = "prepare" // load the experts of a map
	OpArm     Operation = "arm"     // use a loaded map from a pass on
	OpDisarm  Operation = "disarm"  // undo an arm before its pass
	OpHold    Operation = "hold"    // do not begin a pass
	OpRelease Operation = "release" // lift a hold
)

// Order is one order to an engine.
type Order struct {
	Op      Operation `json:"op"`
	Epoch   int64     `json:"epoch"` // the engine refuses the order in another epoch
	Version int64     `json:"version,omitempty"`
	Step    int64     `json:"step,omitempty"`
	Map     [][][]int `json:"-"` // experts by layer and rank
	Fence   int64     `json:"-"`
}

// Errors of orders. Any other error leaves open whether the order is carried out.
var (
	ErrConflict = errors.New("order does not fit the engine's state")
	ErrFenced   = errors.New("engine has seen a higher fencing number")
	ErrMoved    = errors.New("another engine has the address")
	ErrInvalid  = errors.New("engine does not know the order")
)

// Engine is one rank's engine.
type Engine interface {
	Status(ctx context.Context) (Status, error)
	Counts(ctx context.Context) (Counts, error)
	// Experts returns the experts that the rank holds, by layer.
	Experts(ctx context.Context) ([][]int, error)
	Order(ctx context.Context, o Order) error
}
