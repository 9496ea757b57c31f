package rankgroup

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"
)

// minRelayedSize is the number of ranks from which on a coordinator calls the ranks through relays.
const minRelayedSize = 24

// branch is a part of the ranks that the coordinator calls through one of them, the relay.
type branch struct {
	ranks []int
	relay int // index of the relay in ranks
}

// directBranch returns a branch that the coordinator calls without a relay.
func directBranch(ranks ...int) *branch { return &branch{ranks: ranks, relay: -1} }

// makeBranches divides the ranks of a group. The ranks of a branch are in one data centre, so that most calls stay
// within it. The number of branches and the size of a branch are both about the root of the number of ranks. The
// coordinator's own rank is a branch of its own, which needs no link.
func makeBranches(size, own int, dataCentre func(rank int) string) []*branch {
	ranks := make([]int, size)
	for r := range ranks {
		ranks[r] = r
	}
	if size < minRelayedSize {
		return []*branch{directBranch(ranks...)}
	}
	out := []*branch{directBranch(own)}
	ranks = slices.DeleteFunc(ranks, func(rank int) bool { return rank == own })
	slices.SortStableFunc(ranks, func(a, b int) int { return cmp.Compare(dataCentre(a), dataCentre(b)) })
	limit := int(math.Ceil(math.Sqrt(float64(size))))
	for len(ranks) > 0 {
		n := 1
		for n < min(limit, len(ranks)) && dataCentre(ranks[n]) == dataCentre(ranks[0]) {
			n++
		}
		out, ranks = append(out, &branch{ranks: ranks[:n:n]}), ranks[n:]
	}
	return out
}

// useNextRelay replaces a relay that has not answered.
func (b *branch) useNextRelay() { b.relay = (b.relay + 1) % len(b.ranks) }

// divideRanks divides the ranks into branches, given what is now known about where they are.
func (c *Coordinator) divideRanks() {
	c.branches = makeBranches(c.opt.Size, c.opt.Rank, c.opt.DataCentre)
}

// reading is what the coordinator has read from all ranks.
type reading struct {
	replies   []ReadReply // by rank
	failures  []error     // by rank: why it has no reply, or nil
	malformed []error     // by rank: why its counts could not be decoded, or nil
	sums      [][]float64 // growth of the counts, added up over the ranks of each relayed branch; nil for other branches
}

// readKind says what to read from the ranks.
type readKind struct {
	statusOnly bool // without the counts, which take most of the bytes
	present    bool // see ReadRequest.Present
}

// readBranches reads all ranks. It updates c.answered.
func (c *Coordinator) readBranches(ctx context.Context, kind readKind) reading {
	out := reading{replies: make([]ReadReply, c.opt.Size), failures: make([]error, c.opt.Size), malformed: make([]error, c.opt.Size),
		sums: make([][]float64, len(c.branches))}
	forEach(len(c.branches), func(i int) {
		b := c.branches[i]
		if b.relay >= 0 {
			if c.readThroughRelay(ctx, b, kind, &out, i) {
				return
			}
			b.useNextRelay()
		}
		forEach(len(b.ranks), func(k int) { c.readDirectly(ctx, b.ranks[k], kind, &out) })
	})
	return out
}

// readDirectly reads one rank.
func (c *Coordinator) readDirectly(ctx context.Context, rank int, kind readKind, out *reading) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := c.opt.Ranks.Read(ctx, rank, ReadRequest{Coordinator: c.opt.Rank, HaveSnapshot: c.snapshots[rank],
		StatusOnly: kind.statusOnly, Present: kind.present, Layers: c.layers()})
	c.answered[rank] = err == nil
	out.failures[rank] = err
	out.replies[rank] = reply
}

// readThroughRelay reads the ranks of the i-th branch through its relay. It returns false if the relay did not answer.
func (c *Coordinator) readThroughRelay(ctx context.Context, b *branch, kind readKind, out *reading, i int) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	request := BranchReadRequest{Ranks: b.ranks, Coordinator: c.opt.Rank, StatusOnly: kind.statusOnly, Present: kind.present,
		Layers: c.layers(), Experts: c.experts()}
	if !kind.statusOnly {
		for _, rank := range b.ranks {
			request.HaveSnapshots = append(request.HaveSnapshots, c.snapshots[rank])
		}
	}
	reply, err := c.opt.Ranks.ReadBranch(ctx, b.ranks[b.relay], request)
	if err != nil || len(reply.Ranks) != len(b.ranks) {
		return false
	}
	for k, rank := range b.ranks {
		r := reply.Ranks[k]
		c.answered[rank] = r.Answered
		if !r.Answered {
			out.failures[rank] = errRelayGotNone
		}
		out.replies[rank] = ReadReply{Status: r.Status, Number: r.Number, Lagged: r.Lagged}
		if r.Malformed != "" {
			out.malformed[rank] = errors.New(r.Malformed)
		}
	}
	if len(reply.Sum) > 0 {
		if out.sums[i], err = decodeCounts(reply.Sum, c.layers(), c.experts()); err != nil {
			out.malformed[b.ranks[b.relay]] = err
		}
	}
	return true
}

// errRelayGotNone is the failure of a rank whose relay has no reply from it.
var errRelayGotNone = errors.New("the rank has not answered its relay")

// orderAll sends an order to all ranks.
func (c *Coordinator) orderAll(ctx context.Context, o Order, limit time.Duration) []OrderResult {
	out := make([]OrderResult, c.opt.Size)
	forEach(len(c.branches), func(i int) {
		b := c.branches[i]
		if b.relay >= 0 {
			if c.orderThroughRelay(ctx, b, o, limit, out) {
				return
			}
			b.useNextRelay()
		}
		forEach(len(b.ranks), func(k int) { out[b.ranks[k]] = c.order(ctx, b.ranks[k], o, limit) })
	})
	if slices.Contains(out, ResultFenced) {
		c.needsNewTerm = true
	}
	return out
}

// orderThroughRelay sends an order to the ranks of a branch through its relay. It returns false if the relay did not
// answer. The order may then have been carried out, which a later order with higher fencing numbers supersedes.
func (c *Coordinator) orderThroughRelay(ctx context.Context, b *branch, o Order, limit time.Duration, out []OrderResult) bool {
	ctx, cancel := context.WithTimeout(ctx, limit+readTimeout)
	defer cancel()
	o.Epoch = c.epoch
	request := BranchOrderRequest{Order: o, Map: c.update, Ranks: b.ranks, TimeoutMs: limit.Milliseconds()}
	for _, rank := range b.ranks {
		request.Fences = append(request.Fences, c.nextFence(rank))
		if c.opt.Unfenced {
			request.Expects = append(request.Expects, c.status[rank].Sequence)
		}
	}
	reply, err := c.opt.Ranks.OrderBranch(ctx, b.ranks[b.relay], request)
	if err != nil || len(reply.Results) != len(b.ranks) {
		return false
	}
	for k, rank := range b.ranks {
		out[rank] = reply.Results[k]
	}
	return true
}
