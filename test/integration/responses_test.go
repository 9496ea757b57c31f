package integration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/harness"
	"github.com/camphorbank/camphorbank/test/standin"
)

// TestResponsesAreWholeAndOwn guards against a response that is mixed up with another caller's, cut short or doubled,
// when many callers use the same client_request_id, streams break, stall, are delayed and resumed, and local
// processes are killed.
func TestResponsesAreWholeAndOwn(t *testing.T) {
	seed := seedOf(t)
	f := startFleet(t, true, 2, engines(3, "-step", "2ms"))
	for i, n := range f.targets {
		check(t, localfleet.PutJSON(n.TargetURL+"/admin/faults", standin.EngineFaults{BreakEvery: 7, BreakAfter: 5, StallEvery: 11, StallAfter: 3, StallFor: 400 * time.Millisecond}))
		harness.LinksOf(n).Data.SetPlan(faultproxy.Seeded(seed+uint64(i), faultproxy.Rates{CutRequest: 0.02, CutResponse: 0.15, Delay: 0.05, Redeliver: 0.02, Duplicate: 0.05,
			MaxBytes: 4000, MaxWait: 300 * time.Millisecond}))
	}
	const callers = 600
	var mu sync.Mutex
	outcomes, wrong := map[outcome.Outcome]int{}, 0
	progress := make(chan struct{}, callers)
	var killer sync.WaitGroup
	killer.Go(func() {
		for i := range 2 { // a third and two thirds into the run
			for range callers / 3 {
				<-progress
			}
			f.targets[i].Kill()
			if err := f.Restart(f.targets[i]); err != nil {
				t.Error(err)
			}
		}
	})
	parallel(24, callers, func(i int) {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		prompt, tokens := fmt.Sprintf("Karte %d", i), 5+rng.IntN(60)
		addr := f.entries[i%2].Callers
		var got callerResult
		if rng.IntN(2) == 0 {
			got = draft(addr, prompt, tokens)
		} else {
			got = draftStream(addr, prompt, tokens, func() {})
		}
		want := strings.Join(standin.Words("wording", prompt, tokens), "")
		mu.Lock()
		defer mu.Unlock()
		outcomes[got.outcome]++
		switch {
		case got.outcome == outcome.Completed && got.text != want, !strings.HasPrefix(want, got.text):
			if wrong++; wrong == 1 {
				t.Errorf("draft %d: %s with %q, want %q", i, got.outcome, got.text, want)
			}
		case got.outcome == "":
			t.Errorf("draft %d: no answer: %v", i, got.err)
		}
		progress <- struct{}{}
	})
	killer.Wait()
	resumed := 0
	for _, n := range f.targets {
		var s standin.EngineStats
		check(t, localfleet.GetJSON(n.TargetURL+"/admin/stats", &s))
		resumed += s.Resumed
	}
	t.Logf("outcomes %v, %d with wrong text, %d streams resumed at engines", outcomes, wrong, resumed)
	if outcomes[outcome.Completed] < callers*95/100 || resumed == 0 {
		t.Errorf("%d of %d drafts completed, %d resumed", outcomes[outcome.Completed], callers, resumed)
	}
}
