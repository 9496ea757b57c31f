package balance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// promptModel describes a service whose engines process 75 prompt tokens in a millisecond and keep prompts.
func promptModel(keeps bool) *routetable.Service {
	e := *testModel.Engine
	e.PrefillRate, e.MemoryTokens, e.KeepsPrompts = 75000, 400000, keeps
	return &routetable.Service{Name: "m", Engine: &e}
}

// promptJob returns a job whose prompt of 800 tokens begins with a prefix of the given length.
func promptJob(list []*targetset.Target, keeps bool, prefix uint64, shared int) *Job {
	j := modelJob(list)
	j.Service = promptModel(keeps)
	j.Prompt = promptcache.Prompt{Tokens: shared + 760, Prefixes: []promptcache.Prefix{{Hash: prefix, Tokens: shared}}}
	return j
}

// acquire takes a place for a job that must get one.
func acquire(t *testing.T, b *Balancer, job *Job) *Lease {
	t.Helper()
	l, r := b.Acquire(context.Background(), job)
	if r != nil {
		t.Fatal(r)
	}
	return l
}

// serve serves a request of the job, and returns its target.
func serve(t *testing.T, b *Balancer, job *Job) *targetset.Target {
	t.Helper()
	l := acquire(t, b, job)
	l.EventReceived(0)
	l.Done(Served)
	return l.Target
}

// TestShortPrefixChangesNothing guards against prefixes that influence the choice of a target although processing them
// takes less time than the score can tell apart.
func TestShortPrefixChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := engines(24)
		for i, target := range list {
			target.DataCentre = []string{"near", "far"}[i%2]
		}
		choices := func(shared int) string {
			rng := rand.New(rand.NewPCG(1, 1))
			b := New("near", time.Now)
			b.Random = rng.Float64
			b.UpdateGroup(groupReport("g1", 1, list[:12], 1.1))
			b.UpdateGroup(groupReport("g2", 1, list[12:], 1.2))
			order := rand.New(rand.NewPCG(2, 2))
			var running []*Lease
			out := ""
			for range 3000 {
				if n := len(running); n > 100 || n > 0 && order.IntN(3) == 0 {
					i := order.IntN(n)
					running[i].EventReceived(0)
					running[i].Done(Served)
					running[i] = running[n-1]
					running = running[:n-1]
					continue
				}
				job := promptJob(list, false, order.Uint64N(5)+1, shared)
				if shared == 0 {
					job.Prompt = promptcache.Prompt{}
				}
				l := acquire(t, b, job)
				running = append(running, l)
				out += l.Target.ID + " "
			}
			return out
		}
		if choices(40) != choices(0) {
			t.Error("a prefix of 40 tokens changes the choice of targets")
		}
		if choices(4000) == choices(0) {
			t.Error("a prefix of 4,000 tokens does not change the choice of targets")
		}
	})
}

// TestScoreWithoutPrompt guards against a change in the score of deployments whose engines keep nothing that matters: the
// time of a step and the distance, with a random part in proportion.
func TestScoreWithoutPrompt(t *testing.T) {
	b := New("near", time.Now)
	list := engines(2)
	list[1].DataCentre = "far"
	b.UpdateGroup(groupReport("g", 1, list, 1.3))
	for i, target := range list {
		for _, random := range []float64{0, 0.3, 0.999} {
			b.Random = func() float64 { return random }
			now := time.Now()
			g := b.groupOf(target, now)
			got, ok := b.score(target, modelJob(list), 3, g, &groupLoad{requests: 5, ranks: 2}, nil, now)
			latency := time.Duration(i) * remotePenalty
			want := (stepTime(testModel.Engine, 4, 3, 1.3, 1) + latency).Seconds() * (1 + random*scoreJitter)
			if !ok || got != want {
				t.Errorf("score %v, %v, want %v", got, ok, want)
			}
		}
	}
}

