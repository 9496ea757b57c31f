// Package promptcache estimates which prefixes of prompts each engine holds, so that a request can be sent to an engine
// that need not process the beginning of its prompt again.
//
// A Tracker learns from the requests that its process sends, and from the cache events of engines. It does not see the
// requests of other processes and may miss events, so that its answers are estimates: a wrong one costs the time for
// processing a prefix, and never decides whether a request may run.
package promptcache

import (
	"container/list"
	"slices"
)

const (
	// maxHoldings bounds the holdings of a tracker over all engines.
	maxHoldings = 1 << 16
	// maxHolders bounds the engines that are tracked as holders of one prefix.
	maxHolders = 32
	// defaultMemory is assumed for engines that do not state their memory, in tokens.
	defaultMemory = 1 << 16
	// shareWeight is the weight of the latest sample in the moving average of a process's share in an engine's requests.
	shareWeight = 0.1
)

// Retention states how long an engine holds a prompt.
type Retention int

// Retentions of engines.
const (
	UntilEvicted Retention = iota // until its memory is needed for other prompts
	InFlight                      // while a request with the prefix is in flight
)

// Engine describes an engine at the time of a request.
type Engine struct {
	Retention Retention
	Memory    int     // size of the KV cache in tokens; 0 if unknown
	Share     float64 // share of this process in the engine's requests; 0 if unknown
}

// Holding is a prefix that an engine is believed to hold.
type Holding[E comparable] struct {
	Engine E
	Tokens int // length of the prefix
}

// Tracker holds the estimate for a set of engines, which E identifies: an engine that has restarted is another one. It
// is not safe for concurrent use.
type Tracker[E comparable] struct {
	engines map[E]*engine[E]
	holders map[uint64][]*holding[E] // by the hash of the prefix
	order   *list.List               // of all holdings, the most recently used first
	lookup  int                      // number of the latest call of Kept
	found   []Holding[E]             // result of the latest call of Kept
}

// holding is a prefix that one engine is believed to hold.
type holding[E comparable] struct {
	engine   *engine[E]
	hash     uint64
	tokens   int
	added    int           // tokens that the prefix has beyond the next shorter one
	written  int           // of the engine, when the prefix was last used
	inFlight int           // requests in flight with the prefix
	hinted   bool          // known from a cache event only
	inOrder  *list.Element // in Tracker.order
	inEngine *list.Element // in engine.recency; nil once the holding is dropped
}

// engine is the estimated content of one engine's cache.
type engine[E comparable] struct {
	id       E
	recency  *list.List // of holdings, the most recently used first
	held     int        // tokens of all holdings
	written  int        // tokens of the rests of prompts, beyond their longest prefixes, that were sent so far
	share    float64    // moving average of Engine.Share; 0 if unknown
	lookup   int        // number of the latest call of Kept that found a holding of the engine
	eventSeq int        // sequence number of the latest cache event; 0 if there was none
}

// New returns a tracker that knows of no prefix.
func New[E comparable]() *Tracker[E] {
	return &Tracker[E]{engines: map[E]*engine[E]{}, holders: map[uint64][]*holding[E]{}, order: list.New()}
}

// Kept returns the engines that are believed to hold a prefix of the prompt, each with its longest one. The longest
// prefixes are first. The result is valid until the next call.
func (t *Tracker[E]) Kept(p *Prompt) []Holding[E] {
	t.lookup++
	t.found = t.found[:0]
	for i := len(p.Prefixes) - 1; i >= 0; i-- {
		for _, h := range t.holders[p.Prefixes[i].Hash] {
			if h.engine.lookup != t.lookup {
				h.engine.lookup = t.lookup
				t.found = append(t.found, Holding[E]{h.engine.id, h.tokens})
			}
		}
	}
	return t.found
}

// Use is a request in flight at an engine. Ended must be called exactly once.
type Use[E comparable] struct {
	Kept      int // length of the longest prefix that the engine was believed to hold before the request
	tracker   *Tracker[E]
	retention Retention
	prefixes  []usedPrefix[E]
}

// usedPrefix is a prefix of a request in flight.
type usedPrefix[E comparable] struct {
	holding *holding[E]
	first   bool // the request was the first one with the prefix at the engine
}

