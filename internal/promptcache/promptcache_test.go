package promptcache

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/enginemodel"
)

// prompt returns a prompt with one prefix of 100 tokens and a rest of 50.
func prompt(prefix uint64) *Prompt {
	return &Prompt{Tokens: 150, Prefixes: []Prefix{{Hash: prefix, Tokens: 100}}}
}

// keptAt returns how many tokens of a prompt an engine is believed to hold.
func keptAt(t *Tracker[string], engine string, p *Prompt) int {
	for _, h := range t.Kept(p) {
		if h.Engine == engine {
			return h.Tokens
		}
	}
	return 0
}

// TestEviction guards against a prefix that counts as kept after the prompts sent since its last use have filled the
// engine's memory, and against dropping one that is still there.
func TestEviction(t *testing.T) {
	const memory = 1000
	for _, c := range []struct {
		name   string
		others int     // requests with other prefixes, which take 150 tokens each
		share  float64 // of this process in the engine's requests
		kept   bool
	}{
		{"memory left", 5, 1, true},
		{"evicted", 6, 1, false},
		{"requests of other processes", 3, 0.5, false},
		{"few requests of other processes", 1, 0.5, true},
	} {
		tr, state := New[string](), Engine{Memory: memory, Share: c.share}
		tr.Sent("e", state, prompt(1)).Ended(true)
		for i := range c.others {
			tr.Sent("e", state, prompt(uint64(i+2))).Ended(true)
		}
		if kept := keptAt(tr, "e", prompt(1)) > 0; kept != c.kept {
			t.Errorf("%s: kept %v, want %v", c.name, kept, c.kept)
		}
	}
}

// TestRetention guards against a prefix that counts as kept at an engine that holds it only for requests in flight, at one
// that did not run the request, and at one that has restarted.
func TestRetention(t *testing.T) {
	tr, brief := New[string](), Engine{Retention: InFlight}
	first, second := tr.Sent("brief", brief, prompt(1)), tr.Sent("brief", brief, prompt(1))
	if first.Kept != 0 || second.Kept != 100 {
		t.Errorf("%d and %d tokens kept at the first and second request, want 0 and 100", first.Kept, second.Kept)
	}
	first.Ended(true)
	if keptAt(tr, "brief", prompt(1)) != 100 {
		t.Error("dropped although a request with the prefix is in flight")
	}
	second.Ended(true)
	tr.Sent("refuses", Engine{}, prompt(1)).Ended(false)
	restarted := tr.Sent("restarted", Engine{}, prompt(1))
	tr.Forget("restarted")
	restarted.Ended(true)
	if n := len(tr.Kept(prompt(1))); n != 0 || tr.Holdings() != 0 || len(tr.holders) != 0 {
		t.Errorf("%d engines count as holders, %d holdings", n, tr.Holdings())
	}
}

// TestLongestPrefix guards against an engine that is listed with a shorter prefix than it holds, or more than once.
func TestLongestPrefix(t *testing.T) {
	tr := New[string]()
	parts := []Part{{"a", 40}, {"b", 60}, {"c", 10}}
	long := &Prompt{Tokens: 150, Prefixes: OfParts(parts)}
	tr.Sent("short", Engine{}, &Prompt{Tokens: 150, Prefixes: OfParts(parts[:1])}).Ended(true)
	tr.Sent("long", Engine{}, long).Ended(true)
	want := "[{long 110} {short 40}]"
	if got := fmt.Sprint(tr.Kept(long)); got != want {
		t.Errorf("%s, want %s", got, want)
	}
	other := OfParts([]Part{{"b", 60}, {"a", 40}})
	if got := tr.Kept(&Prompt{Prefixes: other}); len(got) != 0 {
		t.Errorf("%v hold parts in another order", got)
	}
}

// TestMemoryIsBounded guards against state that grows with the number of prefixes or requests.
func TestMemoryIsBounded(t *testing.T) {
	tr, rng := New[int](), rand.New(rand.NewPCG(1, 1))
	const engines = 1200
	for i := range 4 * maxHoldings {
		tr.Sent(rng.IntN(engines), Engine{Memory: 1 << 30}, prompt(uint64(i))).Ended(true)
	}
	for i := range engines {
		tr.Sent(i, Engine{Memory: 1 << 30}, prompt(1)).Ended(true)
	}
	if n := tr.Holdings(); n > maxHoldings || len(tr.holders) > maxHoldings || len(tr.engines) > engines {
		t.Errorf("%d holdings of %d prefixes at %d engines", n, len(tr.holders), len(tr.engines))
	}
	if n := len(tr.Kept(prompt(1))); n > maxHolders {
		t.Errorf("%d engines are tracked as holders of one prefix", n)
	}
}

// engineTrial feeds a tracker and a simulated engine's cache with the same requests.
type engineTrial struct {
	cache *enginemodel.PrefixCache
	rng   *rand.Rand
}

const (
	trialBlock    = 50 // tokens, of one byte each
	trialBlocks   = 60
	trialPrefixes = 40
)

func newEngineTrial(seed uint64) *engineTrial {
	return &engineTrial{enginemodel.NewPrefixCache(trialBlocks, trialBlock), rand.New(rand.NewPCG(seed, 1))}
}

