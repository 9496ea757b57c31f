package soak_test

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

const (
	// faultGap is the longest pause between the starts of two faults, so that they overlap.
	faultGap     = 900 * time.Millisecond
	longestFault = 2500 * time.Millisecond
	// series is the most faults of one kind that follow each other without a pause.
	series = 3
	// shiftInterval is the time between two shifts of popularity: a change of the map takes some 300 ms.
	shiftInterval = 600 * time.Millisecond
	// lateShare is the share of orders that are carried out late while that fault is in force.
	lateShare = 0.35
)

// fault brings one fault about and ends it. It is called on a goroutine of its own.
type fault struct {
	name    string
	planned bool // what operators do
	do      func(w *world, rng *rand.Rand)
}

// faults lists every kind of fault. The order is part of what a seed means.
var faults = []fault{
	{"restart", true, func(w *world, rng *rand.Rand) { w.restart(rng, syscall.SIGTERM, true) }},
	{"kill", false, func(w *world, rng *rand.Rand) { w.restart(rng, syscall.SIGKILL, false) }},
	{"freeze", false, (*world).freeze},
	{"reload", true, (*world).reload},
	{"cut target", false, func(w *world, rng *rand.Rand) { w.harm(rng, func(l *faultproxy.Link) { l.Cut() }) }},
	{"silence target", false, func(w *world, rng *rand.Rand) { w.harm(rng, (*faultproxy.Link).Hold) }},
	{"silence answers", false, func(w *world, rng *rand.Rand) { w.harm(rng, (*faultproxy.Link).HoldBack) }},
	{"partition target", false, func(w *world, rng *rand.Rand) { w.harm(rng, (*faultproxy.Link).Partition) }},
	{"spoil requests", false, (*world).spoil},
	{"store", false, (*world).storeFault},
	{"store of one entry", false, (*world).storeCut},
	{"history", false, func(w *world, _ *rand.Rand) { defer w.ledger.begin("history", false)(); w.store.DropHistory() }},
	{"manner", false, (*world).misbehave},
	{"leave", true, (*world).replace},
	{"crash", false, (*world).crash},
	{"group", false, (*world).breakGroup},
	{"late orders", false, (*world).lateOrders},
	{"configuration", true, func(w *world, _ *rand.Rand) { w.publish() }},
}

// disturb starts faults until ctx ends, and returns when all have ended.
func (w *world) disturb(ctx context.Context) {
	running := make(chan struct{})
	started := 0
	for ctx.Err() == nil {
		f := faults[w.rng.IntN(len(faults))]
		if w.plannedOnly && !f.planned {
			continue
		}
		for range 1 + w.rng.IntN(series) {
			rng := rand.New(rand.NewPCG(w.rng.Uint64(), 0))
			w.t.Logf("%s %s", time.Now().Format("05.000"), f.name)
			started++
			go func() { f.do(w, rng); running <- struct{}{} }()
		}
		time.Sleep(time.Duration(w.rng.Int64N(int64(faultGap))))
	}
	for range started {
		<-running
	}
}

func span(rng *rand.Rand) time.Duration { return time.Duration(rng.Int64N(int64(longestFault))) }

func (w *world) entry(rng *rand.Rand) *node { return w.entries[rng.IntN(len(w.entries))] }

// node draws an entry, or with the same chance a process beside a rank.
func (w *world) node(rng *rand.Rand) *node {
	if rng.IntN(2) == 0 {
		return w.ranks[rng.IntN(len(w.ranks))]
	}
	return w.entry(rng)
}

// restart ends a process with a signal and starts it again after a while.
func (w *world) restart(rng *rand.Rand, s syscall.Signal, planned bool) {
	e := w.node(rng)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	defer w.ledger.begin("restart of "+e.name, planned)()
	w.end(e, s)
	time.Sleep(span(rng) / 2)
	w.writeSettings(e, false)
	w.start(e)
	w.awaitReady(e)
}

