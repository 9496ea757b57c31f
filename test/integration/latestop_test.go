package integration

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/test/standin"
)

const (
	// lateWorkers is the number of callers that send requests during a stop, each on a connection that it keeps.
	lateWorkers = 8
	// lateTokens is the length of a stream that takes much longer than those before it and than the drain delay.
	lateTokens = 200
	// lateStep is the time between two callers' first late requests.
	lateStep = 40 * time.Millisecond
)

// TestLateRequestIsNotCut guards against a stream or a call that an entry or a local process lets start during its planned stop, and
// cuts because it takes longer than those before it. The requests of callers begin around the end of the drain delay.
func TestLateRequestIsNotCut(t *testing.T) {
	for name, stopped := range map[string]func(*fleet) *localfleet.Node{
		"entry":                   func(f *fleet) *localfleet.Node { return f.entries[0] },
		"local process of engine": func(f *fleet) *localfleet.Node { return f.targets[0] },
		"local process of desk":   func(f *fleet) *localfleet.Node { return f.targets[1] },
	} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, false, 1, engines(1, "-step", "10ms", "-slots", "64"), desks(1, "-took", "800ms"))
			parallel(lateWorkers, 4*lateWorkers, func(i int) { draft(f.entries[0].Callers, fmt.Sprint("short ", i), 3) })
			n := stopped(f)
			check(t, n.Signal(syscall.SIGTERM))
			var callers sync.WaitGroup
			for i := range lateWorkers {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * lateStep)
					sendLateStream(t, f, i)
				})
				callers.Go(func() {
					time.Sleep(time.Duration(i) * lateStep)
					body := fmt.Sprint("late ", i)
					if got := call(f.entries[0].Callers, "reserve", body, "", 10*time.Second); !isWholeOrNotRun(got) && f.deskRuns(t)["reserve "+body] > 0 {
						t.Errorf("call %d: told %+v", i, got)
					}
				})
			}
			callers.Wait()
			check(t, localfleet.Terminate(n))
			if code := n.ExitCode(); code != 0 {
				t.Errorf("exit code %d", code)
			}
		})
	}
}

// sendLateStream sends a long stream and checks its answer.
func sendLateStream(t *testing.T, f *fleet, i int) {
	prompt := fmt.Sprint("late ", i)
	got := draftStream(f.entries[0].Callers, prompt, lateTokens, func() {})
	cut := !isWholeOrNotRun(got) && got.text != ""
	if want := strings.Join(standin.Words("wording", prompt, lateTokens), ""); cut || got.outcome == outcome.Completed && got.text != want {
		t.Errorf("stream %d: told %q %s, %d of %d bytes, %v", i, got.outcome, got.reason, len(got.text), len(want), got.err)
	}
	t.Logf("stream %d: %q %s", i, got.outcome, got.reason)
}

// isWholeOrNotRun reports whether a request was completed or refused as not run.
func isWholeOrNotRun(got callerResult) bool {
	return got.outcome == outcome.Completed || got.outcome == outcome.NotRun
}
