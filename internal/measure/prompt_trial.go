package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/enginemodel"
	"github.com/camphorbank/camphorbank/internal/promptcache"
)

// promptLoad describes a stream of requests whose prompts share prefixes.
type promptLoad struct {
	requests  int
	perSecond float64
	prefixes  int     // number of different prefixes
	zipf      float64 // exponent of their popularity; 0 if all are equally popular
	shared    int     // length of each prefix in tokens
	own       int     // length of the rest of each prompt in tokens
	decode    time.Duration
}

// promptEngineSpec describes a simulated engine that processes prompts and generates in batches.
type promptEngineSpec struct {
	slots       int
	prefillRate float64 // prompt tokens per second
	serial      bool    // processes one prompt at a time; otherwise each slot processes its own
	stepTime    time.Duration
	memory      int  // prompt tokens that the cache holds; 0 for no cache
	inFlight    bool // holds a prefix only while a request with it is in flight
}

// promptBlock is the number of prompt tokens in a block of the simulated caches. A token is one byte of simulated text.
const promptBlock = 20

// promptRequest is one simulated request.
type promptRequest struct {
	entry     int // index of the entry that received it
	prefix    int
	text      string
	prompt    promptcache.Prompt
	decode    time.Duration
	arrivedAt time.Time
	firstAt   time.Time
	cached    int // prompt tokens that its engine held
	target    int // index of its engine
}

// promptEngine is a simulated engine.
type promptEngine struct {
	sim      *simulation
	spec     *promptEngineSpec
	cache    *enginemodel.PrefixCache
	held     map[int]int // requests in flight by prefix
	running  int
	queue    []*promptRequest
	freeAt   time.Time // when a serial engine has processed all its prompts
	slowdown float64   // factor by which it is slower than its description
}

// placer places requests on the engines of a trial.
type placer interface {
	// place sends a request to an engine with trial.send, at once or later.
	place(r *promptRequest)
	firstToken(r *promptRequest)
	ended(r *promptRequest)
}

// promptTrial simulates engines that keep prompts, in virtual time.
type promptTrial struct {
	sim      *simulation
	engines  []*promptEngine
	placer   placer
	finished []*promptRequest
}

// newPromptTrial returns a trial without requests.
func newPromptTrial(engines int, spec promptEngineSpec) *promptTrial {
	t := &promptTrial{sim: newSimulation()}
	for range engines {
		t.engines = append(t.engines, &promptEngine{
			sim: t.sim, spec: &spec, held: map[int]int{}, slowdown: 1,
			cache: enginemodel.NewPrefixCache(spec.memory/promptBlock, promptBlock),
		})
	}
	return t
}

// run places all requests of a load that the seed determines, and returns the mean time to the first token.
func (t *promptTrial) run(load promptLoad, seed uint64) time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := load.popularity(rng)
	texts := make([]string, load.prefixes)
	for i := range texts {
		texts[i] = randomText(rng, load.shared)
	}
	at := time.Duration(0)
	for range load.requests {
		at += time.Duration(rng.ExpFloat64() / load.perSecond * float64(time.Second))
		prefix := draw()
		r := &promptRequest{prefix: prefix, text: texts[prefix] + randomText(rng, load.own), entry: rng.IntN(entryCount),
			decode: time.Duration(rng.ExpFloat64() * float64(load.decode))}
		r.prompt = promptcache.Prompt{Tokens: load.shared + load.own,
			Prefixes: promptcache.OfParts([]promptcache.Part{{ID: fmt.Sprint(prefix), Tokens: load.shared}})}
		t.sim.after(at, func() {
			r.arrivedAt = t.sim.now
			t.placer.place(r)
		})
	}
	t.sim.run()
	sum := time.Duration(0)
	for _, r := range t.finished {
		sum += r.firstAt.Sub(r.arrivedAt)
	}
	return sum / time.Duration(len(t.finished))
}

// duration returns the time in which about all requests arrive.
func (l *promptLoad) duration() time.Duration {
	return time.Duration(float64(l.requests) / l.perSecond * float64(time.Second))
}

// popularity returns a function that draws the prefix of a request.
func (l *promptLoad) popularity(rng *rand.Rand) func() int {
	if l.zipf == 0 {
		return func() int { return rng.IntN(l.prefixes) }
	}
	zipf := rand.NewZipf(rng, l.zipf, 1, uint64(l.prefixes-1))
	return func() int { return int(zipf.Uint64()) }
}

// randomText returns a text of n bytes.
func randomText(rng *rand.Rand, n int) string {
	text := make([]byte, n)
	for i := range text {
		text[i] = byte(rng.Uint32())
	}
	return string(text)
}

// hitShare returns the share of the prompt tokens that engines had in their caches.
func (t *promptTrial) hitShare() float64 {
	cached, all := 0, 0
	for _, r := range t.finished {
		cached += r.cached
		all += r.prompt.Tokens
	}
	return float64(cached) / float64(all)
}

// send sends a request to an engine.
func (t *promptTrial) send(r *promptRequest, target int) {
	r.target = target
	e := t.engines[target]
	e.queue = append(e.queue, r)
	t.startQueued(e)
}

// startQueued starts queued requests while slots are free.
func (t *promptTrial) startQueued(e *promptEngine) {
	for len(e.queue) > 0 && e.running < e.spec.slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		r.cached = e.lookup(r)
		e.held[r.prefix]++
		t.sim.after(e.untilFirstToken(r), func() {
			r.firstAt = t.sim.now
			t.placer.firstToken(r)
			t.sim.after(time.Duration(e.slowdown*float64(r.decode)), func() {
				e.running--
				e.held[r.prefix]--
				t.finished = append(t.finished, r)
				t.placer.ended(r)
				t.startQueued(e)
			})
		})
	}
}

// lookup returns how many prompt tokens of a request the engine holds, and stores the prompt.
func (e *promptEngine) lookup(r *promptRequest) int {
	if e.spec.inFlight {
		if e.held[r.prefix] > 0 {
			return r.prompt.Shared()
		}
		return 0
	}
	return e.cache.Lookup(r.text)
}

// untilFirstToken returns the time from the start of a request to its first token.
func (e *promptEngine) untilFirstToken(r *promptRequest) time.Duration {
	now := e.sim.now
	prefill := time.Duration(e.slowdown * float64(r.prompt.Tokens-r.cached) / e.spec.prefillRate * float64(time.Second))
	step := time.Duration(e.slowdown * float64(e.spec.stepTime))
	if !e.spec.serial {
		return prefill + step
	}
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(prefill)
	return e.freeAt.Sub(now) + step
}

// longestHolder returns the first of the engines that hold the longest prefix, or false if none holds any.
func longestHolder[E comparable](kept []promptcache.Holding[E]) (E, bool) {
	var none E
	if len(kept) == 0 {
		return none, false
	}
	best := kept[0]
	for _, h := range kept[1:] {
		if h.Tokens > best.Tokens {
			best = h
		}
	}
	return best.Engine, true
}
