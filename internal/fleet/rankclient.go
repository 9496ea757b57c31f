package fleet

import (
	"context"
	"slices"
	"sync"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
)

// RankClient speaks with the entries on behalf of a process beside a rank. It is safe for concurrent use.
type RankClient struct {
	Seeds []string
	Pool  *peer.Pool

	mu      sync.Mutex
	entries []string // control addresses, the one that answered last first
	telling map[string]bool
	last    RankReply // last one with contents
}

// SetSeeds replaces the seeds.
func (c *RankClient) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Seeds = seeds
}

// Register reports the rank to one entry and returns the other ranks of its group.
func (c *RankClient) Register(ctx context.Context, self Rank) (RankReply, error) {
	c.mu.Lock()
	request := RankRequest{Rank: self, Have: c.last.Digest}
	c.mu.Unlock()
	var err error
	for _, addr := range c.candidates() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		var reply RankReply
		err = c.Pool.Call(call, addr, methodRank, request, &reply)
		cancel()
		if err == nil {
			return c.learn(addr, reply), nil
		}
	}
	return RankReply{}, err
}

// candidates returns the entries to try, the one that answered last first, then the seeds.
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

// learn takes in the reply of an entry, and returns it with its contents.
func (c *RankClient) learn(first string, reply RankReply) RankReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Digest != c.last.Digest {
		c.last = reply
	}
	c.entries = []string{first}
	for _, e := range c.last.Entries {
		if e.Control != first {
			c.entries = append(c.entries, e.Control)
		}
	}
	return c.last
}

// Tell sends the state of a group to all known entries. An entry that has not answered the state before is left out.
func (c *RankClient) Tell(ctx context.Context, s GroupState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.telling == nil {
		c.telling = map[string]bool{}
	}
	for _, addr := range c.entries {
		if c.telling[addr] {
			continue
		}
		c.telling[addr] = true
		go c.tell(ctx, addr, s)
	}
}

func (c *RankClient) tell(ctx context.Context, addr string, s GroupState) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = c.Pool.Call(ctx, addr, methodGroup, s, nil) // the next state replaces one that is lost
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.telling, addr)
}
