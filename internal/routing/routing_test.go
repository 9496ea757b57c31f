package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/wire"
)

type fakeClock struct{ t time.Time }

func (c *fakeClock) Now() time.Time { return c.t }

func fleet(n int) []wire.VM {
	vms := make([]wire.VM, n)
	for i := range vms {
		vms[i] = wire.VM{Name: fmt.Sprintf("t%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), State: wire.StateLive}
	}
	return vms
}

func newRouter(seed uint64) (*Router, *fakeClock) {
	clock := &fakeClock{t: time.Unix(1000, 0)}
	return New(Options{DataCentre: "dc0", Clock: clock, Seed: seed}), clock
}

// promptWith returns a prompt of 900 tokens that begins with a prefix of 600, or with none for 0.
func promptWith(prefix uint64) promptcache.Prompt {
	p := promptcache.Prompt{Tokens: 900}
	if prefix != 0 {
		p.Prefixes = []promptcache.Prefix{{Hash: prefix, Tokens: 600}}
	}
	return p
}

// targetModel is the expected state of one target in TestPickKeepsToEligibleTargets.
type targetModel struct {
	drainUntil, openUntil time.Time
	backoff               time.Duration
}

// TestPickKeepsToEligibleTargets guards against a dispatch to a target that is leaving or draining, was already tried
// or has an open circuit, and against a target that stays excluded after the open period of its circuit.
func TestPickKeepsToEligibleTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, clock := newRouter(rapid.Uint64().Draw(t, "seed"))
		vms := fleet(rapid.IntRange(1, 6).Draw(t, "targets"))
		models := map[string]*targetModel{}
		for i := range vms {
			models[vms[i].Name] = &targetModel{}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.t = clock.t.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pass_ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				vms = append([]wire.VM(nil), vms...)
				vm := &vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")]
				vm.State = rapid.SampledFrom([]string{wire.StateLive, wire.StateLeaving}).Draw(t, "state")
			}
			var tried []string
			if rapid.Bool().Draw(t, "second") {
				tried = []string{vms[0].Name}
			}
			ok := map[string]bool{}
			for _, vm := range vms {
				m := models[vm.Name]
				open := m.backoff > 0 && clock.t.Before(m.openUntil)
				ok[vm.Name] = vm.State == wire.StateLive && !clock.t.Before(m.drainUntil) && !open &&
					!slices.Contains(tried, vm.Name)
			}
			c := r.Pick(&Query{Targets: vms, Tried: tried, Tokens: 10, MayProbe: rapid.Bool().Draw(t, "may_test"),
				Prompt: promptWith(rapid.Uint64Range(0, 3).Draw(t, "prefix"))})
			if c == nil {
				for name, eligible := range ok {
					if eligible {
						t.Fatalf("no choice although %s is eligible", name)
					}
				}
				continue
			}
			m := models[c.VM.Name]
			if !ok[c.VM.Name] {
				t.Fatalf("chose %s, which is not eligible", c.VM.Name)
			}
			if rapid.Bool().Draw(t, "report") {
				draining := rapid.Bool().Draw(t, "draining")
				c.Report(&wire.Load{Slots: 4, Draining: draining, WaitShort: time.Second})
				m.drainUntil = time.Time{}
				if draining {
					m.drainUntil = clock.t.Add(drainMarkDuration)
				}
			}
			f := rapid.SampledFrom([]Failure{NoVerdict, NoFailure, Unreachable}).Draw(t, "end")
			c.Done(f)
			switch f {
			case NoFailure:
				m.backoff = 0
			case Unreachable:
				m.backoff = min(maxBackoff, max(firstBackoff, 2*m.backoff))
				m.openUntil = clock.t.Add(m.backoff)
			}
		}
	})
}

