package integration

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/harness"
	"github.com/camphorbank/camphorbank/test/standin"
)

// bookingRun makes many bookings while faults are injected, and compares what their callers were told with what the
// desks ran.
type bookingRun struct {
	seed           uint64
	fleet          *fleet
	withoutTickets bool               // callers retry without tickets
	extraRequest   func(i int)        // called after every fifth booking, if set
	callerLinks    []*faultproxy.Link // in front of the entries, for bookings that are retried

	mu      sync.Mutex
	results map[string][]callerResult // of each booking, in order
	faultCounts
}

// faultCounts holds how often each failure was injected, by name.
type faultCounts map[string]int

// bookingDeadline leaves time for one retry after an attempt at a process that is suspended for a short time.
const bookingDeadline = 1500 * time.Millisecond

func newBookingRun(t *testing.T, seed uint64, f *fleet, rates faultproxy.Rates) *bookingRun {
	t.Helper()
	b := &bookingRun{seed: seed, fleet: f, results: map[string][]callerResult{}, faultCounts: faultCounts{}}
	for i, n := range f.targets {
		harness.LinksOf(n).Data.SetPlan(faultproxy.Seeded(seed+uint64(i), rates))
		if n.VM.Kind != wire.KindCall {
			continue
		}
		check(t, localfleet.PutJSON(n.TargetURL+"/admin/faults", standin.DeskFaults{Seed: seed, DropBefore: 0.01, LoseReply: 0.01, Busy: 0.01, Slow: 0.01, SlowFor: 300 * time.Millisecond}))
	}
	for i, n := range f.entries {
		l, err := faultproxy.New(n.Callers)
		check(t, err)
		t.Cleanup(l.Close)
		l.SetPlan(faultproxy.Seeded(seed+100+uint64(i), rates))
		b.callerLinks = append(b.callerLinks, l)
	}
	return b
}

// book makes booking i. Every other one has a ticket and is retried through the other entries in turn, at most three
// times, until it is completed or not run. If withoutTickets is set, all are retried in this way without a ticket.
func (b *bookingRun) book(i int) {
	rng := rand.New(rand.NewPCG(b.seed, uint64(i)))
	body := fmt.Sprintf("slot-%d", i)
	n := rng.IntN(len(b.fleet.entries))
	if i%2 == 0 && !b.withoutTickets {
		b.addResult(body, call(b.fleet.entries[n].Callers, "reserve", body, "", bookingDeadline))
		return
	}
	ticket, err := "", error(nil)
	if !b.withoutTickets {
		ticket, err = getTicket(b.fleet.entries[n].Callers)
	}
	if err != nil {
		b.countFault("no ticket")
		return
	}
	for range 4 {
		got := call(b.callerLinks[n].Addr(), "reserve", body, ticket, bookingDeadline)
		b.addResult(body, got)
		if got.outcome == outcome.Completed || got.outcome == outcome.NotRun {
			return
		}
		n = (n + 1) % len(b.fleet.entries)
	}
}

func (b *bookingRun) addResult(body string, got callerResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results["reserve "+body] = append(b.results["reserve "+body], got)
}

func (b *bookingRun) countFault(what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultCounts[what]++
}

// failures lists the failures of one process or its links. Those that last end after the given time.
var failures = []struct {
	name   string
	inject func(b *bookingRun, n *localfleet.Node, wait time.Duration) error
}{
	{"restart", func(b *bookingRun, n *localfleet.Node, _ time.Duration) error { n.Kill(); return b.fleet.Restart(n) }},
	{"freeze", func(_ *bookingRun, n *localfleet.Node, wait time.Duration) error {
		_ = n.Suspend()
		time.Sleep(wait)
		return n.Resume()
	}},
	{"cut", func(_ *bookingRun, n *localfleet.Node, _ time.Duration) error {
		harness.LinksOf(n).Data.Cut()
		harness.LinksOf(n).Control.Cut()
		return nil
	}},
	{"hold", func(_ *bookingRun, n *localfleet.Node, wait time.Duration) error {
		harness.LinksOf(n).Data.Hold()
		time.Sleep(wait)
		harness.LinksOf(n).Data.Heal()
		return nil
	}},
	{"partition", func(_ *bookingRun, n *localfleet.Node, wait time.Duration) error {
		harness.LinksOf(n).Data.Partition()
		harness.LinksOf(n).Control.Partition()
		time.Sleep(wait)
		harness.LinksOf(n).Data.Heal()
		harness.LinksOf(n).Control.Heal()
		return nil
	}},
}

// Indices of failures. The first entryFailureKinds failures need no data link, which entries do not have.
const restart, suspend, entryFailureKinds = 0, 1, 2

// injectFailure injects and counts a failure of the node, and waits until it has ended after the given time.
func (b *bookingRun) injectFailure(t *testing.T, n *localfleet.Node, kind int, wait time.Duration) {
	f := failures[kind]
	b.countFault(f.name + " of " + n.VM.Role)
	if err := f.inject(b, n, wait); err != nil {
		t.Error(err)
	}
}

