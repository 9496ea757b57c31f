// Package soak_test runs the real programs as separate processes against stand-ins of the users' platform, disturbs them
// from outside in ways that a seed draws, and judges the promises from what clients and targets see.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
)

var (
	seeds     = flag.Int("seeds", 2, "number of seeds to run")
	firstSeed = flag.Uint64("first", 2, "first seed; every third one brings planned work only")
	length    = flag.Duration("length", 8*time.Second, "time in which faults start")
	together  = flag.Int("together", 2, "seeds that run at the same time")
	logDir    = flag.String("logs", "", "directory for the logs of seeds that failed")
)

const (
	// recovery is the time after the last fault in which the system must serve as before.
	recovery = 5 * time.Second
	// recoveredShare is the least share of requests that are served after that. Nothing is wrong any more then; the rest
	// is for targets that were judged bad by their last answers.
	recoveredShare = 0.9
	recoveryProbes = 60
	// plannedEvery is the period of the seeds in which nothing but planned work comes.
	plannedEvery = 3
)

// regressions are the seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

var programs struct {
	sync.Once
	dir string
	err error
}

// built builds the programs once for all seeds.
func built(t *testing.T) string {
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
		_ = os.RemoveAll(programs.dir) // the system clears its directory of temporary files
	}
	os.Exit(code)
}

// TestSoak guards against promises that are broken only when several faults come together.
func TestSoak(t *testing.T) {
	slot := make(chan struct{}, *together)
	soak := func(seed uint64, name string) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slot <- struct{}{}
			defer func() { <-slot }()
			runSeed(t, seed)
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

func runSeed(t *testing.T, seed uint64) {
	w := newWorld(t, built(t), rand.New(rand.NewPCG(seed, 1)))
	w.plannedOnly = seed%plannedEvery == 0
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var load sync.WaitGroup
	load.Go(func() { w.load(ctx, seed) })
	go w.shiftPopularity(ctx, rand.New(rand.NewPCG(seed, 3)))
	faulty, end := context.WithTimeout(ctx, *length)
	defer end()
	w.disturb(faulty)
	before := w.group.Step()
	time.Sleep(recovery)
	if w.group.Step() <= before+int64(recovery/groupStepTime)/2 {
		t.Errorf("the group made %d steps in the %v after the last fault", w.group.Step()-before, recovery)
	}
	w.probeRecovery(seed)
	stop()
	load.Wait()
	w.checkGroup()
	for _, f := range w.ledger.check() {
		t.Error(f)
	}
	w.summary()
	if t.Failed() && *logDir != "" {
		w.keepLogs(seed)
	}
}

// probeRecovery checks that requests are served again once all faults are over.
func (w *world) probeRecovery(seed uint64) {
	var ids atomic.Int64
	ids.Store(1_000_000)
	c := &client{world: w, rng: rand.New(rand.NewPCG(seed, 2)), http: &http.Client{}, ids: &ids}
	served := 0
	var last *call
	for range recoveryProbes {
		if out := c.request(c.draw()); out.Status == http.StatusOK && out.Complete {
			served++
		} else {
			last = out
		}
	}
	if float64(served) < recoveredShare*recoveryProbes {
		w.ledger.locked(func() {
			w.ledger.found(last, "%v after the last fault %d of %d requests were served", recovery, served, recoveryProbes)
		})
	}
}

// checkGroup checks that no step of the group had two maps, and that the map was changed at all.
func (w *world) checkGroup() {
	if err := w.group.Broken(); err != nil {
		w.t.Error(err)
	}
	if w.group.Switches() == 0 {
		w.t.Error("no change of the map: the run shows nothing of it")
	}
}

func (w *world) summary() {
	served, refused, broken := 0, 0, 0
	w.ledger.locked(func() {
		for _, c := range w.ledger.calls {
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
	w.t.Logf("%d served, %d answered otherwise, %d without an answer; %d configurations, %d changes of the map", served, refused, broken,
		w.published(), w.group.Switches())
}

// keepLogs writes what all processes of the run wrote.
func (w *world) keepLogs(seed uint64) {
	for i, p := range w.fleet.Processes {
		name := filepath.Join(*logDir, fmt.Sprintf("soak-%d-%d-%s.log", seed, i, p.Name))
		if err := os.WriteFile(name, []byte(p.Log()), 0o600); err != nil {
			w.t.Error(err)
		}
	}
}