// Sent records that a request was sent to an engine. The engine counts as holding the prefixes from now on: a request
// that follows waits for the processing in progress rather than for a second one.
func (t *Tracker[E]) Sent(id E, state Engine, p *Prompt) *Use[E] {
	e := t.engineOf(id)
	e.observeShare(state.Share)
	u := &Use[E]{tracker: t, retention: state.Retention, prefixes: make([]usedPrefix[E], 0, len(p.Prefixes))}
	before := 0
	for _, prefix := range p.Prefixes {
		h := e.find(t.holders[prefix.Hash])
		u.prefixes = append(u.prefixes, usedPrefix[E]{holding: h, first: h == nil})
		if h == nil {
			h = t.add(e, prefix)
			u.prefixes[len(u.prefixes)-1].holding = h
		} else {
			u.Kept = prefix.Tokens
		}
		h.inFlight++
		h.hinted = false
		h.setAdded(prefix.Tokens - before)
		before = prefix.Tokens
	}
	for _, used := range slices.Backward(u.prefixes) { // the longest prefix is evicted first
		t.touch(used.holding)
	}
	e.written += max(0, p.Tokens-before)
	t.evict(e, state)
	return u
}

// Ended records the end of the request. If it has not run, the engine did not process the prefixes for it.
func (u *Use[E]) Ended(run bool) {
	for _, used := range u.prefixes {
		h := used.holding
		h.inFlight--
		if h.inFlight == 0 && (u.retention == InFlight || !run && used.first) {
			u.tracker.drop(h)
		}
	}
}

// Forget drops all that is known of an engine.
func (t *Tracker[E]) Forget(id E) {
	e := t.engines[id]
	if e == nil {
		return
	}
	for el := e.recency.Front(); el != nil; el = e.recency.Front() {
		t.drop(el.Value.(*holding[E]))
	}
	delete(t.engines, id)
}

// Holdings returns the number of holdings of all engines.
func (t *Tracker[E]) Holdings() int { return t.order.Len() }

// engineOf returns the state of an engine, which it creates if there is none.
func (t *Tracker[E]) engineOf(id E) *engine[E] {
	e := t.engines[id]
	if e == nil {
		e = &engine[E]{id: id, recency: list.New()}
		t.engines[id] = e
	}
	return e
}

// observeShare adds a sample to the moving average of the share.
func (e *engine[E]) observeShare(share float64) {
	switch {
	case share <= 0:
	case e.share == 0:
		e.share = min(1, share)
	default:
		e.share += shareWeight * (min(1, share) - e.share)
	}
}

// find returns the engine's holding among those of one prefix, or nil.
func (e *engine[E]) find(holders []*holding[E]) *holding[E] {
	for _, h := range holders {
		if h.engine == e {
			return h
		}
	}
	return nil
}

// setAdded sets the tokens that the prefix has beyond the next shorter one.
func (h *holding[E]) setAdded(tokens int) {
	if h.inEngine != nil {
		h.engine.held += tokens - h.added
		h.added = tokens
	}
}

// add records a prefix at an engine, in place of the oldest holding if there are too many.
func (t *Tracker[E]) add(e *engine[E], p Prefix) *holding[E] {
	if t.order.Len() >= maxHoldings {
		t.drop(t.order.Back().Value.(*holding[E]))
	}
	if holders := t.holders[p.Hash]; len(holders) >= maxHolders {
		t.drop(holders[0])
	}
	h := &holding[E]{engine: e, hash: p.Hash, tokens: p.Tokens, written: e.written}
	h.inOrder, h.inEngine = t.order.PushFront(h), e.recency.PushFront(h)
	t.holders[p.Hash] = append(t.holders[p.Hash], h)
	return h
}

// touch records the use of a holding.
func (t *Tracker[E]) touch(h *holding[E]) {
	if h.inEngine == nil {
		return
	}
	t.order.MoveToFront(h.inOrder)
	h.engine.recency.MoveToFront(h.inEngine)
	h.written = h.engine.written
}

// drop removes a holding.
func (t *Tracker[E]) drop(h *holding[E]) {
	if h.inEngine == nil {
		return
	}
	t.order.Remove(h.inOrder)
	h.engine.recency.Remove(h.inEngine)
	h.inEngine = nil
	h.engine.held -= h.added
	holders := t.holders[h.hash]
	if holders = slices.DeleteFunc(holders, func(other *holding[E]) bool { return other == h }); len(holders) == 0 {
		delete(t.holders, h.hash)
		return
	}
	t.holders[h.hash] = holders
}

// evict drops the least recently used holdings that no longer fit into the engine's memory. Besides the holdings, the memory
// has to hold the rests of all prompts since the last use of the oldest one, and the prompts of other processes.
func (t *Tracker[E]) evict(e *engine[E], state Engine) {
	memory := state.Memory
	if memory <= 0 {
		memory = defaultMemory
	}
	if e.share > 0 {
		memory = int(float64(memory) * e.share)
	}
	for back := e.recency.Back(); back != nil; back = e.recency.Back() {
		h := back.Value.(*holding[E])
		if e.held+e.written-h.written <= memory || h.inFlight > 0 {
			return
		}
		t.drop(h)
	}
}
