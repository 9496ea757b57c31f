// Package soak_test starts the real programs as separate processes against stand-ins of the users' platform, injects
// faults that a seed selects, and checks the guarantees of the system against what clients and targets observe.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
)

var (
	seeds     = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("first", 2, "first seed; every third one brings planned work only, the next ones joint restarts too")
	length    = flag.Duration("length", 8*time.Second, "time in which faults start")
	together  = flag.Int("together", 2, "seeds that run at the same time")
	logDir    = flag.String("logs", "", "directory for the logs of seeds that failed")
)

const (
	// recoveryTime is the time after the last fault within which the system must serve as before the faults.
	recoveryTime = 5 * time.Second
	// recoveredShare is the minimum share of requests that must be served after recoveryTime. It is below 1 since entries
	// may still avoid targets because of their last responses.
	recoveredShare = 0.9
	recoveryProbes = 60
	// plannedSeedPeriod is the period of the seeds that run operator actions only. In the seeds after these, several processes
	// are restarted together besides other faults, and engines report old states.
	plannedSeedPeriod = 3
)

// regressions lists seeds that failed in an earlier run, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{9308, "bytes without end that begin like an answer to an order: a step with two maps"},
	{9323, "the same"},
	{9344, "the same"},
}

var programs struct {
	sync.Once
	dir string
	err error
}

// buildPrograms builds the programs once for all seeds and returns their directory.
func buildPrograms(t *testing.T) string {
	programs.Do(func() {
		if programs.dir, programs.err = os.MkdirTemp("", "soak"); programs.err == nil {
			programs.err = localfleet.Build(programs.dir)
		}
	})
	if programs.err != nil {
		t.Fatal(programs.err)
	}
	return programs.dir
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if programs.dir != "" {
		_ = os.RemoveAll(programs.dir) // the operating system removes what is left in its temporary directory
	}
	os.Exit(code)
}

// TestSoak guards against violations that occur only when several faults overlap.
func TestSoak(t *testing.T) {
	slot := make(chan struct{}, *together)
	soak := func(seed uint64, name string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slot <- struct{}{}
			defer func() { <-slot }()
			runSeed(t, seed, (*system).injectFaults)
		})
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		soak(seed, fmt.Sprintf("seed=%d", seed))
	}
	for _, r := range regressions {
		soak(r.seed, fmt.Sprintf("regression=%d", r.seed))
	}
}

// restartSeeds are the seeds of the test of restarts of all processes. Engines ignore fencing numbers with seed 7 only. Seeds
// 25 and 49 failed in some runs, when a coordinator disarmed ranks and released the hold although the report of a
// rank was older than the switch.
var restartSeeds = []uint64{7, 25, 49}

// TestRestartOfAllProcesses guards against a step with two maps, and a group that stays held, after processes were killed
// together while ranks were being armed. The first process that runs again reads engines over the network, which report a
// state of some seconds ago.
func TestRestartOfAllProcesses(t *testing.T) {
	for _, seed := range restartSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, func(w *system, ctx context.Context) { w.injectRestarts(ctx, w.rng, frequentRestartGap) })
		})
	}
}

// runSeed runs the system with clients and the faults of one seed, and checks the guarantees at the end.
func runSeed(t *testing.T, seed uint64, injectFaults func(w *system, ctx context.Context)) {
	w := newSystem(t, buildPrograms(t), seed)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if w.restartsTogether {
		w.reportOldStates(ctx)
	}
	var load sync.WaitGroup
	load.Go(func() { w.runClients(ctx, seed) })
	go w.shiftPopularity(ctx, rand.New(rand.NewPCG(seed, 3)))
	sendsPart := seed%crashPartSeedPeriod == 0 && !w.plannedOnly
	if sendsPart {
		time.Sleep(timeBeforePart)
		w.beginPart(rand.New(rand.NewPCG(seed, 4)))
	}
	faulty, end := context.WithTimeout(ctx, *length)
	defer end()
	var evacuations sync.WaitGroup
	evacuations.Go(func() { w.injectEvacuations(faulty, rand.New(rand.NewPCG(seed, 5))) })
	injectFaults(w, faulty)
	evacuations.Wait()
	if sendsPart {
		time.Sleep(timeOfPartAlone)
		w.endPart()
	}
	before := w.group.Step()
	time.Sleep(recoveryTime)
	if w.group.Step() <= before+int64(recoveryTime/groupStepTime)/2 {
		t.Errorf("the group made %d steps in the %v after the last fault", w.group.Step()-before, recoveryTime)
	}
	w.probeRecovery(seed)
	stop()
	load.Wait()
	w.checkGroup()
	w.checkMemory()
	for _, f := range w.recorder.checkAll() {
		t.Error(f)
	}
	for _, n := range w.recorder.notes {
		t.Log(n)
	}
	w.summary()
	if t.Failed() && *logDir != "" {
		w.keepLogs(seed)
	}
}

