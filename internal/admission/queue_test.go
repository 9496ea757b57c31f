package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/outcome"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// fixture is a queue with a target that runs 100 tokens per second in each slot.
type fixture struct {
	clock   *fakeClock
	policy  Policy
	queue   *Queue
	started []string
	refused map[string]outcome.Reason
	jobs    map[string]*Job
	bytes   int // of each request
}

func newFixture(slots int) *fixture {
	f := &fixture{
		clock: &fakeClock{now: time.Unix(1_800_000_000, 0)}, policy: defaultPolicy,
		refused: map[string]outcome.Reason{}, jobs: map[string]*Job{},
	}
	f.queue = New(Options{Clock: f.clock, Slots: slots, Policy: func() *Policy { p := f.policy; return &p }})
	f.queue.SetTarget(0, 100*float64(slots))
	return f
}

func (f *fixture) enter(name, account string, maxTokens int, deadline time.Duration) *Refusal {
	j, r := f.queue.Enter(Work{Account: account, MaxTokens: maxTokens, Bytes: f.bytes, Deadline: f.clock.now.Add(deadline), Decide: func(r *Refusal) {
		if r != nil {
			f.refused[name] = r.Reason
			return
		}
		f.started = append(f.started, name)
	}})
	f.jobs[name] = j
	return r
}

// TestAdmission guards against work that is queued although its lane, its deadline or the preset forbids it, and
// against work that is refused although there is room.
func TestAdmission(t *testing.T) {
	const long, short = 1000, 100
	cases := map[string]struct {
		before    func(f *fixture)
		maxTokens int
		deadline  time.Duration
		want      outcome.Reason
	}{
		"idle":             {func(*fixture) {}, long, time.Minute, ""},
		"slow idle target": {func(f *fixture) { f.queue.SetTarget(0, 0.1) }, long, time.Minute, ""},
		"long lane full":   {func(f *fixture) { f.fill(8, long) }, long, time.Minute, outcome.QueueFull},
		"reserved slot":    {func(f *fixture) { f.fill(3, long) }, short, time.Minute, ""},
		"queue too large": {func(f *fixture) {
			f.policy.MaxWait = [laneCount]time.Duration{time.Hour, time.Hour}
			f.bytes = maxQueuedBytes / 3
			f.fill(7, short)
		}, short, time.Hour, outcome.QueueFull},
		"only reserved slots": {func(f *fixture) { f.fill(3, long) }, long, time.Minute, outcome.QueueFull},
		"short lane full":     {func(f *fixture) { f.fill(8, short) }, short, time.Minute, outcome.QueueFull},
		"deadline too near": {func(f *fixture) {
			f.fill(1, short)
			f.queue.lengths.learn("other", long, long) // the new account gets the estimate of all accounts
		}, long, 5 * time.Second, outcome.DeadlineTooNear},
		"length not known yet":  {func(f *fixture) { f.fill(1, short) }, long, 5 * time.Second, ""},
		"long work closed":      {func(f *fixture) { f.policy.AdmitLongDrafts = false }, long, time.Minute, outcome.PresetClosed},
		"short is never closed": {func(f *fixture) { f.policy.AdmitLongDrafts = false }, short, time.Minute, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(4)
			c.before(f)
			r := f.enter("x", "new", c.maxTokens, c.deadline)
			if r == nil && c.want == "" {
				return
			}
			if r == nil || r.Reason != c.want || r.RetryAfter < time.Second {
				t.Errorf("refusal %+v, want %q", r, c.want)
			}
		})
	}
}

func (f *fixture) fill(n, maxTokens int) {
	for i := range n {
		f.enter(fmt.Sprintf("fill-%d", i), "other", maxTokens, time.Hour)
	}
}

// TestLanesAndFairness guards against short work that waits behind long work, long work that starves, and an account
// that gets more than its weight allows.
func TestLanesAndFairness(t *testing.T) {
	f := newFixture(4) // one slot is reserved, and one is guaranteed to waiting long work
	f.policy.Weights = map[string]int{"heavy": 3, "light": 1}
	f.policy.MaxWait = [laneCount]time.Duration{time.Hour, time.Hour}
	for i := range 60 {
		f.enter(fmt.Sprintf("long-%d", i), "batch", 1000, 10*time.Hour)
	}
	for i := range 80 {
		f.enter(fmt.Sprintf("heavy-%d", i), "heavy", 64, 10*time.Hour)
		f.enter(fmt.Sprintf("light-%d", i), "light", 64, 10*time.Hour)
	}
	if got := fmt.Sprint(f.started); got != "[long-0 long-1 long-2 heavy-0]" {
		t.Fatalf("started %s", got)
	}
	count := map[string]int{}
	for i := range 80 {
		name := f.started[i]
		f.jobs[name].Done()
		account := f.jobs[name].work.Account
		count[account]++
		if long := f.queue.inLane[Long]; long < 1 || long > 3 {
			t.Fatalf("%d long jobs run", long)
		}
	}
	if h, l := count["heavy"], count["light"]; h < 2*l || h > 4*l || l == 0 || count["batch"] == 0 {
		t.Errorf("runs by account %v, want heavy about 3 times light, and batch not starved", count)
	}
}

