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
	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/promptcache"
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
	Serves   string             // model or plain service
	Targets  []wire.VM          // shared and read-only; the same slice until the fleet changes
	Tried    []string           // names of the targets to exclude
	Short    bool               // the request belongs to the short lane
	Tokens   int64              // expected work
	Prompt   promptcache.Prompt // without prefixes if the target caches none of it
	MayProbe bool               // may probe a target whose circuit is open although others are eligible
}

// Choice is the target chosen for a dispatch. Done must be called exactly once.
type Choice struct {
	VM         wire.VM
	Wait       time.Duration        // predicted wait until the target processes the prompt
	Probe      bool                 // tests a target whose circuit is open
	Considered []decision.Candidate // the choice and the best others
	Eligible   int                  // targets that passed the filter
	KeptTokens int                  // beginning of the prompt that the target is believed to hold
	Spilled    bool                 // another target holds more of the prompt, but its wait costs more than that saves

	router   *Router
	pool     *pool
	tokens   int64
	reported bool
	use      *promptcache.Use[string] // nil if the prompt has no prefixes
	notRun   bool
}

// Router chooses targets by their load. It is safe for concurrent use.
type Router struct {
	opt   Options
	start time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	pools   map[poolKey]*pool
	prompts *promptcache.Tracker[string] // by the name of the target
}

type poolKey struct {
	kind   wire.Kind
	serves string
}

// New returns a router that has no information about any target.
func New(opt Options) *Router {
	return &Router{
		opt: opt, start: opt.Clock.Now(), pools: map[poolKey]*pool{},
		rng:     rand.New(rand.NewPCG(opt.Seed, 0x5bd1e995)),
		prompts: promptcache.New[string](),
	}
}

func (r *Router) now() time.Duration { return r.opt.Clock.Now().Sub(r.start) }

// Pick chooses a target and counts the dispatch. It returns nil if no target is eligible.
func (r *Router) Pick(q *Query) *Choice {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(q, now)
	s := p.scan(q, now)
	i := r.choose(p, q, &s, now, r.rng)
	if i < 0 {
		return nil
	}
	considered := p.considered(i, &s)
	c := r.dispatch(p, q, i, now)
	c.Considered, c.Eligible = considered, s.eligible
	c.Spilled = s.holder.tokens > c.KeptTokens
	return c
}

// PickNamed picks the named target without filtering and counts a dispatch to it. It returns nil if the query does not
// list the target.
func (r *Router) PickNamed(q *Query, name string) *Choice {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(q, now)
	i, ok := p.index[name]
	if !ok {
		return nil
	}
	p.scores[i] = p.targets[i].estimate(q.lane(), now).FirstToken()
	c := r.dispatch(p, q, i, now)
	s := newScan()
	c.Considered, c.Eligible = p.considered(i, &s), 1
	return c
}

func (r *Router) pool(q *Query, now time.Duration) *pool {
	key := poolKey{q.Kind, q.Serves}
	p := r.pools[key]
	if p == nil {
		p = &pool{}
		r.pools[key] = p
	}
	for _, name := range p.setTargets(q.Targets, r.opt.DataCentre, now) {
		r.prompts.Forget(name)
	}
	return p
}

func (q *Query) lane() int {
	if q.Short {
		return laneShort
	}
	return laneLong
}

// dispatch counts a dispatch to a target.
func (r *Router) dispatch(p *pool, q *Query, i int, now time.Duration) *Choice {
	t := &p.targets[i]
	c := &Choice{VM: p.list[i], Wait: t.estimate(q.lane(), now).FirstToken(), Probe: t.breaker.open(), router: r, pool: p}
	if c.use = r.recordPrompt(p, q, i); c.use != nil {
		c.KeptTokens = c.use.Kept
	}
	c.tokens = max(0, q.Tokens-int64(c.KeptTokens/placement.PromptTokensPerGenerated))
	t.breaker.recordDispatch()
	t.pending++
	t.pendingTokens += c.tokens
	t.inFlight++
	p.refresh(i, now)
	return c
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
	c.router.recordIncarnation(&c.pool.targets[i], c.VM.Name, l.Incarnation)
	c.pool.recordReport(i, l, now)
	c.clearPendingLocked(&c.pool.targets[i])
	c.pool.refresh(i, now)
}

// recordIncarnation forgets the prompts of a target that has restarted. The caller holds the lock.
func (r *Router) recordIncarnation(t *target, name, incarnation string) {
	if incarnation == "" || incarnation == t.incarnation {
		return
	}
	if t.incarnation != "" {
		r.prompts.Forget(name)
	}
	t.incarnation = incarnation
}

// NotRun records that the target did not run the dispatch. It must precede Done.
func (c *Choice) NotRun() { c.notRun = true }

// Suspect opens the circuit of the target before the end of the dispatch.
func (c *Choice) Suspect() {
	now := c.router.now()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if i := c.pool.indexOf(c.VM.Name); i >= 0 {
		c.pool.targets[i].breaker.recordEnd(Unreachable, now)
		c.pool.refresh(i, now)
	}
}

// Done records the end of the dispatch.
func (c *Choice) Done(f Failure) {
	now := c.router.now()
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	if c.use != nil {
		c.use.Ended(!c.notRun && f != Unreachable)
	}
	i := c.pool.indexOf(c.VM.Name)
	if i < 0 {
		return
	}
	t := &c.pool.targets[i]
	c.clearPendingLocked(t)
	t.breaker.recordEnd(f, now)
	t.inFlight = max(0, t.inFlight-1)
	c.pool.refresh(i, now)
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
