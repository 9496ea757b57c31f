// Package enginemodel simulates parts of an inference engine for the measurement programs and for the stand-in engine
// of the tests. It contains the engine's prefix cache, which saves computing the leading part of a prompt again.
package enginemodel

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// maxKeptEvents is the number of the latest cache events that a cache keeps at least. It keeps at most twice as many.
const maxKeptEvents = 4096

// CacheEvent records that a block of a prompt was stored in the cache or evicted from it.
type CacheEvent struct {
	Seq    int    `json:"seq"`    // increases by one with each event; a gap means that events were lost
	Stored bool   `json:"stored"` // false if the block was evicted
	Block  uint64 `json:"block"`  // hash of the prompt up to the end of the block
}

// PrefixCache holds the hashes of the most recently used blocks of prompts, up to a fixed number of blocks. It is safe
// for concurrent use.
type PrefixCache struct {
	maxBlocks, blockBytes int

	mu      sync.Mutex
	recency *list.List // of hashes, the most recently used first
	byHash  map[uint64]*list.Element
	events  []CacheEvent // the latest events, oldest first
	seq     int
}

// NewPrefixCache returns an empty cache for the given number of blocks of blockBytes each.
func NewPrefixCache(blocks, blockBytes int) *PrefixCache {
	return &PrefixCache{maxBlocks: blocks, blockBytes: blockBytes, recency: list.New(), byHash: map[uint64]*list.Element{}}
}

// Lookup returns how many leading bytes of the prompt were cached, and then stores all its complete blocks.
func (c *PrefixCache) Lookup(prompt string) (cached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leading := true
	for end := c.blockBytes; end <= len(prompt); end += c.blockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		if e, ok := c.byHash[hash]; ok {
			c.recency.MoveToFront(e)
			if leading {
				cached = end
			}
			continue
		}
		leading = false
		c.store(hash)
	}
	return cached
}

// store adds a block, and evicts the least recently used one if the cache is full. The caller holds c.mu.
func (c *PrefixCache) store(hash uint64) {
	c.byHash[hash] = c.recency.PushFront(hash)
	c.recordEvent(true, hash)
	if c.recency.Len() <= c.maxBlocks {
		return
	}
	evicted := c.recency.Remove(c.recency.Back()).(uint64)
	delete(c.byHash, evicted)
	c.recordEvent(false, evicted)
}

// recordEvent appends an event, and drops the oldest events when there are too many. The caller holds c.mu.
func (c *PrefixCache) recordEvent(stored bool, hash uint64) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Stored: stored, Block: hash})
	if len(c.events) > 2*maxKeptEvents {
		c.events = append([]CacheEvent{}, c.events[maxKeptEvents:]...)
	}
}

// Events returns the kept events with sequence numbers above afterSeq as a reader gets them from an engine, which
// publishes events late and may lose some: it leaves out the latest hidden events, and each event whose sequence number
// is a multiple of lossInterval. A lossInterval of 0 loses none.
func (c *PrefixCache) Events(afterSeq, hidden, lossInterval int) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.Seq > afterSeq && e.Seq <= c.seq-hidden && (lossInterval == 0 || e.Seq%lossInterval != 0) {
			out = append(out, e)
		}
	}
	return out
}
