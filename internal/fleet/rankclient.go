package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
)

// RankClient calls the entries on behalf of a process that runs beside a rank. It is safe for concurrent use.
type RankClient struct {
	Seeds []string // control addresses of some entries
	Pool  Caller

	mu        sync.Mutex
	entries   []string                // control addresses; the entry that answered the last call is first
	sending   map[string]bool         // control addresses of entries to which a group state is being sent
	lastReply RankReply               // last reply that was not the digest only
	haveRanks map[string]ranksVersion // by control address of the entry: the ranks of a group that it has confirmed
}

// ranksVersion names the ranks of a group as of one state.
type ranksVersion struct{ term, seq int64 }

// SetSeeds replaces the seed addresses.
func (c *RankClient) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Seeds = seeds
}

// Register reports the rank to the first entry that answers and returns the entry's reply, which names the ranks of the
// group. If the entry answers that nothing has changed, Register returns the last full reply.
func (c *RankClient) Register(ctx context.Context, self Rank) (RankReply, error) {
	c.mu.Lock()
	request := RankRequest{Rank: self, Have: c.lastReply.Digest}
	c.mu.Unlock()
	var err error
	for _, addr := range c.candidates() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var reply RankReply
		err = c.Pool.Call(call, addr, methodRank, request, &reply)
		cancel()
		if err == nil {
			return c.recordReply(addr, reply), nil
		}
	}
	return RankReply{}, err
}

// candidates returns the addresses to try in order: the entry that answered last, the other known entries, the seeds.
func (c *RankClient) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string(nil), c.entries...)
	for _, s := range c.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// recordReply records the reply of the entry at addr and makes that entry the first one to call. It returns the full
// reply even if the entry sent only its digest.
func (c *RankClient) recordReply(addr string, reply RankReply) RankReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Digest != c.lastReply.Digest {
		c.lastReply = reply
	}
	c.entries = []string{addr}
	for _, e := range c.lastReply.Entries {
		if e.Control != addr {
			c.entries = append(c.entries, e.Control)
		}
	}
	return c.lastReply
}

// SendGroupState sends the state of a group to all known entries without waiting for their answers. It skips entries
// that have not answered the previous state yet, and leaves the ranks out for those that have them: they are most of the
// bytes of a state, and seldom change.
func (c *RankClient) SendGroupState(ctx context.Context, s GroupState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sending == nil {
		c.sending, c.haveRanks = map[string]bool{}, map[string]ranksVersion{}
	}
	maps.DeleteFunc(c.haveRanks, func(addr string, _ ranksVersion) bool { return !slices.Contains(c.entries, addr) })
	version := ranksVersion{s.Term, s.RanksSeq}
	brief := s
	brief.Ranks = nil
	for _, addr := range c.entries {
		if c.sending[addr] {
			continue
		}
		c.sending[addr] = true
		if c.haveRanks[addr] == version {
			go c.sendTo(ctx, addr, brief)
		} else {
			go c.sendTo(ctx, addr, s)
		}
	}
}

// sendTo sends the state of a group to the entry at addr, and records whether the entry has the ranks.
func (c *RankClient) sendTo(ctx context.Context, addr string, s GroupState) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply GroupReply
	err := c.Pool.Call(ctx, addr, methodGroup, s, &reply) // the next state replaces a lost one
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sending, addr)
	if err != nil || reply.NeedsRanks {
		delete(c.haveRanks, addr)
	} else {
		c.haveRanks[addr] = ranksVersion{s.Term, s.RanksSeq}
	}
}