// request returns the text and the description of a request with a prefix of two blocks and a rest of one.
func (e *engineTrial) request() (string, *Prompt) {
	shared := strings.Repeat(fmt.Sprintf("%0*d", trialBlock, e.rng.IntN(trialPrefixes)), 2)
	text := shared + fmt.Sprintf("%0*d", trialBlock, e.rng.Uint64())
	return text, &Prompt{Tokens: len(text), Prefixes: []Prefix{{Hash: xxhash.Sum64String(shared), Tokens: len(shared)}}}
}

// TestEstimateFollowsEngine guards against an estimate that is often wrong about an engine all of whose requests the
// process sends, and against one that takes the prefixes of other processes' requests for kept.
func TestEstimateFollowsEngine(t *testing.T) {
	const requests = 20000
	for processes, maxWrong := range map[int]float64{1: 0.01, 3: 0.35} {
		e, wrong := newEngineTrial(1), 0
		trackers := make([]*Tracker[string], processes)
		for i := range trackers {
			trackers[i] = New[string]()
		}
		state := Engine{Memory: trialBlocks * trialBlock, Share: 1 / float64(processes)}
		for range requests {
			text, p := e.request()
			u := trackers[e.rng.IntN(processes)].Sent("e", state, p)
			if cached := e.cache.Lookup(text) >= 2*trialBlock; cached != (u.Kept > 0) {
				wrong++
			}
			u.Ended(true)
		}
		if share := float64(wrong) / requests; share > maxWrong {
			t.Errorf("%d processes: wrong about %.3f of the requests, want at most %.2f", processes, share, maxWrong)
		}
	}
}

// TestLostEvents guards against a prefix that counts as kept because the event of its eviction was lost, and against
// events that make the estimate of the process's own requests worse.
func TestLostEvents(t *testing.T) {
	e, tr, after, hits := newEngineTrial(2), New[string](), 0, 0
	for range 5000 {
		text, p := e.request() // of another process
		if keptAt(tr, "e", p) > 0 {
			hits++
		}
		e.cache.Lookup(text)
		var events []Event
		for _, ev := range e.cache.Events(after, 4, 10) {
			events = append(events, Event{Seq: ev.Seq, Stored: ev.Stored, Prefix: Prefix{Hash: ev.Block, Tokens: 2 * trialBlock}})
			after = ev.Seq
		}
		tr.Observe("e", events)
	}
	if n := tr.Holdings(); hits == 0 || n > trialBlocks {
		t.Errorf("%d hits; %d blocks are believed to be kept, of which the engine holds %d at most", hits, n, trialBlocks)
	}
	tr.Observe("e", []Event{{Seq: after + 100, Stored: true, Prefix: Prefix{Hash: 1, Tokens: 100}}})
	if tr.Holdings() != 1 {
		t.Errorf("%d holdings after a gap, want that of the latest event", tr.Holdings())
	}
	own := tr.Sent("e", Engine{}, prompt(7))
	tr.Observe("e", []Event{{Seq: after + 200, Stored: true, Prefix: Prefix{Hash: 2, Tokens: 100}}})
	if keptAt(tr, "e", prompt(7)) == 0 {
		t.Error("a gap has dropped the prefix of the process's own request")
	}
	own.Ended(true)
	tr.Observe("e", []Event{{Seq: after + 201, Prefix: Prefix{Hash: 7}}})
	if keptAt(tr, "e", prompt(7)) > 0 {
		t.Error("a prefix counts as kept after the event of its eviction")
	}
}

// TestOfText guards against prefixes of a text that depend on what follows them, or that are the same for other models or
// adapters.
func TestOfText(t *testing.T) {
	text := fmt.Sprintf("%02000d", 7)
	p, longer := OfText("m", "a", text), OfText("m", "a", text+"x")
	if n := len(p.Prefixes); n != 3 || p.Shared() != 256 || p.Tokens != 500 {
		t.Errorf("%d prefixes, the longest of %d tokens of %d", n, p.Shared(), p.Tokens)
	}
	if fmt.Sprint(p.Prefixes) != fmt.Sprint(longer.Prefixes) {
		t.Error("the prefixes depend on the rest of the text")
	}
	for _, other := range []Prompt{OfText("n", "a", text), OfText("m", "b", text), OfText("m", "a", "x"+text)} {
		if other.Prefixes[0] == p.Prefixes[0] {
			t.Error("another prompt has the same prefix")
		}
	}
	if n := len(OfText("m", "a", text[:255]).Prefixes); n != 0 {
		t.Errorf("%d prefixes of a text shorter than a block", n)
	}
	if n := len(OfParts([]Part{{"a", 40}, {"b", 0}, {"c", 5}})); n != 1 {
		t.Errorf("%d prefixes of a prompt whose second part has no length, want 1", n)
	}
}

// BenchmarkSentAndKept measures a lookup and the record of one request at 1,200 engines.
func BenchmarkSentAndKept(b *testing.B) {
	tr, rng := New[int](), rand.New(rand.NewPCG(1, 1))
	for i := 0; b.Loop(); i++ {
		p := prompt(rng.Uint64N(5000))
		tr.Kept(p)
		tr.Sent(rng.IntN(1200), Engine{Memory: 20000, Share: 1}, p).Ended(true)
	}
}
