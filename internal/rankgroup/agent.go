package rankgroup

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// orderTimeout bounds the wait for the answer to one order. The engine is on the same VM.
	orderTimeout = 60 * time.Millisecond
	// maxAttempts bounds the attempts of one order. Each uses a fencing number of its own.
	maxAttempts = FencesPerOrder
)

// FencesPerOrder is the number of fencing numbers that one order may use, counted from the order's.
const FencesPerOrder = 16

// Agent reads one engine and gives it orders, on behalf of a coordinator. It is safe for concurrent use.
type Agent struct {
	engine Engine

	ordering chan struct{} // holds a token while an order is given, so that there is one at a time

	mu     sync.Mutex
	fence  int64 // highest number of an order so far
	number int64 // of the latest snapshot of the counts
	counts []int64
	born   int64
	reads  map[int]time.Time // last read by the rank of the coordinator
}

// NewAgent returns an agent. Its snapshots are numbered from first, which must differ between incarnations.
func NewAgent(e Engine, first int64) *Agent {
	return &Agent{engine: e, number: first, reads: map[int]time.Time{}, ordering: make(chan struct{}, 1)}
}

// ReadRequest asks for the state of a rank.
type ReadRequest struct {
	Coordinator int   `json:"c"` // rank of the coordinator that asks
	Have        int64 `json:"h"` // number of the snapshot that it has; 0 for none
	StatusOnly  bool  `json:"o"` // leaves the counts out
	Layers      int   `json:"l"` // of the counts
}

// ReadReply is the state of a rank.
type ReadReply struct {
	Status Status `json:"s"`
	Number int64  `json:"n"` // of the snapshot
	// Since holds the encoded choices of each expert since the snapshot that the request names. It is empty if the agent
	// no longer has that snapshot.
	Since []byte `json:"d,omitempty"`
}

// Read reads the engine.
func (a *Agent) Read(ctx context.Context, r ReadRequest) (ReadReply, error) {
	a.mu.Lock()
	a.reads[r.Coordinator] = time.Now()
	a.mu.Unlock()
	s, err := a.engine.Status(ctx)
	if err != nil || r.StatusOnly {
		return ReadReply{Status: s}, err
	}
	c, err := a.engine.Counts(ctx)
	if err != nil {
		return ReadReply{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out := ReadReply{Status: s}
	if r.Have == a.number && len(a.counts) == len(c.Total) && a.born == s.Born {
		out.Since = encodeCounts(c.Total, a.counts, r.Layers)
	}
	a.number++
	a.counts, a.born = c.Total, s.Born
	out.Number = a.number
	return out, nil
}

// LastRead returns when a coordinator of a lower rank last read this one.
func (a *Agent) LastRead(below int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last time.Time
	for rank, at := range a.reads {
		if rank < below && at.After(last) {
			last = at
		}
	}
	return last
}

// OrderRequest is an order of a coordinator.
type OrderRequest struct {
	Order Order  `json:"o"`           // without the map
	Map   []byte `json:"m,omitempty"` // encoded
	Fence int64  `json:"f"`           // the first of FencesPerOrder numbers that the order may use
	// For is the time in milliseconds in which the order is tried.
	For int64 `json:"t"`
}

// OrderResult says what became of an order.
type OrderResult string

// Results of orders.
const (
	ResultDone     OrderResult = "done"
	ResultConflict OrderResult = "conflict" // refused, and no earlier attempt can be carried out any more
	ResultFenced   OrderResult = "fenced"   // a coordinator with a higher number has given orders
	ResultUnknown  OrderResult = "unknown"  // may have been carried out, or may be later
)

// OrderReply tells the result of an order.
type OrderReply struct {
	Result OrderResult `json:"r"`
}

// Order gives an order to the engine, again while it stays unanswered. Each attempt carries a higher fencing number, so
// that once one is answered no earlier one can be carried out.
func (a *Agent) Order(ctx context.Context, r OrderRequest) (OrderReply, error) {
	if len(r.Map) > 0 {
		var err error
		if r.Order.Map, err = decodeMap(r.Map); err != nil {
			return OrderReply{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.For)*time.Millisecond)
	defer cancel()
	select {
	case a.ordering <- struct{}{}:
		defer func() { <-a.ordering }()
	case <-ctx.Done():
		return OrderReply{ResultUnknown}, nil
	}
	for i := int64(0); i < maxAttempts && ctx.Err() == nil; i++ {
		o := r.Order
		o.Fence = r.Fence + i
		if !a.raise(o.Fence) {
			return OrderReply{ResultFenced}, nil
		}
		switch err := a.once(ctx, o); {
		case err == nil:
			return OrderReply{ResultDone}, nil
		case errors.Is(err, ErrFenced):
			return OrderReply{ResultFenced}, nil
		case errors.Is(err, ErrConflict):
			return OrderReply{ResultConflict}, nil
		case errors.Is(err, ErrInvalid), errors.Is(err, ErrMoved):
			return OrderReply{}, err
		}
	}
	return OrderReply{ResultUnknown}, nil
}

// raise notes a fencing number, and says whether no higher one was used.
func (a *Agent) raise(fence int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return false
	}
	a.fence = fence
	return true
}

func (a *Agent) once(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return a.engine.Order(ctx, o)
}
