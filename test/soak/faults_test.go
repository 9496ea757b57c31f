package soak_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

const (
	// maxFaultGap is the longest pause between the starts of two series of faults. It is shorter than the longest fault,
	// so that faults overlap.
	maxFaultGap  = 900 * time.Millisecond
	maxFaultTime = 2500 * time.Millisecond
	// maxFaultSeries is the maximum number of faults of one kind that are started without a pause.
	maxFaultSeries = 3
	// shiftInterval is the time between two changes of the popular experts. A change of the map takes about 300 ms.
	shiftInterval = 600 * time.Millisecond
	// lateOrderShare is the share of orders that are carried out late while lateOrders is in force.
	lateOrderShare = 0.35
	// endlessPeriod is the number of calls to engines of which one gets an answer without end while endlessEngineAnswers is in
	// force.
	endlessPeriod = 20
)

// fault is one kind of fault or operator action. Its function do starts the fault, waits and ends it, on a goroutine
// of its own.
type fault struct {
	name    string
	planned bool // an operator action, not a failure
	do      func(w *system, rng *rand.Rand)
}

// faults lists all kinds of faults. A seed selects faults by their index, so that a change of the order changes the
// run of every seed.
var faults = []fault{
	{"restart", true, func(w *system, rng *rand.Rand) { w.restart(rng, syscall.SIGTERM, true) }},
	{"kill", false, func(w *system, rng *rand.Rand) { w.restart(rng, syscall.SIGKILL, false) }},
	{"freeze", false, (*system).suspend},
	{"reload", true, (*system).reload},
	{"cut target", false, func(w *system, rng *rand.Rand) { w.disruptLink(rng, func(l *faultproxy.Link) { l.Cut() }) }},
	{"silence target", false, func(w *system, rng *rand.Rand) { w.disruptLink(rng, (*faultproxy.Link).Hold) }},
	{"silence answers", false, func(w *system, rng *rand.Rand) { w.disruptLink(rng, (*faultproxy.Link).HoldResponses) }},
	{"partition target", false, func(w *system, rng *rand.Rand) { w.disruptLink(rng, (*faultproxy.Link).Partition) }},
	{"disrupt requests", false, (*system).disruptRequests},
	{"store", false, (*system).storeFault},
	{"store of one entry", false, (*system).storeCut},
	{"history", false, func(w *system, _ *rand.Rand) { defer w.recorder.beginFault("history", false)(); w.store.DropHistory() }},
	{"answer mode", false, (*system).changeAnswerMode},
	{"leave", true, (*system).replace},
	{"crash", false, (*system).crash},
	{"group", false, (*system).breakGroup},
	{"late orders", false, (*system).lateOrders},
	{"configuration", true, func(w *system, _ *rand.Rand) { w.publish() }},
	{"restore store", false, (*system).restoreStore},
	{"leave by answers", true, (*system).leaveByAnswers},
	{"endless engine answers", false, (*system).endlessEngineAnswers},
}

// injectFaults starts faults until ctx ends, and returns when all have ended.
func (w *system) injectFaults(ctx context.Context) {
	var together sync.WaitGroup
	defer together.Wait()
	if w.restartsTogether {
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), 0))
		together.Go(func() { w.injectRestarts(ctx, rng, maxRestartGap) })
	}
	running := make(chan struct{})
	started := 0
	for ctx.Err() == nil {
		f := faults[w.rng.IntN(len(faults))]
		if w.plannedOnly && !f.planned {
			continue
		}
		for range 1 + w.rng.IntN(maxFaultSeries) {
			rng := rand.New(rand.NewPCG(w.rng.Uint64(), 0))
			w.t.Logf("%s %s", time.Now().Format("05.000"), f.name)
			started++
			go func() { f.do(w, rng); running <- struct{}{} }()
		}
		time.Sleep(time.Duration(w.rng.Int64N(int64(maxFaultGap))))
	}
	for range started {
		<-running
	}
}

// randomFaultTime draws the duration of a fault.
func randomFaultTime(rng *rand.Rand) time.Duration {
	return time.Duration(rng.Int64N(int64(maxFaultTime)))
}

// entry draws an entry.
func (w *system) entry(rng *rand.Rand) *node { return w.entries[rng.IntN(len(w.entries))] }