// injectFailures injects failures in rounds until stop is closed. Each round has a failure of a local process and, if
// withEntries is set, a failure of an entry at the same time. With entries, the first round suspends a local process and
// kills and restarts an entry.
func (b *bookingRun) injectFailures(t *testing.T, stop <-chan struct{}, interval time.Duration, withEntries bool) {
	rng := rand.New(rand.NewPCG(b.seed, 1<<32))
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		local, entry := b.fleet.targets[rng.IntN(len(b.fleet.targets))], b.fleet.entries[rng.IntN(len(b.fleet.entries))]
		kind, entryKind, wait := rng.IntN(len(failures)), rng.IntN(entryFailureKinds), time.Duration(rng.Int64N(int64(bookingDeadline*3/2)))
		if withEntries && round == 0 {
			kind, entryKind = suspend, restart
		}
		var both sync.WaitGroup
		both.Go(func() { b.injectFailure(t, local, kind, wait) })
		if withEntries {
			both.Go(func() { b.injectFailure(t, entry, entryKind, wait) })
		}
		both.Wait()
	}
}

// findViolations ends all faults, stops the fleet, and compares what callers were told with what the desks ran. It
// returns a description of each booking that ran more than once or whose caller was told something wrong.
func (b *bookingRun) findViolations(t *testing.T) (violations []string) {
	t.Helper()
	for _, l := range b.callerLinks {
		l.SetPlan(nil)
		check(t, localfleet.WaitFor("late deliveries of callers", func() bool { return l.Pending() == 0 }))
	}
	b.fleet.endFaultsAndStop(t)
	runs := b.fleet.deskRuns(t)
	outcomes := map[outcome.Outcome]int{}
	for booking, results := range b.results {
		last := results[len(results)-1]
		outcomes[last.outcome]++
		n := runs[booking]
		bad := n > 1
		for _, got := range results {
			bad = bad || got.outcome == outcome.NotRun && n > 0
			bad = bad || got.outcome == outcome.Completed && got.status == 200 && n == 0
		}
		if bad {
			violations = append(violations, fmt.Sprintf("%s ran %d times; its caller was told %+v", booking, n, results))
		}
	}
	injected := maps.Clone(b.faultCounts)
	for _, n := range b.fleet.targets {
		for k, v := range harness.LinksOf(n).Data.Counts() {
			injected[fmt.Sprintf("link fault %d", k)] += v
		}
	}
	total := len(b.results)
	unknown := outcomes[outcome.Unknown] + outcomes[""]
	t.Logf("%d bookings, %d violations, outcomes %v, %.1f%% with unknown outcome, faults %v", total, len(violations), outcomes, 100*float64(unknown)/float64(total), injected)
	if outcomes[outcome.Completed] < total/2 {
		t.Errorf("only %d of %d bookings completed, too few for a meaningful test", outcomes[outcome.Completed], total)
	}
	return violations
}

// run makes n bookings from concurrent callers while failures are injected.
func (b *bookingRun) run(t *testing.T, n int, interval time.Duration, withEntries bool) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { b.injectFailures(t, stop, interval, withEntries) })
	parallel(48, n, func(i int) {
		b.book(i)
		if b.extraRequest != nil && i%5 == 0 {
			b.extraRequest(i)
		}
	})
	close(stop)
	wg.Wait()
}

var bookingRates = faultproxy.Rates{CutRequest: 0.01, CutResponse: 0.02, Delay: 0.02, Redeliver: 0.02, Duplicate: 0.05, MaxBytes: 600, MaxWait: time.Second}

// TestBookingsRunAtMostOnce guards against bookings that run twice, are lost after their caller was told completed,
// or run after their caller was told not-run, under connection cuts, delays, duplicates, restarts, suspended processes
// and lost replies.
func TestBookingsRunAtMostOnce(t *testing.T) {
	f := startFleet(t, true, 3, desks(3, "-took", "20ms"))
	b := newBookingRun(t, seedOf(t), f, bookingRates)
	b.run(t, 6000, 100*time.Millisecond, false)
	for _, v := range b.findViolations(t) {
		t.Error(v)
	}
	if len(b.results) < 2000 {
		t.Errorf("only %d bookings were made", len(b.results))
	}
}

// TestBookingJudge guards against a check that cannot fail: callers that retry without tickets book twice, and
// findViolations must find that.
func TestBookingJudge(t *testing.T) {
	f := startFleet(t, true, 2, desks(2, "-took", "5ms"))
	b := newBookingRun(t, seedOf(t), f, bookingRates)
	b.withoutTickets = true
	b.run(t, 400, time.Minute, false)
	if len(b.findViolations(t)) == 0 {
		t.Error("no duplicate booking found among retries without tickets")
	}
}

// TestTwoFailuresTogether guards against bookings and drafts that go wrong when a local process and an entry fail at
// the same time, for example one suspended and the other killed.
func TestTwoFailuresTogether(t *testing.T) {
	f := startFleet(t, true, 3, desks(3, "-took", "20ms"), engines(2, "-step", "2ms"))
	b := newBookingRun(t, seedOf(t), f, bookingRates)
	drafts := map[outcome.Outcome]int{}
	b.extraRequest = func(i int) {
		prompt := fmt.Sprintf("Karte %d", i)
		got := draftStream(f.entries[i%3].Callers, prompt, 40, func() {})
		want := strings.Join(standin.Words("wording", prompt, 40), "")
		if !strings.HasPrefix(want, got.text) || got.outcome == outcome.Completed && got.text != want {
			t.Errorf("draft %d: told %q with %q, want %q", i, got.outcome, got.text, want)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		drafts[got.outcome]++
	}
	b.run(t, 3000, 100*time.Millisecond, true)
	for _, v := range b.findViolations(t) {
		t.Error(v)
	}
	t.Logf("drafts %v", drafts)
}