// TestMisjudgedWorkChangesLane guards against a long job that is counted in the short lane until it ends, and against
// an account whose next work is put into the wrong lane in the same way.
func TestMisjudgedWorkChangesLane(t *testing.T) {
	f := newFixture(4)
	for range 40 {
		f.queue.lengths.learn("a", 4000, 40)
	}
	f.enter("x", "a", 4000, time.Hour)
	if f.jobs["x"].Lane() != Short || f.jobs["x"].Priority() != priorityShort {
		t.Fatal("the recent short responses of the account are not used")
	}
	f.jobs["x"].Progress(150)
	f.jobs["x"].Progress(51)
	if f.jobs["x"].Lane() != Long || f.queue.inLane != [laneCount]int{0, 1} {
		t.Errorf("lane %v, running %v", f.jobs["x"].Lane(), f.queue.inLane)
	}
	f.jobs["x"].Progress(3000)
	f.jobs["x"].Done()
	f.enter("y", "a", 4000, time.Hour)
	if f.jobs["y"].Lane() != Long || f.queue.inLane != [laneCount]int{0, 1} {
		t.Errorf("next lane %v, running %v", f.jobs["y"].Lane(), f.queue.inLane)
	}
}

// TestStallAndPreset guards against work that stays queued until its deadline while the target stalls, and against
// queued work that is lost when the preset changes.
func TestStallAndPreset(t *testing.T) {
	f := newFixture(2)
	f.policy.MaxWait[Long] = 30 * time.Second
	f.enter("running", "a", 1000, time.Hour)
	f.enter("queued", "a", 1000, time.Hour)
	f.policy.AdmitLongDrafts, f.policy.MaxWait[Long] = false, 0
	f.queue.Expire()
	if len(f.refused) != 0 || f.queue.Load().Queued != 1 {
		t.Fatalf("lost by the preset: %v", f.refused)
	}
	f.clock.now = f.clock.now.Add(61 * time.Second)
	f.queue.Expire()
	if f.refused["queued"] != outcome.QueueFull {
		t.Errorf("after a stall of 61 s: %v", f.refused)
	}
	f.jobs["running"].Leave()
	f.policy = defaultPolicy
	if r := f.enter("probe", "a", 1000, time.Minute); r != nil {
		t.Errorf("an idle target after a stall gets no work: %+v", r)
	}
}

// TestQueueConservesWork guards against slots that are not freed, jobs that are decided twice, and negative counts,
// under any order of arrivals, progress, ends, departures and target reports.
func TestQueueConservesWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(rapid.IntRange(1, 6).Draw(t, "slots"))
		f.bytes = 1000
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			f.randomStep(t, i)
			f.check(t)
		}
		for _, j := range f.jobs {
			if j != nil {
				j.Leave()
			}
		}
		if l := f.queue.Load(); l.Running != 0 || l.Queued != 0 || l.QueuedTokens != 0 || f.queue.queuedBytes != 0 || f.queue.inLane != [laneCount]int{} {
			t.Fatalf("work left after all jobs ended: %+v, %v", l, f.queue.inLane)
		}
	})
}

func (f *fixture) randomStep(t *rapid.T, i int) {
	var j *Job
	if i > 0 {
		j = f.jobs[fmt.Sprint(rapid.IntRange(0, i-1).Draw(t, "job"))]
	}
	switch action := rapid.SampledFrom([]string{"enter", "enter", "enter", "progress", "done", "leave", "expire", "slots", "time"}).Draw(t, "action"); {
	case action == "enter":
		f.enter(fmt.Sprint(i), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
			rapid.SampledFrom([]int{10, 150, 900}).Draw(t, "max"), time.Duration(rapid.IntRange(1, 60).Draw(t, "deadline"))*time.Second)
	case action == "expire":
		f.queue.Expire()
	case action == "slots":
		f.queue.SetTarget(rapid.IntRange(1, 6).Draw(t, "new slots"), 0)
	case action == "time":
		f.clock.now = f.clock.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	case j == nil:
	case action == "progress":
		j.Progress(rapid.IntRange(1, 200).Draw(t, "tokens"))
	case action == "done":
		j.Done()
	case action == "leave":
		j.Leave()
	}
}

func (f *fixture) check(t *rapid.T) {
	q := f.queue
	if len(q.running) != q.inLane[Short]+q.inLane[Long] || q.inLane[Short] < 0 || q.inLane[Long] < 0 {
		t.Fatalf("%d running, by lane %v", len(q.running), q.inLane)
	}
	if _, ok := q.nextLane(); ok {
		t.Fatal("work is queued although its lane has a free slot")
	}
	seen := map[string]bool{}
	for _, name := range f.started {
		if seen[name] || f.refused[name] != "" {
			t.Fatalf("%s was decided twice", name)
		}
		seen[name] = true
	}
	for _, l := range q.lanes {
		tokens, jobs := 0.0, 0
		for _, fl := range l.ring {
			tokens, jobs = tokens+fl.tokens, jobs+len(fl.jobs)
		}
		if jobs != l.jobs || tokens < l.tokens-1e-6 || tokens > l.tokens+1e-6 || len(l.ring) != len(l.flows) {
			t.Fatalf("lane holds %d jobs and %g tokens, counted %d and %g", jobs, tokens, l.jobs, l.tokens)
		}
	}
}