// node draws an entry or, with the same probability, a process beside a rank.
func (w *system) node(rng *rand.Rand) *node {
	if rng.IntN(2) == 0 {
		return w.ranks[rng.IntN(len(w.ranks))]
	}
	return w.entry(rng)
}

// restart ends a process with a signal and starts it again after a random time.
func (w *system) restart(rng *rand.Rand, s syscall.Signal, planned bool) {
	e := w.node(rng)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	defer w.recorder.beginFault("restart of "+e.name, planned)()
	w.end(e, s)
	time.Sleep(randomFaultTime(rng) / 2)
	w.writeSettings(e, false)
	w.start(e)
	w.awaitReady(e)
}

// awaitReady waits until a process is ready, but not longer than maxFaultTime.
func (w *system) awaitReady(e *node) {
	for end := time.Now().Add(maxFaultTime); time.Now().Before(end) && !e.isReady(); {
		time.Sleep(20 * time.Millisecond)
	}
}

// suspend suspends a process for a random time.
func (w *system) suspend(rng *rand.Rand) {
	e := w.node(rng)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	defer w.recorder.beginFault("freeze of "+e.name, false)()
	if e.process.Suspend() != nil {
		return // the process has ended
	}
	time.Sleep(randomFaultTime(rng))
	if err := e.process.Resume(); err != nil {
		w.t.Errorf("%s: %v", e.name, err)
	}
}

// reload writes the settings of a process again and makes it read them.
func (w *system) reload(rng *rand.Rand) {
	e := w.node(rng)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	defer w.recorder.beginFault("reload of "+e.name, true)()
	w.writeSettings(e, false)
	if err := e.process.Signal(syscall.SIGHUP); err != nil {
		w.t.Errorf("%s: %v", e.name, err)
	}
}

// drawTarget draws a service and one of its targets, so that a service with many targets gets no more faults.
func (w *system) drawTarget(rng *rand.Rand) *proxiedTarget {
	list := w.targetsOf([]string{"draft", "desk", "chat"}[rng.IntN(3)])
	return list[rng.IntN(len(list))]
}

// targetsOf returns all targets of a service.
func (w *system) targetsOf(service string) []*proxiedTarget {
	return slices.DeleteFunc(w.allTargets(), func(r *proxiedTarget) bool { return r.service != service })
}

// disruptLink applies a fault to the link of one target for a random time.
func (w *system) disruptLink(rng *rand.Rand, do func(*faultproxy.Link)) {
	r := w.drawTarget(rng)
	defer w.recorder.beginFault("link to "+r.id, false)()
	do(r.link)
	time.Sleep(randomFaultTime(rng))
	r.link.Heal()
}

// disruptRequests delays or cuts off a share of the requests to one target.
func (w *system) disruptRequests(rng *rand.Rand) {
	r := w.drawTarget(rng)
	defer w.recorder.beginFault("requests to "+r.id, false)()
	// Duplicate and redelivered requests are left out, as the network of the users' platform does not send data again.
	r.link.SetPlan(faultproxy.Seeded(rng.Uint64(), faultproxy.Rates{
		CutRequest: 0.1, CutResponse: 0.1, Delay: 0.2, MaxBytes: 400, MaxWait: 200 * time.Millisecond,
	}))
	time.Sleep(randomFaultTime(rng))
	r.link.SetPlan(nil)
}

// storeFault makes the store unavailable to all processes for a random time.
func (w *system) storeFault(rng *rand.Rand) {
	if !w.storeBusy.TryLock() {
		return
	}
	defer w.storeBusy.Unlock()
	defer w.recorder.beginFault("store", false)()
	w.store.SetMode([]store.Mode{store.Busy, store.TooManyRequests, store.Reset, store.Silent}[rng.IntN(4)])
	time.Sleep(randomFaultTime(rng))
	w.store.SetMode(store.Up)
}

// storeCut disrupts the link between one entry and the store for a random time.
func (w *system) storeCut(rng *rand.Rand) {
	e := w.entry(rng)
	defer w.recorder.beginFault("store of "+e.name, false)()
	if rng.IntN(2) == 0 {
		e.store.Partition()
	} else {
		e.store.Cut()
	}
	time.Sleep(randomFaultTime(rng))
	e.store.Heal()
}