func (w *world) awaitReady(e *node) {
	for end := time.Now().Add(longestFault); time.Now().Before(end) && !e.isReady(); {
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *world) freeze(rng *rand.Rand) {
	e := w.node(rng)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	defer w.ledger.begin("freeze of "+e.name, false)()
	if e.process.Freeze() != nil {
		return // it has ended
	}
	time.Sleep(span(rng))
	if err := e.process.Wake(); err != nil {
		w.t.Errorf("%s: %v", e.name, err)
	}
}

func (w *world) reload(rng *rand.Rand) {
	e := w.node(rng)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	defer w.ledger.begin("reload of "+e.name, true)()
	w.writeSettings(e, false)
	if err := e.process.Signal(syscall.SIGHUP); err != nil {
		w.t.Errorf("%s: %v", e.name, err)
	}
}

func (w *world) runner(rng *rand.Rand) *runner {
	all := w.all()
	return all[rng.IntN(len(all))]
}

// harm brings a fault about on the link to one target.
func (w *world) harm(rng *rand.Rand, do func(*faultproxy.Link)) {
	r := w.runner(rng)
	defer w.ledger.begin("link to "+r.id, false)()
	do(r.link)
	time.Sleep(span(rng))
	r.link.Heal()
}

// spoil delays and cuts a share of the requests to one target.
func (w *world) spoil(rng *rand.Rand) {
	r := w.runner(rng)
	defer w.ledger.begin("requests to "+r.id, false)()
	// Requests that arrive again or late are left out: on the users' platform the network does not repeat what was sent.
	r.link.SetPlan(faultproxy.Seeded(rng.Uint64(), faultproxy.Rates{
		CutRequest: 0.1, CutResponse: 0.1, Delay: 0.2, MaxBytes: 400, MaxWait: 200 * time.Millisecond,
	}))
	time.Sleep(span(rng))
	r.link.SetPlan(nil)
}

func (w *world) storeFault(rng *rand.Rand) {
	if !w.storeBusy.TryLock() {
		return
	}
	defer w.storeBusy.Unlock()
	defer w.ledger.begin("store", false)()
	w.store.SetMode([]store.Mode{store.Busy, store.Many, store.Reset, store.Silent}[rng.IntN(4)])
	time.Sleep(span(rng))
	w.store.SetMode(store.Up)
}

func (w *world) storeCut(rng *rand.Rand) {
	e := w.entry(rng)
	defer w.ledger.begin("store of "+e.name, false)()
	if rng.IntN(2) == 0 {
		e.store.Partition()
	} else {
		e.store.Cut()
	}
	time.Sleep(span(rng))
	e.store.Heal()
}

// misbehave makes a target answer in another manner for a while.
func (w *world) misbehave(rng *rand.Rand) {
	r := w.runner(rng)
	defer w.ledger.begin("manner of "+r.id, false)()
	r.manner.Store(int32(1 + rng.IntN(int(manners)-1)))
	time.Sleep(span(rng))
	r.manner.Store(int32(sound))
}

// replace starts a target and drains another one of its service. The one that leaves goes on serving for the drain bound
// and as long as requests may last, then ends.
func (w *world) replace(rng *rand.Rand) {
	old, err := w.pick(rng)
	if err != nil {
		return
	}
	end := w.ledger.begin("leave of "+old.id, true)
	w.join(old.service, nil)
	w.leave(old, rng.IntN(3) > 0)
	time.Sleep(drainBound)
	end()
	w.store.Delete("servers/" + old.id)
	time.Sleep(routes[0].Timeout)
	old.close()
}

// crash ends a target at once. The platform notices later.
func (w *world) crash(rng *rand.Rand) {
	r, err := w.pick(rng)
	if err != nil {
		return
	}
	defer w.ledger.begin("crash of "+r.id, false)()
	r.close()
	time.Sleep(targetLease)
	w.store.Delete("servers/" + r.id)
	w.join(r.service, nil)
}

// breakGroup lets the group lose a rank for a while.
func (w *world) breakGroup(rng *rand.Rand) {
	if !w.groupBusy.TryLock() {
		return
	}
	defer w.groupBusy.Unlock()
	defer w.ledger.begin("group", false)()
	w.group.Break()
	time.Sleep(span(rng))
	w.group.Form()
}

// shiftPopularity keeps the group's map changing until ctx ends, so that other faults meet changes in every phase.
func (w *world) shiftPopularity(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		w.group.SetHot(rng.IntN(groupExperts - 1))
		time.Sleep(shiftInterval)
	}
}

// lateOrders leaves orders to the engines unanswered, and carries them out later.
func (w *world) lateOrders(rng *rand.Rand) {
	defer w.ledger.begin("late orders", false)()
	w.group.SetLateShare(lateShare)
	time.Sleep(span(rng))
	w.group.SetLateShare(0)
}
