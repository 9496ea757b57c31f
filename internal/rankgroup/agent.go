package rankgroup

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// maxAttempts limits the attempts of one order. Each attempt uses its own fencing number.
const maxAttempts = FencesPerOrder

// FencesPerOrder is the number of consecutive fencing numbers reserved for one order, from OrderRequest.Fence on.
const FencesPerOrder = 16

// Agent reads the engine of one rank and sends it orders on behalf of a coordinator. It is safe for concurrent use.
type Agent struct {
	engine Engine

	orderSlot chan struct{} // holds one element while an order is sent, so that only one is sent at a time

	mu          sync.Mutex
	fence       int64 // highest fencing number of an order so far
	pace        attemptPace
	snapshot    int64 // number of the latest snapshot of the counts
	counts      []int64
	engineStart int64               // Status.StartedAtMs at the time of the snapshot
	lastReads   map[int]time.Time   // time of the last read by each coordinator, by its rank
	maps        map[int64][][][]int // maps that the engine has accepted, by version
	mapsEpoch   int64               // epoch of the group in which it has accepted them
}

// NewAgent returns an agent. The numbers of its snapshots start above first, which must differ between incarnations of
// the agent.
func NewAgent(e Engine, first int64) *Agent {
	return &Agent{engine: e, snapshot: first, lastReads: map[int]time.Time{}, maps: map[int64][][][]int{}, orderSlot: make(chan struct{}, 1)}
}

// ReadRequest asks for the state of a rank.
type ReadRequest struct {
	Coordinator  int   `json:"c"`           // rank of the coordinator that sends the request
	HaveSnapshot int64 `json:"h"`           // number of the last snapshot that the coordinator has received; 0 for none
	StatusOnly   bool  `json:"o"`           // do not read the counts
	Present      bool  `json:"p,omitempty"` // the status decides what to order: read it with Engine.PresentStatus
	Layers       int   `json:"l"`           // number of layers of the counts
}

// ReadReply is the state of a rank.
type ReadReply struct {
	Status Status `json:"s"`
	Number int64  `json:"n"` // number of the snapshot that was taken
	// Since holds the encoded growth of the counts since the snapshot that the request names. It is empty if the agent
	// no longer has that snapshot.
	Since []byte `json:"d,omitempty"`
	// Lagged says that the engine was read from another VM. Its status is then as old as the report lag of the engines.
	Lagged bool `json:"l,omitempty"`
}

// Read reads the engine and takes a snapshot of its counts. It fails after readTimeout, when its caller has stopped waiting:
// the readings of an engine that does not answer would otherwise use up the calls that a connection may have in progress.
func (a *Agent) Read(ctx context.Context, r ReadRequest) (ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	a.mu.Lock()
	a.lastReads[r.Coordinator] = time.Now()
	a.mu.Unlock()
	s, err := a.status(ctx, r.Present)
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
	if r.HaveSnapshot == a.snapshot && len(a.counts) == len(c.Total) && a.engineStart == s.StartedAtMs {
		out.Since = encodeGrowth(c.Total, a.counts, r.Layers)
	}
	a.snapshot++
	a.counts, a.engineStart = c.Total, s.StartedAtMs
	out.Number = a.snapshot
	return out, nil
}

func (a *Agent) status(ctx context.Context, present bool) (Status, error) {
	if present {
		return a.engine.PresentStatus(ctx)
	}
	return a.engine.Status(ctx)
}

// Experts returns the experts that the engine holds. It fails after readTimeout.
func (a *Agent) Experts(ctx context.Context) (HeldExperts, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return a.engine.Experts(ctx)
}

// LastRead returns when a coordinator of a rank lower than below last read this rank, or the zero time.
func (a *Agent) LastRead(below int) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last time.Time
	for rank, at := range a.lastReads {
		if rank < below && at.After(last) {
			last = at
		}
	}
	return last
}

// OrderRequest asks an agent to send an order to its engine.
type OrderRequest struct {
	Order Order      `json:"o"`           // its Map is sent in the field below
	Map   *MapUpdate `json:"m,omitempty"` // nil for orders without a map
	Fence int64      `json:"f"`           // first of the FencesPerOrder numbers that the order may use
	// TimeoutMs is the time in milliseconds after which the agent stops trying.
	TimeoutMs int64 `json:"t"`
}