// changeAnswerMode makes a target answer in a faulty mode for a random time. A mode for continuations applies to all
// targets of a service with streams, since another target than the one that broke off continues a stream.
func (w *system) changeAnswerMode(rng *rand.Rand) {
	m := answerMode(1 + rng.IntN(int(answerModes)-1))
	list := []*proxiedTarget{w.drawTarget(rng)}
	if m >= failContinuation {
		list = w.targetsOf([]string{"draft", "chat"}[rng.IntN(2)])
	}
	defer w.recorder.beginFault("answer mode of "+list[0].id, false)()
	for _, r := range list {
		r.mode.Store(int32(m))
	}
	time.Sleep(randomFaultTime(rng))
	for _, r := range list {
		r.mode.Store(int32(sound))
	}
}

// replace starts a target and drains another one of the same service. The old target continues to serve for the drain
// bound and for the longest timeout of a request, and then ends.
func (w *system) replace(rng *rand.Rand) {
	old, err := w.takeRemovable(rng)
	if err != nil {
		return
	}
	end := w.recorder.beginFault("leave of "+old.id, true)
	w.addTarget(old.service, nil)
	w.beginLeave(old, rng.IntN(3) > 0)
	time.Sleep(drainBound)
	end()
	old.setState("")
	time.Sleep(routes[0].Timeout)
	old.close()
}

// leaveByAnswers starts a target and makes another one of the same service say in its answers that it leaves. Its entry
// in the platform's list stays until the drain bound is over.
func (w *system) leaveByAnswers(rng *rand.Rand) {
	old, err := w.takeRemovable(rng)
	if err != nil {
		return
	}
	end := w.recorder.beginFault("leave of "+old.id, true)
	w.addTarget(old.service, nil)
	old.leaving.Store(true)
	time.Sleep(2 * drainBound)
	end()
	old.setState("")
	time.Sleep(routes[0].Timeout)
	old.close()
}

// restoreStore makes the store come back from a copy that is some seconds old. The targets and the operator then write
// what they wrote before.
func (w *system) restoreStore(rng *rand.Rand) {
	if !w.storeBusy.TryLock() {
		return
	}
	defer w.storeBusy.Unlock()
	defer w.recorder.beginFault("store", false)()
	older := w.store.Copy()
	time.Sleep(randomFaultTime(rng))
	w.store.SetMode(store.Reset)
	time.Sleep(randomFaultTime(rng) / 4)
	w.store.Restore(older)
	w.store.SetMode(store.Up)
	time.Sleep(randomFaultTime(rng) / 2)
	w.publishAgain()
}

// crash ends a target at once. It stays on the platform's list for targetLease.
func (w *system) crash(rng *rand.Rand) {
	r, err := w.takeRemovable(rng)
	if err != nil {
		return
	}
	defer w.recorder.beginFault("crash of "+r.id, false)()
	r.close()
	time.Sleep(targetLease)
	r.setState("")
	w.addTarget(r.service, nil)
}

// breakGroup closes the group for a random time, as the loss of a rank does, and opens it in a new epoch.
func (w *system) breakGroup(rng *rand.Rand) {
	if !w.groupBusy.TryLock() {
		return
	}
	defer w.groupBusy.Unlock()
	defer w.recorder.beginFault("group", false)()
	w.group.Break()
	time.Sleep(randomFaultTime(rng))
	w.group.Form()
}

// shiftPopularity changes the popular experts until ctx ends. The map of the group then changes continuously, so that
// other faults meet every phase of a change.
func (w *system) shiftPopularity(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		w.group.SetPopular(rng.IntN(groupExperts - 1))
		time.Sleep(shiftInterval)
	}
}

// lateOrders makes the engines leave a share of the orders unanswered and carry them out later.
func (w *system) lateOrders(rng *rand.Rand) {
	defer w.recorder.beginFault("late orders", false)()
	w.group.SetLateShare(lateOrderShare)
	time.Sleep(randomFaultTime(rng))
	w.group.SetLateShare(0)
}

// endlessEngineAnswers makes the engines answer some calls with bytes without end.
func (w *system) endlessEngineAnswers(rng *rand.Rand) {
	defer w.recorder.beginFault("endless engine answers", false)()
	w.endlessEngines.Add(1)
	time.Sleep(randomFaultTime(rng))
	w.endlessEngines.Add(-1)
}
