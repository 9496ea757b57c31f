package soak_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

const (
	// maxRestartGap is the longest pause between two restarts of several processes besides other faults, and
	// frequentRestartGap that without other faults.
	maxRestartGap      = 1500 * time.Millisecond
	frequentRestartGap = 300 * time.Millisecond
	// maxKillDelay is the longest time from an accepted order to arm a rank to the kill. A switch takes 100 to 300 ms.
	maxKillDelay = 150 * time.Millisecond
	// maxArmWait is the time after which processes are killed although no rank is being armed.
	maxArmWait = 3 * time.Second
	// maxStartDelay is the longest time from the kill of a process to its next start, and firstStartDelay that of the process
	// beside rank 0 if it is meant to be the first one.
	maxStartDelay   = time.Second
	firstStartDelay = 100 * time.Millisecond
	// maxEarlyKill is the longest time from a start to a further kill. A process needs about as long until it is ready.
	maxEarlyKill = 100 * time.Millisecond
	// earlyKillShare is the share of starts that are followed by a further kill. With less, all processes beside ranks run
	// again before a coordinator decides on what it has read from the engines.
	earlyKillShare = 0.6
)

// injectRestarts restarts several processes together again and again until ctx ends, and returns when all are ready.
func (w *system) injectRestarts(ctx context.Context, rng *rand.Rand, maxGap time.Duration) {
	for ctx.Err() == nil {
		w.restartTogether(rng)
		time.Sleep(time.Duration(rng.Int64N(int64(maxGap))))
	}
}

// restartTogether kills several processes at the same moment while ranks are being armed, and starts them again at drawn
// times. Engines leave some orders unanswered meanwhile, and carry them out later.
func (w *system) restartTogether(rng *rand.Rand) {
	defer w.recorder.beginFault("late orders", false)()
	w.group.SetLateShare([]float64{0, 0.1, lateOrderShare}[rng.IntN(3)])
	defer w.group.SetLateShare(0)
	w.awaitArming()
	time.Sleep(time.Duration(rng.Int64N(int64(maxKillDelay))))
	var starts sync.WaitGroup
	names := ""
	for _, e := range w.drawNodes(rng) {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 0))
		if !e.busy.TryLock() {
			continue
		}
		end := w.recorder.beginFault("restart of "+e.name, false)
		e.kill()
		names += " " + e.name
		starts.Go(func() {
			defer e.busy.Unlock()
			defer end()
			w.startAgain(rng, e)
		})
	}
	w.t.Logf("%s killed together:%s", time.Now().Format("05.000"), names)
	starts.Wait()
}

// drawNodes draws the processes that are killed together.
func (w *system) drawNodes(rng *rand.Rand) []*node {
	switch rng.IntN(6) {
	case 0, 1, 2:
		return w.ranks
	case 3:
		return w.entries
	case 4:
		return w.nodes()
	}
	var some []*node
	for _, e := range w.nodes() {
		if rng.IntN(2) == 0 {
			some = append(some, e)
		}
	}
	return some
}

// startAgain starts a killed process after a drawn time and waits until it is ready. It kills some processes again before.
// The coordinator beside rank 0 is often the first one, so that it has to read the engines of the other ranks itself.
func (w *system) startAgain(rng *rand.Rand, e *node) {
	w.writeSettings(e, false)
	longest, killShare := maxStartDelay, earlyKillShare
	if e == w.ranks[0] && rng.IntN(4) > 0 {
		longest, killShare = firstStartDelay, 0
	}
	for again := true; again; {
		w.end(e, syscall.SIGKILL)
		time.Sleep(time.Duration(rng.Int64N(int64(longest))))
		w.start(e)
		if again = rng.Float64() < killShare; again {
			time.Sleep(time.Duration(rng.Int64N(int64(maxEarlyKill))))
		}
	}
	w.awaitReady(e)
}

// kill kills the process of a node without waiting for its end.
func (e *node) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	*e.exitExpected = true
	_ = e.process.Signal(syscall.SIGKILL) // fails if the process has ended
}

// awaitArming waits until the next order to arm a rank has been accepted, but not longer than maxArmWait.
func (w *system) awaitArming() {
	before := w.armOrders.Load()
	for end := time.Now().Add(maxArmWait); time.Now().Before(end) && w.armOrders.Load() == before; {
		time.Sleep(time.Millisecond)
	}
}

// maxTraceLines bounds the kept trace of the group. The group's last 10 s have about 1,000 lines.
const maxTraceLines = 1000

// traceGroup keeps the last steps and orders of the group, and counts the orders to arm a rank that were accepted.
func (w *system) traceGroup(format string, args ...any) {
	const operation, result = 3, 8 // indices in args of an order
	if len(args) > result && args[operation] == expertgroup.Arm && args[result] == nil {
		w.armOrders.Add(1)
	}
	w.recorder.locked(func() { w.recorder.addTrace(format, args...) })
}