// OrderResult is the outcome of an order.
type OrderResult string

// Results of orders.
const (
	ResultDone OrderResult = "done"
	// ResultConflict means that the last attempt was refused. No earlier attempt can still be carried out, unless the
	// engine ignores fencing numbers.
	ResultConflict OrderResult = "conflict"
	ResultFenced   OrderResult = "fenced"  // a higher fencing number has been used
	ResultUnknown  OrderResult = "unknown" // may have been carried out or may still be
	// ResultNoBaseMap means that the order was not sent to the engine, since its map is an update of another map that
	// the agent does not have.
	ResultNoBaseMap OrderResult = "no-base-map"
)

// OrderReply is the reply to an OrderRequest.
type OrderReply struct {
	Result OrderResult `json:"r"`
}

// Order sends an order to the engine and retries it until it is answered. Each attempt has a higher fencing number than
// the one before, so that an engine that enforces fencing numbers carries out no earlier attempt once it has answered one.
func (a *Agent) Order(ctx context.Context, r OrderRequest) (OrderReply, error) {
	if r.Map != nil {
		var err error
		r.Order.Map, err = r.Map.apply(func(version int64) [][][]int { return a.mapOf(r.Order.Epoch, version) })
		if errors.Is(err, errNoBaseMap) {
			return OrderReply{ResultNoBaseMap}, nil
		}
		if err != nil {
			return OrderReply{}, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMs)*time.Millisecond)
	defer cancel()
	select {
	case a.orderSlot <- struct{}{}:
		defer func() { <-a.orderSlot }()
	case <-ctx.Done():
		return OrderReply{ResultUnknown}, nil
	}
	for i := int64(0); i < maxAttempts && ctx.Err() == nil; i++ {
		o := r.Order
		o.Fence = r.Fence + i
		if !a.raiseFence(o.Fence) {
			return OrderReply{ResultFenced}, nil
		}
		switch err := a.sendOnce(ctx, o, i); {
		case err == nil:
			if r.Map != nil {
				a.storeMap(r)
			}
			return OrderReply{ResultDone}, nil
		case errors.Is(err, ErrFenced):
			return OrderReply{ResultFenced}, nil
		case errors.Is(err, ErrConflict):
			return OrderReply{ResultConflict}, nil
		case errors.Is(err, ErrInvalid), errors.Is(err, ErrOtherEngine):
			return OrderReply{}, err
		}
	}
	return OrderReply{ResultUnknown}, nil
}

// mapOf returns the map of a version if the engine has accepted it through this agent, or nil.
func (a *Agent) mapOf(epoch, version int64) [][][]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.mapsEpoch {
		return nil
	}
	return a.maps[version]
}

// storeMap stores the map of an order that the engine has accepted. It drops the maps that later updates cannot change:
// those of other epochs, and those older than the base of this update.
func (a *Agent) storeMap(r OrderRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Order.Epoch != a.mapsEpoch || r.Map.Base == completeMap {
		a.mapsEpoch = r.Order.Epoch
		clear(a.maps)
	}
	maps.DeleteFunc(a.maps, func(version int64, _ [][][]int) bool { return version < r.Map.Base })
	a.maps[r.Order.Version] = r.Order.Map
}

// raiseFence records a fencing number. It returns false if a higher one was used before.
func (a *Agent) raiseFence(fence int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return false
	}
	a.fence = fence
	return true
}

// sendOnce makes one attempt to send an order, after a number of attempts that were not answered.
func (a *Agent) sendOnce(ctx context.Context, o Order, before int64) error {
	ctx, cancel := context.WithTimeout(ctx, a.attemptTimeout(o.Op, before))
	defer cancel()
	start := time.Now()
	err := a.engine.Order(ctx, o)
	if isAnswer(err) && o.Op != OpPrepare {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pace.observe(time.Since(start))
	}
	return err
}

// attemptTimeout returns the wait for the answer to an attempt. No group is held while a map is ordered to be loaded, and an engine
// refuses to load a version twice, so that another attempt would turn a late answer into a refusal.
func (a *Agent) attemptTimeout(op Operation, before int64) time.Duration {
	if op == OpPrepare {
		return maxAttemptTimeout
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pace.timeout(before)
}
