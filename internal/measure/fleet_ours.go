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
	clientOneWay = 3 * time.Millisecond // between client and entry
	centreOneWay = 1500 * time.Microsecond
	sweepEvery   = 250 * time.Millisecond // as in the local process
	maxAttempts  = 3                      // as in the example preset
	retryShare   = 0.1                    // as in the example preset
	entryCount   = 3
)

// oursFleet is a fleet of targets behind the real routing, retry, attempt and admission code.
type oursFleet struct {
	sim     *simulation
	engine  fakeEngine
	policy  *admission.Policy
	targets map[string]*oursTarget
	entries []*oursEntry
	start   time.Time
}

// oursTarget is the local process beside one engine.
type oursTarget struct {
	queue    *admission.Queue
	table    *attempt.Table
	waiting  map[*oursRequest]struct{} // queued requests
	lastWork time.Duration             // when work was last started
}

// oursEntry is what one entry knows: the other entries' dispatches reach it by load reports only.
type oursEntry struct {
	router *routing.Router
	budget *retry.Budget
	vms    []wire.VM // the VM list as last read
}

func newOursFleet(engine fakeEngine, targets int, policy admission.Policy, seed int64) *oursFleet {
	sim := newSimulation()
	f := &oursFleet{sim: sim, engine: engine, policy: &policy, targets: map[string]*oursTarget{}, start: sim.now}
	var vms []wire.VM
	for i := range targets {
		name := fmt.Sprintf("target-%d", i)
		vms = append(vms, wire.VM{Name: name, DataCentre: "a", Role: wire.RoleTarget, State: wire.StateLive, Kind: wire.KindDraft, Serves: "m"})
		t := &oursTarget{table: attempt.NewTable("i", sim), waiting: map[*oursRequest]struct{}{}}
		t.queue = admission.New(admission.Options{Clock: sim, Slots: engine.slots, Policy: func() *admission.Policy { return f.policy }})
		t.queue.SetTarget(engine.slots, engine.rate*float64(engine.slots)) // the engine's own report
		f.targets[name] = t
	}
	for i := range entryCount {
		f.entries = append(f.entries, &oursEntry{
			router: routing.New(routing.Options{DataCentre: "a", Clock: sim, Seed: uint64(seed)<<8 + uint64(i)}),
			budget: retry.NewBudget(), vms: vms,
		})
	}
	return f
}

func runOurs(engine fakeEngine, targets int, policy admission.Policy, jobs []*job, seed int64) {
	newOursFleet(engine, targets, policy, seed).run(jobs)
}

func (f *oursFleet) run(jobs []*job) {
	end := time.Duration(0)
	for i, j := range jobs {
		end = max(end, j.deadline)
		r := &oursRequest{fleet: f, entry: f.entries[i%entryCount], job: j, number: i}
		f.sim.after(j.arrive+clientOneWay, r.begin)
	}
	f.sim.every(sweepEvery, end, func() {
		for _, vm := range f.entries[0].vms {
			f.targets[vm.Name].sweep()
		}
	})
	f.sim.run()
}

// sweep is the periodic work of the local process. Requests that the table refused leave the queue.
func (t *oursTarget) sweep() {
	t.table.Sweep()
	t.queue.Expire()
	byNumber := func(a, b *oursRequest) int { return a.number - b.number }
	for _, r := range slices.SortedFunc(maps.Keys(t.waiting), byNumber) {
		select {
		case <-r.run.Done():
			r.place.Leave()
			r.refused(outcome.Draining)
		default:
		}
	}
}

// oursRequest is one request at its entry.
type oursRequest struct {
	fleet  *oursFleet
	entry  *oursEntry
	job    *job
	number int
	tried  []string
	choice *routing.Choice
	run    *attempt.Run
	place  *admission.Job
}

func (r *oursRequest) begin() {
	r.entry.budget.CountRequest(retryShare)
	r.dispatch()
}

func (r *oursRequest) dispatch() {
	j := r.job
	tokens := j.prompt/4 + j.max
	r.choice = r.entry.router.Pick(&routing.Query{
		Kind: wire.KindDraft, Serves: "m", Targets: r.entry.vms, Tried: r.tried,
		Short: tokens <= r.fleet.policy.ShortMaxTokens, Tokens: int64(tokens),
	})
	if r.choice == nil {
		r.giveUp()
		return
	}
	r.tried = append(r.tried, r.choice.VM.Name)
	r.fleet.sim.after(centreOneWay, r.arrive)
}

