package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	clientLatency     = 3 * time.Millisecond    // one way, between client and entry
	dataCentreLatency = 1500 * time.Microsecond // one way, between entry and target
	sweepInterval     = 250 * time.Millisecond  // as in the local process
	maxAttempts       = 3                       // as in the example preset
	retryShare        = 0.1                     // as in the example preset
	entryCount        = 3
)

// simFleet is a simulated fleet of entries and targets that run the real routing, retry, attempt and admission code.
type simFleet struct {
	sim     *simulation
	engine  fakeEngine
	policy  *admission.Policy
	targets map[string]*simTarget
	entries []*simEntry
	start   time.Time
}

// simTarget is the simulated local process of one engine.
type simTarget struct {
	queue     *admission.Queue
	table     *attempt.Table
	waiting   map[*simRequest]struct{} // queued requests
	lastStart time.Duration            // when the engine last started work
}

// simEntry is a simulated entry. It learns of the requests that other entries dispatch only from the load reports of
// the targets.
type simEntry struct {
	router *routing.Router
	budget *retry.Budget
	vms    []wire.VM // the VM list as last read
}

func newSimFleet(engine fakeEngine, targets int, policy admission.Policy, seed int64) *simFleet {
	sim := newSimulation()
	f := &simFleet{sim: sim, engine: engine, policy: &policy, targets: map[string]*simTarget{}, start: sim.now}
	var vms []wire.VM
	for i := range targets {
		name := fmt.Sprintf("target-%d", i)
		vms = append(vms, wire.VM{Name: name, DataCentre: "a", Role: wire.RoleTarget, State: wire.StateLive, Kind: wire.KindDraft, Serves: "m"})
		t := &simTarget{table: attempt.NewTable("i", sim), waiting: map[*simRequest]struct{}{}}
		t.queue = admission.New(admission.Options{Clock: sim, Slots: engine.slots, Policy: func() *admission.Policy { return f.policy }})
		t.queue.SetTarget(engine.slots, engine.tokensPerSecond*float64(engine.slots)) // as the engine would report
		f.targets[name] = t
	}
	for i := range entryCount {
		f.entries = append(f.entries, &simEntry{
			router: routing.New(routing.Options{DataCentre: "a", Clock: sim, Seed: uint64(seed)<<8 + uint64(i)}),
			budget: retry.NewBudget(), vms: vms,
		})
	}
	return f
}

func runOurs(engine fakeEngine, targets int, policy admission.Policy, jobs []*job, seed int64) {
	newSimFleet(engine, targets, policy, seed).run(jobs)
}

func (f *simFleet) run(jobs []*job) {
	end := time.Duration(0)
	for i, j := range jobs {
		end = max(end, j.deadline)
		r := &simRequest{fleet: f, entry: f.entries[i%entryCount], job: j, number: i}
		f.sim.after(j.arrivesAt+clientLatency, r.begin)
	}
	f.sim.every(sweepInterval, end, func() {
		for _, vm := range f.entries[0].vms {
			f.targets[vm.Name].sweep()
		}
	})
	f.sim.run()
}

// sweep is the periodic work of the local process. Requests that the attempt table has refused leave the queue.
func (t *simTarget) sweep() {
	t.table.Sweep()
	t.queue.Expire()
	byNumber := func(a, b *simRequest) int { return a.number - b.number }
	for _, r := range slices.SortedFunc(maps.Keys(t.waiting), byNumber) {
		select {
		case <-r.run.Done():
			r.queueJob.Leave()
			r.handleRefusal(outcome.Draining)
		default:
		}
	}
}

// simRequest is the state of one request at its entry.
type simRequest struct {
	fleet        *simFleet
	entry        *simEntry
	job          *job
	number       int
	triedTargets []string
	choice       *routing.Choice
	run          *attempt.Run
	queueJob     *admission.Job
}

func (r *simRequest) begin() {
	r.entry.budget.CountRequest(retryShare)
	r.dispatch()
}

func (r *simRequest) dispatch() {
	j := r.job
	tokens := j.promptBytes/4 + j.maxTokens
	r.choice = r.entry.router.Pick(&routing.Query{
		Kind: wire.KindDraft, Serves: "m", Targets: r.entry.vms, Tried: r.triedTargets,
		Short: tokens <= r.fleet.policy.ShortMaxTokens, Tokens: int64(tokens),
	})
	if r.choice == nil {
		r.refuseToCaller()
		return
	}
	r.triedTargets = append(r.triedTargets, r.choice.VM.Name)
	r.fleet.sim.after(dataCentreLatency, r.arriveAtTarget)
}

func (r *simRequest) target() *simTarget { return r.fleet.targets[r.choice.VM.Name] }

