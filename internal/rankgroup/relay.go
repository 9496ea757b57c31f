package rankgroup

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// BranchReadRequest asks a relay to read several ranks.
type BranchReadRequest struct {
	Ranks         []int   `json:"r"`
	Coordinator   int     `json:"c"`           // rank of the coordinator that sends the request
	HaveSnapshots []int64 `json:"h"`           // by Ranks; see ReadRequest.HaveSnapshot
	StatusOnly    bool    `json:"o"`           // do not read the counts
	Present       bool    `json:"p,omitempty"` // see ReadRequest.Present
	Layers        int     `json:"l"`           // number of layers of the counts
	Experts       int     `json:"x"`           // number of experts in each layer of the counts
}

// BranchReadReply is the state of the ranks that a relay has read.
type BranchReadReply struct {
	Ranks []BranchRank `json:"r"` // in the order of BranchReadRequest.Ranks
	// Sum holds the encoded growth of the counts, added up over the ranks. It is empty if no rank has reported a growth.
	Sum []byte `json:"d,omitempty"`
}

// BranchRank is the state of one rank as its relay has read it.
type BranchRank struct {
	Answered  bool   `json:"a,omitempty"`
	Status    Status `json:"s"`
	Number    int64  `json:"n,omitempty"` // number of the snapshot that was taken
	Lagged    bool   `json:"l,omitempty"` // see ReadReply.Lagged
	Malformed string `json:"e,omitempty"` // why the growth of the counts could not be decoded; empty if it could
}

// BranchOrderRequest asks a relay to send an order to several ranks.
type BranchOrderRequest struct {
	Order     Order      `json:"o"` // its Map is sent in the field below
	Map       *MapUpdate `json:"m,omitempty"`
	Ranks     []int      `json:"r"`
	Fences    []int64    `json:"f"`           // by Ranks; see OrderRequest.Fence
	Expects   []int64    `json:"e,omitempty"` // by Ranks; see Order.Expect; empty for any
	TimeoutMs int64      `json:"t"`           // see OrderRequest.TimeoutMs
}

// BranchOrderReply holds the results of an order.
type BranchOrderReply struct {
	Results []OrderResult `json:"r"` // in the order of BranchOrderRequest.Ranks
}

// relayMargin is the time that a relay waits for the result of an order beyond the timeout of the order itself. It is
// shorter than the time that the coordinator waits for the relay.
const relayMargin = readTimeout / 2

// Relay calls the ranks of a branch on behalf of a coordinator. In a large group the link of a single VM cannot carry
// the readings of all ranks and the maps for them, so the coordinator calls a few relays only.
type Relay struct {
	Ranks Ranks
	Knows func(rank int) bool // reports whether Ranks can call a rank
}

// errRankNotKnown is returned by a relay that cannot call all ranks of the branch, so that the coordinator does it.
var errRankNotKnown = errors.New("the relay does not know all ranks of the branch yet")

func (y Relay) knowsAll(ranks []int) bool {
	return !slices.ContainsFunc(ranks, func(rank int) bool { return !y.Knows(rank) })
}

// Read reads the ranks of a branch and adds up the growth of their counts.
func (y Relay) Read(ctx context.Context, r BranchReadRequest) (BranchReadReply, error) {
	if !y.knowsAll(r.Ranks) {
		return BranchReadReply{}, errRankNotKnown
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout-relayMargin/2)
	defer cancel()
	replies := make([]ReadReply, len(r.Ranks))
	out := BranchReadReply{Ranks: make([]BranchRank, len(r.Ranks))}
	forEach(len(r.Ranks), func(i int) {
		reply, err := y.Ranks.Read(ctx, r.Ranks[i], ReadRequest{Coordinator: r.Coordinator, HaveSnapshot: r.snapshot(i),
			StatusOnly: r.StatusOnly, Present: r.Present, Layers: r.Layers})
		out.Ranks[i] = BranchRank{Answered: err == nil, Status: reply.Status.essential(), Number: reply.Number, Lagged: reply.Lagged}
		replies[i] = reply
	})
	var sum []float64
	for i, reply := range replies {
		if !out.Ranks[i].Answered || len(reply.Since) == 0 {
			continue
		}
		growth, err := decodeCounts(reply.Since, r.Layers, r.Experts)
		if err != nil {
			out.Ranks[i].Malformed = err.Error()
			continue
		}
		sum = addTo(sum, growth)
	}
	out.Sum = encodeCounts(sum, r.Layers)
	return out, nil
}

// snapshot returns the snapshot that the coordinator has of the i-th rank, or 0 for none.
func (r BranchReadRequest) snapshot(i int) int64 {
	if i >= len(r.HaveSnapshots) {
		return 0
	}
	return r.HaveSnapshots[i]
}

// Order sends an order to the ranks of a branch.
func (y Relay) Order(ctx context.Context, r BranchOrderRequest) (BranchOrderReply, error) {
	if !y.knowsAll(r.Ranks) {
		return BranchOrderReply{}, errRankNotKnown
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMs)*time.Millisecond+relayMargin)
	defer cancel()
	out := BranchOrderReply{Results: make([]OrderResult, len(r.Ranks))}
	forEach(min(len(r.Ranks), len(r.Fences)), func(i int) {
		order := r.Order
		if i < len(r.Expects) {
			order.Expect = &r.Expects[i]
		}
		reply, err := y.Ranks.Order(ctx, r.Ranks[i], OrderRequest{Order: order, Map: r.Map, Fence: r.Fences[i], TimeoutMs: r.TimeoutMs})
		out.Results[i] = reply.Result
		if err != nil {
			out.Results[i] = ResultUnknown
		}
	})
	return out, nil
}

// forEach calls f for 0 to n-1 concurrently and waits until all calls have returned.
func forEach(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// addTo adds the values of more to sum, which may be nil, and returns sum.
func addTo(sum, more []float64) []float64 {
	if sum == nil {
		sum = make([]float64, len(more))
	}
	for i, n := range more {
		sum[i] += n
	}
	return sum
}