func (r *oursRequest) target() *oursTarget { return r.fleet.targets[r.choice.VM.Name] }

// arrive is the local process's part: the attempt table, admission, and the engine when a slot is granted.
func (r *oursRequest) arrive() {
	t, j := r.target(), r.job
	deadline := r.fleet.start.Add(j.deadline)
	run, created := t.table.Begin(wire.Attempt{
		ID:          wire.AttemptID{Request: fmt.Sprint(r.number), Number: len(r.tried)},
		Incarnation: "i", Kind: wire.KindDraft, RemainingMS: deadline.Sub(r.fleet.sim.now).Milliseconds(),
	})
	if !created {
		r.refused(outcome.Draining)
		return
	}
	r.run, r.place = run, nil
	granted := false
	place, refusal := t.queue.Enter(admission.Work{
		Account: j.account, PromptBytes: j.prompt, MaxTokens: j.max, Deadline: deadline,
		Decide: func(refusal *admission.Refusal) {
			switch {
			case refusal != nil:
				r.refused(refusal.Reason)
			case r.place == nil:
				granted = true // within Enter
			default:
				r.start()
			}
		},
	})
	r.place = place
	switch {
	case refusal != nil:
		r.refused(refusal.Reason)
	case granted:
		r.start()
	default:
		t.waiting[r] = struct{}{}
		r.fleet.sim.after(j.lost()-r.fleet.elapsed(), r.leave)
	}
}

// leave is the end of a queued request whose caller has left.
func (r *oursRequest) leave() {
	t := r.target()
	if _, queued := t.waiting[r]; !queued {
		return
	}
	delete(t.waiting, r)
	r.place.Leave()
	r.run.Refuse(outcome.CallerLeft, 0)
	r.choice.Done(routing.NoVerdict)
	r.job.state, r.job.refused = late, r.job.lost()
}

// report carries a load report back to the entry and then goes on.
func (r *oursRequest) report(then func(c *routing.Choice)) {
	load, c := r.target().load(), r.choice
	r.fleet.sim.after(centreOneWay, func() {
		c.Report(&load)
		if then != nil {
			then(c)
		}
	})
}

// refused goes to the next candidate: free of charge after the first refusal, and within the retry budget after others.
func (r *oursRequest) refused(reason outcome.Reason) {
	delete(r.target().waiting, r)
	if r.run != nil {
		r.run.Refuse(reason, 0)
		r.run = nil
	}
	r.report(func(c *routing.Choice) {
		c.Done(routing.NoFailure)
		n := len(r.tried)
		if reason == outcome.PresetClosed || n >= maxAttempts || n > 1 && !r.entry.budget.Take() {
			r.giveUp()
			return
		}
		r.dispatch()
	})
}

func (r *oursRequest) giveUp() {
	r.job.state, r.job.refused = refusedState, r.fleet.elapsed()+clientOneWay
}

func (f *oursFleet) elapsed() time.Duration { return f.sim.now.Sub(f.start) }

func (t *oursTarget) load() wire.Load {
	load := t.queue.Load()
	load.Draining = t.table.Draining()
	return load
}

// start runs a request that got a slot, if the table still permits it.
func (r *oursRequest) start() {
	f, j, t := r.fleet, r.job, r.target()
	delete(t.waiting, r)
	if !r.run.Dispatch(func() {}) {
		r.place.Leave()
		r.refused(outcome.Draining)
		return
	}
	j.state, j.started, t.lastWork = working, f.elapsed(), f.elapsed()
	f.sim.after(j.deadline-j.started, func() {
		if j.state == working {
			j.state = late
			r.place.Leave()
			r.run.Fail(outcome.DeadlinePassed, 0)
			r.report(func(c *routing.Choice) { c.Done(routing.NoVerdict) })
		}
	})
	f.sim.after(f.engine.took(f.engine.cost(j)-float64(j.tokens), j), func() {
		r.report(nil) // with the first token
		r.generate(0)
	})
}

func (r *oursRequest) generate(done int) {
	f, j := r.fleet, r.job
	if j.state != working {
		return
	}
	if done == j.tokens {
		j.state, j.finished = whole, f.elapsed()
		r.place.Done()
		r.run.End(j.tokens, 0, 0)
		r.report(func(c *routing.Choice) { c.Done(routing.NoFailure) })
		return
	}
	n := min(f.engine.chunk, j.tokens-done)
	f.sim.after(f.engine.took(float64(n), j), func() {
		if j.state == working {
			r.place.Progress(n)
			r.generate(done + n)
		}
	})
}