// TestPickFollowsLoad guards against a score that ignores a part of the load report.
func TestPickFollowsLoad(t *testing.T) {
	long := &wire.Load{Slots: 4, WaitShort: 10 * time.Millisecond, WaitLong: time.Second}
	for _, c := range []struct {
		name   string
		short  bool
		load   *wire.Load
		dc     string
		passed time.Duration
		picked bool // whether the prepared target is chosen at least once
	}{
		{"idle", true, &wire.Load{Slots: 4}, "dc0", 0, true},
		{"lane of long work", false, long, "dc0", 0, false},
		{"old report", false, long, "dc0", 11 * time.Second, true},
		{"wait that has passed", false, long, "dc0", 1100 * time.Millisecond, true},
		{"as idle but far", true, &wire.Load{Slots: 4}, "dc1", 0, false},
		{"taken slots", true, &wire.Load{Slots: 4, Running: 4}, "dc0", 0, false},
	} {
		r, clock := newRouter(1)
		vms := []wire.VM{{Name: "a", DataCentre: c.dc, State: wire.StateLive}}
		first := r.Pick(&Query{Targets: vms})
		first.Report(c.load)
		first.Done(NoFailure)
		clock.t = clock.t.Add(c.passed)
		vms = append(vms, wire.VM{Name: "b", DataCentre: "dc0", State: wire.StateLive})
		picked := false
		for range 200 {
			choice := r.Pick(&Query{Targets: vms, Short: c.short})
			picked = picked || choice.VM.Name == "a"
			choice.Report(&wire.Load{Slots: 4})
			choice.Done(NoFailure)
			if !c.picked && picked {
				break
			}
			p := r.pools[poolKey{}]
			p.recordReport(p.indexOf("a"), c.load, r.now()-c.passed)
			p.refresh(p.indexOf("a"), r.now())
		}
		if picked != c.picked {
			t.Errorf("%s: chosen %v, want %v", c.name, picked, c.picked)
		}
	}
}

// TestDispatchesSpread guards against sending many requests between two reports to one target, whatever the random
// draws, and against dispatches that leave work in the state of a target after their end.
func TestDispatchesSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, _ := newRouter(rapid.Uint64().Draw(t, "seed"))
		n := rapid.IntRange(2, 20).Draw(t, "targets")
		vms := fleet(n)
		counts := map[string]int{}
		var choices []*Choice
		for range 40 * n {
			c := r.Pick(&Query{Targets: vms, Tokens: 100, Prompt: promptWith(rapid.Uint64Range(0, 1).Draw(t, "prefix"))})
			counts[c.VM.Name]++
			choices = append(choices, c)
		}
		for name, got := range counts {
			if got > 80 {
				t.Fatalf("%s got %d of %d requests on %d targets", name, got, 40*n, n)
			}
		}
		for _, c := range choices {
			c.Done(NoFailure)
		}
		for _, tg := range r.pools[poolKey{}].targets {
			if tg.inFlight != 0 || tg.pending != 0 || tg.pendingTokens != 0 {
				t.Fatalf("work left after all dispatches ended: %+v", tg)
			}
		}
	})
}

// TestPrefixAffinity guards against a prefix that moves between idle targets, that moves when an unrelated
// target leaves, or that overloads its preferred target.
func TestPrefixAffinity(t *testing.T) {
	r, _ := newRouter(1)
	vms := fleet(20)
	pick := func(vms []wire.VM, prefix uint64) string {
		c := r.Pick(&Query{Targets: vms, Prompt: promptWith(prefix)})
		defer c.Done(NoFailure)
		return c.VM.Name
	}
	moved := 0
	for prefix := uint64(1); prefix <= 100; prefix++ {
		home := pick(vms, prefix)
		if again := pick(vms, prefix); again != home {
			t.Errorf("prefix %d went to %s and then to %s", prefix, home, again)
		}
		if pick(vms[1:], prefix) != home {
			moved++
		}
	}
	if moved > 15 {
		t.Errorf("%d of 100 prefixes moved when one of 20 targets left", moved)
	}
	used := map[string]bool{}
	for range 60 {
		used[r.Pick(&Query{Targets: vms, Prompt: promptWith(7)}).VM.Name] = true
	}
	if len(used) < 10 {
		t.Errorf("60 requests with one prefix used only %d targets", len(used))
	}
}

// BenchmarkPick measures a decision over a small fleet and over the 1200 targets that are planned for in two years. The
// bounds are 20 us and a number of allocations that does not grow with the fleet.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 1200} {
		for _, prefix := range []uint64{0, 42} {
			b.Run(fmt.Sprintf("targets=%d/prefix=%d", n, prefix), func(b *testing.B) {
				r, _ := newRouter(1)
				vms := fleet(n)
				b.ReportAllocs()
				for b.Loop() {
					r.Pick(&Query{Targets: vms, Tokens: 100, Prompt: promptWith(prefix)}).Done(NoFailure)
				}
			})
		}
	}
}