// arriveAtTarget handles the request at the local process: it registers the attempt, enters the queue and starts the
// engine if a slot is granted at once.
func (r *simRequest) arriveAtTarget() {
	t, j := r.target(), r.job
	deadline := r.fleet.start.Add(j.deadline)
	run, created := t.table.Begin(wire.Attempt{
		ID:          wire.AttemptID{Request: fmt.Sprint(r.number), Number: len(r.triedTargets)},
		Incarnation: "i", Kind: wire.KindDraft, RemainingMS: deadline.Sub(r.fleet.sim.now).Milliseconds(),
	})
	if !created {
		r.handleRefusal(outcome.Draining)
		return
	}
	r.run, r.queueJob = run, nil
	granted := false
	queueJob, refusal := t.queue.Enter(admission.Work{
		Account: j.account, PromptBytes: j.promptBytes, MaxTokens: j.maxTokens, Deadline: deadline,
		Decide: func(refusal *admission.Refusal) {
			switch {
			case refusal != nil:
				r.handleRefusal(refusal.Reason)
			case r.queueJob == nil:
				granted = true // within Enter
			default:
				r.start()
			}
		},
	})
	r.queueJob = queueJob
	switch {
	case refusal != nil:
		r.handleRefusal(refusal.Reason)
	case granted:
		r.start()
	default:
		t.waiting[r] = struct{}{}
		r.fleet.sim.after(j.abandonedAt()-r.fleet.elapsed(), r.leaveQueue)
	}
}

// leaveQueue ends a request that is still queued when its caller leaves.
func (r *simRequest) leaveQueue() {
	t := r.target()
	if _, queued := t.waiting[r]; !queued {
		return
	}
	delete(t.waiting, r)
	r.queueJob.Leave()
	r.run.Refuse(outcome.CallerLeft, 0)
	r.choice.Done(routing.NoVerdict)
	r.job.state, r.job.refusedAt = stateAbandoned, r.job.abandonedAt()
}

// sendLoadReport sends the target's load report to the entry and calls then, if it is not nil, when it has arrived.
func (r *simRequest) sendLoadReport(then func(c *routing.Choice)) {
	load, c := r.target().load(), r.choice
	r.fleet.sim.after(dataCentreLatency, func() {
		c.Report(&load)
		if then != nil {
			then(c)
		}
	})
}

// handleRefusal dispatches the request to the next candidate. The retry after the first refusal does not count against
// the retry budget; later ones do. The request is refused to the caller after maxAttempts, when the budget is used up,
// and if the preset does not admit it.
func (r *simRequest) handleRefusal(reason outcome.Reason) {
	delete(r.target().waiting, r)
	if r.run != nil {
		r.run.Refuse(reason, 0)
		r.run = nil
	}
	r.sendLoadReport(func(c *routing.Choice) {
		c.Done(routing.NoFailure)
		n := len(r.triedTargets)
		if reason == outcome.PresetClosed || n >= maxAttempts || n > 1 && !r.entry.budget.Take() {
			r.refuseToCaller()
			return
		}
		r.dispatch()
	})
}

// refuseToCaller ends the request with a refusal to the caller.
func (r *simRequest) refuseToCaller() {
	r.job.state, r.job.refusedAt = stateRefused, r.fleet.elapsed()+clientLatency
}

func (f *simFleet) elapsed() time.Duration { return f.sim.now.Sub(f.start) }

func (t *simTarget) load() wire.Load {
	load := t.queue.Load()
	load.Draining = t.table.Draining()
	return load
}

// start starts the engine for a request that was granted a slot, unless the attempt table refuses it by now.
func (r *simRequest) start() {
	f, j, t := r.fleet, r.job, r.target()
	delete(t.waiting, r)
	if !r.run.Dispatch(func() {}) {
		r.queueJob.Leave()
		r.handleRefusal(outcome.Draining)
		return
	}
	j.state, j.startedAt, t.lastStart = stateRunning, f.elapsed(), f.elapsed()
	f.sim.after(j.deadline-j.startedAt, func() {
		if j.state == stateRunning {
			j.state = stateAbandoned
			r.queueJob.Leave()
			r.run.Fail(outcome.DeadlinePassed, 0)
			r.sendLoadReport(func(c *routing.Choice) { c.Done(routing.NoVerdict) })
		}
	})
	f.sim.after(f.engine.duration(f.engine.cost(j)-float64(j.responseTokens), j), func() {
		r.sendLoadReport(nil) // with the first token
		r.generate(0)
	})
}

func (r *simRequest) generate(done int) {
	f, j := r.fleet, r.job
	if j.state != stateRunning {
		return
	}
	if done == j.responseTokens {
		j.state, j.finishedAt = stateCompleted, f.elapsed()
		r.queueJob.Done()
		r.run.End(j.responseTokens, 0, 0)
		r.sendLoadReport(func(c *routing.Choice) { c.Done(routing.NoFailure) })
		return
	}
	n := min(f.engine.chunkTokens, j.responseTokens-done)
	f.sim.after(f.engine.duration(float64(n), j), func() {
		if j.state == stateRunning {
			r.queueJob.Progress(n)
			r.generate(done + n)
		}
	})
}