// TestKeptPrefixIsUsed guards against a prompt that is processed again although an engine that is as good holds its
// beginning, and against following one that holds it no longer.
func TestKeptPrefixIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name   string
			keeps  bool
			change func(b *Balancer, list []*targetset.Target, holder *targetset.Target)
			used   bool
		}{
			{"kept", true, nil, true},
			{"kept only in flight", false, nil, false},
			{"evicted in the meantime", true, func(b *Balancer, list []*targetset.Target, holder *targetset.Target) {
				for i := range 40 {
					serve(t, b, promptJob([]*targetset.Target{holder}, true, uint64(i+10), 15000))
				}
			}, false},
			{"restarted", true, func(b *Balancer, list []*targetset.Target, holder *targetset.Target) {
				for _, target := range list {
					if target == holder {
						target.StartedAtMs++
					}
				}
			}, false},
			{"slow", true, func(b *Balancer, list []*targetset.Target, holder *targetset.Target) {
				r := groupReport("g", 2, list, 1.1)
				for i := range r.Ranks {
					if r.Ranks[i].Engine == holder.Addr {
						r.Ranks[i].Pace = 40
					}
				}
				b.UpdateGroup(r)
			}, false},
		} {
			same := 0
			for range 20 {
				b, list := New("near", time.Now), engines(16)
				b.UpdateGroup(groupReport("g", 1, list, 1.1))
				job := promptJob(list, c.keeps, 1, 4000)
				holder := serve(t, b, job)
				if c.change != nil {
					c.change(b, list, holder)
				}
				if serve(t, b, job) == holder {
					same++
				}
			}
			if used := same == 20; used != c.used || !c.used && same > 8 {
				t.Errorf("%s: %d of 20 requests went to the holder", c.name, same)
			}
		}
	})
}

// TestPopularPrefixSpreads guards against one engine that gets all requests with a popular prefix: beyond the point at
// which the wait there costs more than processing the prefix, it is processed elsewhere, and kept there too.
func TestPopularPrefixSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list := New("near", time.Now), engines(16)
		b.UpdateGroup(groupReport("g", 1, list, 1.1))
		job := promptJob(list, true, 1, 4000)
		counts, spilled := map[string]int{}, 0
		for range 96 {
			l := acquire(t, b, job)
			counts[l.Target.ID]++
			if l.Spilled {
				spilled++
			}
		}
		most := 0
		for _, n := range counts {
			most = max(most, n)
		}
		if len(counts) < 10 || most > 12 || spilled == 0 {
			t.Errorf("96 requests went to %d engines, up to %d to one; %d spilled", len(counts), most, spilled)
		}
		full := engines(2)
		b = New("near", time.Now)
		b.UpdateGroup(groupReport("g", 1, full, 1.1))
		only := promptJob(full[:1], true, 1, 100000)
		only.Returning = true
		for range full[0].Slots {
			acquire(t, b, only).EventReceived(0)
		}
		only.Targets = func() []*targetset.Target { return full }
		if l := acquire(t, b, only); l.Target != full[1] {
			t.Error("a request went to a full engine that holds its prefix")
		}
	})
}

// TestPromptStateIsReleased guards against the expected work of a target that does not return to zero, and against
// prefixes of targets that are no longer listed.
func TestPromptStateIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list := New("near", time.Now), engines(4)
		rng := rand.New(rand.NewPCG(1, 1))
		var running []*Lease
		for i := range 30 {
			running = append(running, acquire(t, b, promptJob(list, true, uint64(i%3+1), 4000)))
		}
		for _, l := range running {
			if rng.IntN(2) == 0 {
				l.EventReceived(0)
				l.EventReceived(time.Millisecond)
			}
			l.Done([]Result{Served, Refused, CallerLeft}[rng.IntN(3)])
		}
		for _, s := range b.states {
			if s.unprocessed != 0 {
				t.Errorf("%v of work is left", s.unprocessed)
			}
		}
		b.Sweep(nil)
		if n := b.prompts.Holdings(); n != 0 {
			t.Errorf("%d holdings of targets that are not listed", n)
		}
	})
}

// BenchmarkDecision measures a decision over 1,200 engines in groups of 96 ranks, without and with prefixes that matter.
func BenchmarkDecision(b *testing.B) {
	const groups, ranks = 12, 100
	for _, shared := range []int{0, 40, 4000} {
		b.Run(fmt.Sprintf("targets=%d/shared=%d", groups*ranks, shared), func(b *testing.B) {
			balancer, list := New("near", time.Now), engines(groups*ranks)
			job := promptJob(list, true, 1, shared)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if i%1000 == 0 {
					for g := range groups {
						balancer.UpdateGroup(groupReport(fmt.Sprint("g", g), int64(i+1), list[g*ranks:(g+1)*ranks], 1.2))
					}
				}
				job.Prompt.Prefixes[0].Hash = uint64(i % 64)
				l, r := balancer.Acquire(context.Background(), job)
				if r != nil {
					b.Fatal(r)
				}
				l.Done(Served)
			}
		})
	}
}
