// Package routing chooses the target that an entry process dispatches an attempt of a request to.
//
// A Router excludes the targets that cannot take the request, predicts the wait at each of the others from load reports
// and its own dispatches, and chooses one of the best. A circuit breaker for each target stops dispatches to targets
// that fail.
package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Options configures a router.
type Options struct {
	DataCentre string // data centre of the entry process
	Clock      port.Clock
	Seed       uint64
}

// Query describes a request that needs a target.
type Query struct {
	Kind     wire.Kind
	Serves   string    // model or plain service
	Targets  []wire.VM // shared and read-only; the same slice until the fleet changes
	Tried    []string  // names of the targets to exclude
	Short    bool      // the request belongs to the short lane
	Tokens   int64     // expected work
	Prefix   uint64    // hash of the leading part of the prompt, 0 for none
	MayProbe bool      // may probe a target whose circuit is open although others are eligible
}

// Choice is the target chosen for a dispatch. Done must be called exactly once.
type Choice struct {
	VM         wire.VM
	Wait       time.Duration        // predicted wait
	Probe      bool                 // tests a target whose circuit is open
	Considered []decision.Candidate // the choice and the best others
	Eligible   int                  // targets that passed the filter

	router   *Router
	pool     *pool
	tokens   int64
	reported bool
}

// Router chooses targets by their load. It is safe for concurrent use.
type Router struct {
	opt   Options
	start time.Time

	mu    sync.Mutex
	rng   *rand.Rand
	pools map[poolKey]*pool
}

type poolKey struct {
	kind   wire.Kind
	serves string
}

// New returns a router that has no information about any target.
func New(opt Options) *Router {
	return &Router{
		opt: opt, start: opt.Clock.Now(), pools: map[poolKey]*pool{},
		rng: rand.New(rand.NewPCG(opt.Seed, 0x5bd1e995)),
	}
}

func (r *Router) now() time.Duration { return r.opt.Clock.Now().Sub(r.start) }

// Pick chooses a target and counts the dispatch. It returns nil if no target is eligible.
func (r *Router) Pick(q *Query) *Choice {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(q)
	s := p.scan(q, now)
	i := p.choose(q, &s, r.rng)
	if i < 0 {
		return nil
	}
	considered := p.considered(i, &s)
	c := p.dispatch(r, q, i)
	c.Considered, c.Eligible = considered, s.eligible
	return c
}

// PickNamed picks the named target without filtering and counts a dispatch to it. It returns nil if the query does not
// list the target.
func (r *Router) PickNamed(q *Query, name string) *Choice {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(q)
	i, ok := p.index[name]
	if !ok {
		return nil
	}
	p.scores[i] = p.scanned[i].score(q.lane(), now)
	c := p.dispatch(r, q, i)
	c.Considered, c.Eligible = p.considered(i, &scan{bestIndex: i, pref: newPreferred(), drawn: [2]int{-1, -1}}), 1
	return c
}

func (r *Router) pool(q *Query) *pool {
	key := poolKey{q.Kind, q.Serves}
	p := r.pools[key]
	if p == nil {
		p = &pool{}
		r.pools[key] = p
	}
	p.setTargets(q.Targets, r.opt.DataCentre)
	return p
}

func (q *Query) lane() int {
	if q.Short {
		return laneShort
	}
	return laneLong
}

func (p *pool) dispatch(r *Router, q *Query, i int) *Choice {
	t := &p.targets[i]
	probe := t.breaker.open()
	t.breaker.recordDispatch()
	t.pending++
	t.pendingTokens += q.Tokens
	p.scanned[i].inFlight++
	p.refreshScanEntry(i)
	return &Choice{VM: p.list[i], Wait: p.scores[i], Probe: probe, router: r, pool: p, tokens: q.Tokens}
}

// Report records a load report that came with a frame of the dispatch.
func (c *Choice) Report(l *wire.Load) {
	now := c.router.now()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	i := c.pool.indexOf(c.VM.Name)
	if i < 0 {
		return
	}
	c.pool.recordReport(i, l, now)
	c.clearPendingLocked(&c.pool.targets[i])
	c.pool.refreshScanEntry(i)
}

// Suspect opens the circuit of the target before the end of the dispatch.
func (c *Choice) Suspect() {
	now := c.router.now()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if i := c.pool.indexOf(c.VM.Name); i >= 0 {
		c.pool.targets[i].breaker.recordEnd(Unreachable, now)
		c.pool.refreshScanEntry(i)
	}
}

// Done records the end of the dispatch.
func (c *Choice) Done(f Failure) {
	now := c.router.now()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	i := c.pool.indexOf(c.VM.Name)
	if i < 0 {
		return
	}
	t := &c.pool.targets[i]
	c.clearPendingLocked(t)
	t.breaker.recordEnd(f, now)
	c.pool.scanned[i].inFlight = max(0, c.pool.scanned[i].inFlight-1)
	c.pool.refreshScanEntry(i)
}

// clearPendingLocked takes the dispatch out of the target's pending work, which no report includes. The caller holds
// the router's lock.
func (c *Choice) clearPendingLocked(t *target) {
	if c.reported {
		return
	}
	c.reported = true
	t.pending = max(0, t.pending-1)
	t.pendingTokens = max(0, t.pendingTokens-c.tokens)
}