// probeRecovery checks that requests are served again after all faults have ended.
func (w *system) probeRecovery(seed uint64) {
	var ids atomic.Int64
	ids.Store(1_000_000)
	c := &client{system: w, rng: rand.New(rand.NewPCG(seed, 2)), http: &http.Client{}, ids: &ids}
	served := 0
	var last *clientRequest
	for range recoveryProbes {
		if out := c.request(c.drawRequest()); out.Status == http.StatusOK && out.Complete {
			served++
		} else {
			last = out
		}
	}
	if float64(served) < recoveredShare*recoveryProbes {
		w.recorder.locked(func() {
			w.recorder.addViolation(last, "%v after the last fault, only %d of %d requests were served", recoveryTime, served, recoveryProbes)
		})
	}
}

// checkGroup checks that all ranks used the same map in every step, and that the map was changed at least once.
func (w *system) checkGroup() {
	if err := w.group.MixedMaps(); err != nil {
		w.t.Error(err)
	}
	if w.group.Switches() == 0 {
		w.t.Error("the map was never changed, so that the run does not check map changes")
	}
}

// checkMemory checks that no process has come near the memory of its VM.
func (w *system) checkMemory() {
	for _, n := range w.nodes() {
		n.mu.Lock()
		pid := n.process.PID()
		n.mu.Unlock()
		if mb := peakMemoryMB(w.t, pid); mb > nodeMemoryMB/2 {
			w.t.Errorf("%s: %d MB resident, want at most half of %d MB", n.name, mb, nodeMemoryMB)
		}
	}
}

// nodeMemoryMB is the memory of the VM of each process in megabytes.
const nodeMemoryMB = 152

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(t *testing.T, pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	kb := 0
	if _, rest, ok := strings.Cut(string(data), "VmHWM:"); ok {
		_, err = fmt.Sscan(rest, &kb)
	}
	if err != nil || kb == 0 {
		t.Errorf("no resident memory in the status of process %d", pid)
	}
	return kb >> 10
}

func (w *system) summary() {
	served, refused, broken := 0, 0, 0
	w.recorder.locked(func() {
		for _, c := range w.recorder.clientRequests {
			switch {
			case c.Status == http.StatusOK && c.Complete:
				served++
			case c.Status == 0 || !c.Complete:
				broken++
			default:
				refused++
			}
		}
	})
	w.t.Logf("%d served, %d refused or failed, %d without a complete response; %d configurations, %d changes of the map", served, refused, broken,
		w.published(), w.group.Switches())
}

// keepLogs writes the logs of all processes of the run to the directory of the flag -logs.
func (w *system) keepLogs(seed uint64) {
	trace := filepath.Join(*logDir, fmt.Sprintf("soak-%d-group.log", seed))
	if err := os.WriteFile(trace, []byte(strings.Join(w.recorder.trace, "\n")), 0o600); err != nil {
		w.t.Error(err)
	}
	for i, p := range w.fleet.Processes {
		name := filepath.Join(*logDir, fmt.Sprintf("soak-%d-%d-%s.log", seed, i, p.Name))
		if err := os.WriteFile(name, []byte(p.Log()), 0o600); err != nil {
			w.t.Error(err)
		}
	}
}
