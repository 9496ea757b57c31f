package balance

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// testModel describes a service with the figures of the users' engines.
var testModel = &routetable.Service{Name: "m", Engine: &routetable.Engine{
	Slots: 12, Stride: 4, StepTime: 4550 * time.Microsecond, PerRequest: 905 * time.Microsecond,
	Experts: routetable.Experts{Share: 0.85},
}}

func engines(n int) []*targetset.Target {
	var out []*targetset.Target
	for i := range n {
		out = append(out, &targetset.Target{ID: fmt.Sprint("i-", i), Addr: fmt.Sprint("a-", i), Service: "m", Slots: 12, DataCentre: "near"})
	}
	return out
}

func groupReport(name string, seq int64, list []*targetset.Target, imbalance float64) GroupReport {
	r := GroupReport{Name: name, Seq: seq, TakesRequests: true, Imbalance: imbalance}
	for _, t := range list {
		r.Ranks = append(r.Ranks, RankReport{Engine: t.Addr, Pace: 1})
	}
	return r
}

func modelJob(list []*targetset.Target) *Job {
	return &Job{Name: "m", Service: testModel, EventGap: 120 * time.Millisecond, MaxWait: 200 * time.Millisecond, Remaining: 8 * time.Second,
		Targets: func() []*targetset.Target { return list }}
}

// acquireAll takes places for the job until it is refused.
func acquireAll(b *Balancer, job *Job) []*Lease {
	var out []*Lease
	for {
		l, r := b.Acquire(context.Background(), job)
		if r != nil {
			return out
		}
		out = append(out, l)
	}
}

// TestGroupAdmission guards against a group that accepts so many requests that its steps exceed the longest event gap
// that callers accept once the popularity of experts shifts, and against refusals while half of the slots are free.
// Load pattern: a peak that exceeds the capacity of the groups.
func TestGroupAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(16)
		b.UpdateGroup(groupReport("g1", 1, list[:8], 1.1))
		b.UpdateGroup(groupReport("g2", 1, list[8:], 1.1))
		n := len(acquireAll(b, modelJob(list)))
		if step := stepTime(testModel.Engine, n/16, float64(n)/16, assumedImbalance, 1); step > 120*time.Millisecond {
			t.Errorf("%d requests make steps of %v", n, step)
		}
		if n < 16*12/2 {
			t.Errorf("refused with %d of %d slots taken", n, 16*12)
		}
	})
}

// TestBalancedGroupGetsMoreRequests guards against sending requests to a group whose expert map is imbalanced while
// that of another group is balanced. Load pattern: the popularity of experts has shifted in one group.
func TestBalancedGroupGetsMoreRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(16)
		b.UpdateGroup(groupReport("g1", 1, list[:8], 2.5))
		b.UpdateGroup(groupReport("g2", 1, list[8:], 1.1))
		uneven := 0
		for range 40 {
			l, r := b.Acquire(context.Background(), modelJob(list))
			if r != nil {
				t.Fatal(r)
			}
			if l.Target.Addr < "a-8" && len(l.Target.Addr) == 3 {
				uneven++
			}
		}
		if uneven > 12 {
			t.Errorf("%d of 40 requests went to the imbalanced group", uneven)
		}
	})
}

// TestClosedGroupGetsNoRequests guards against requests for a group that has lost a rank, so that its work stalls.
func TestClosedGroupGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(16)
		broken := groupReport("g1", 1, list[:8], 1.1)
		broken.TakesRequests = false
		b.UpdateGroup(broken)
		b.UpdateGroup(groupReport("g2", 1, list[8:], 1.1))
		for range 30 {
			l, r := b.Acquire(context.Background(), modelJob(list))
			if r != nil {
				t.Fatal(r)
			}
			for _, x := range list[:8] {
				if l.Target == x {
					t.Fatalf("%s is in the broken group", x.ID)
				}
			}
		}
	})
}

// TestReturningCallersGoFirst guards against refusing callers for the second time, after which they give up, while
// places become free. Load pattern: a peak that lasts longer than the retry-after time.
func TestReturningCallersGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(1)
		plainJob := func(returning bool) *Job {
			return &Job{Name: "p", MaxWait: time.Second, Returning: returning, Targets: func() []*targetset.Target { return list }}
		}
		leases := acquireAll(b, plainJob(false))
		order := make(chan string, 2)
		wait := func(name string, returning bool) {
			if _, r := b.Acquire(context.Background(), plainJob(returning)); r == nil {
				order <- name
			}
		}
		leases[0].Done(Served) // shows that places come free
		leases[0], _ = b.Acquire(context.Background(), plainJob(false))
		go wait("new", false)
		synctest.Wait()
		go wait("returning", true)
		synctest.Wait()
		for _, l := range leases[:2] {
			l.Done(Served)
			synctest.Wait()
		}
		if first := <-order; first != "returning" {
			t.Errorf("%s went first", first)
		}
	})
}

// TestRetryAfterIsSpread guards against callers that are refused together and told to retry at the same time.
func TestRetryAfterIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(1)
		job := modelJob(list)
		acquireAll(b, job)
		least, most := time.Hour, time.Duration(0)
		for range 50 {
			_, r := b.Acquire(context.Background(), job)
			least, most = min(least, r.RetryAfter), max(most, r.RetryAfter)
		}
		if most > job.Remaining/3 || most-least < 500*time.Millisecond {
			t.Errorf("retry-after times from %v to %v", least, most)
		}
	})
}

// TestFailingTargetIsAvoided guards against requests for a target that breaks connections, and against a target that
// stays unused after it has recovered.
func TestFailingTargetIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(2)
		job := &Job{Name: "p", Targets: func() []*targetset.Target { return list }}
		works := false
		serve := func() (bad int) {
			for range 20 {
				l, r := b.Acquire(context.Background(), job)
				if r != nil {
					t.Fatal(r)
				}
				if l.Target == list[0] && !works {
					bad++
					l.Done(Broken)
					continue
				}
				l.Done(Served)
			}
			return bad
		}
		if bad := serve(); bad > 3 {
			t.Errorf("%d of 20 requests went to the broken target", bad)
		}
		works = true
		time.Sleep(maxBackoff)
		serve()
		used := 0
		for range 20 {
			l, _ := b.Acquire(context.Background(), job)
			if l.Target == list[0] {
				used++
			}
			l.Done(Served)
		}
		if used == 0 {
			t.Error("the recovered target gets no requests")
		}
	})
}

// TestSlowTargetOfUnknownGroupIsAvoided guards against requests for slow engines whose group sends no reports, and
// against engines that stay unused once there is no recent sign that they are slow. Load pattern: the engines of a
// service are replaced, and the new ones are slow. Seen in incident inc-12b1.
func TestSlowTargetOfUnknownGroupIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(2)
		job := modelJob(list)
		var leases []*Lease
		for range 4 {
			l, _ := b.Acquire(context.Background(), job)
			if l.Target == list[0] {
				l.EventReceived(600 * time.Millisecond)
			} else {
				l.EventReceived(60 * time.Millisecond)
			}
			leases = append(leases, l)
		}
		for range 3 {
			l, r := b.Acquire(context.Background(), job)
			if r != nil || l.Target == list[0] {
				t.Fatalf("%v went to the slow engine", r)
			}
			leases = append(leases, l)
		}
		for _, l := range leases {
			l.Done(Served)
		}
		time.Sleep(2 * eventGapMaxAge)
		if n := len(acquireAll(b, job)); n <= list[1].Slots {
			t.Errorf("%d places, so that one engine stays unused", n)
		}
	})
}

// TestStalledGroupIsAvoided guards against requests for a group that has stopped answering without any report of it,
// and against a group that stays unused after it has resumed work. Load pattern: the VM of a rank freezes together with
// the group's coordinator. Seen on a day on which the VM that had last given an order froze twice; the requests of four
// seconds waited.
func TestStalledGroupIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(16)
		b.UpdateGroup(groupReport("g1", 1, list[:8], 1.1))
		b.UpdateGroup(groupReport("g2", 1, list[8:], 1.1))
		job := modelJob(list)
		first := map[*targetset.Target]bool{}
		for _, x := range list[:8] {
			first[x] = true
		}
		var stalled []*Lease
		frozen := true
		serve := func(n int) (sent int) {
			for range n {
				l, r := b.Acquire(context.Background(), job)
				if r != nil {
					t.Fatal(r)
				}
				if first[l.Target] {
					sent++
				}
				if first[l.Target] && frozen {
					stalled = append(stalled, l)
					continue
				}
				l.EventReceived(0)
				l.Done(Served)
				time.Sleep(20 * time.Millisecond)
			}
			return sent
		}
		var running []*Lease // streams that continue in the other group
		for range 60 {
			l, _ := b.Acquire(context.Background(), job)
			running = append(running, l)
		}
		for _, l := range running {
			if first[l.Target] {
				l.Done(Served)
			}
		}
		serve(10)
		if len(stalled) == 0 {
			t.Fatal("no request went to the first group")
		}
		time.Sleep(stallEventGaps*job.EventGap + time.Millisecond)
		if n := serve(100); n > 6 { // one per stallProbeInterval
			t.Errorf("%d of 100 requests went to a group that does not answer", n)
		}
		for _, l := range stalled {
			l.EventReceived(0)
			l.Done(Served)
		}
		frozen = false
		if n := serve(100); n < 25 {
			t.Errorf("%d of 100 requests went to a group that answers again", n)
		}
	})
}

// TestEventsAreReportedOncePerChange guards against changes in the assessment of targets and groups without an event,
// and against an event for each request instead of one for each change.
func TestEventsAreReportedOncePerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		var reported []EventKind
		b.Notify = func(e Event) { reported = append(reported, e.Kind) }
		list := engines(1)
		job := modelJob(list)
		report := groupReport("g", 1, list, 1.1)
		report.TakesRequests = false
		b.UpdateGroup(report)
		report.Seq, report.TakesRequests = 2, true
		b.UpdateGroup(report)
		end := func(r Result) {
			l, refused := b.Acquire(context.Background(), job)
			if refused != nil {
				t.Fatal(refused)
			}
			l.Done(r)
		}
		end(Broken)
		end(Broken)
		time.Sleep(firstBackoff)
		end(Served)
		silent, _ := b.Acquire(context.Background(), job)
		time.Sleep(time.Second)
		for range 3 {
			acquireAll(b, job)
		}
		silent.EventReceived(0)
		want := []EventKind{EventClosed, EventOpened, EventAvoided, EventRecovered, EventSilent, EventAnswers}
		if !slices.Equal(reported, want) {
			t.Errorf("events %v, want %v", reported, want)
		}
	})
}

// TestBriefReportKeepsRanks guards against engines that lose their group through a report that omits the ranks because
// they have not changed, and against keeping the ranks of an earlier coordinator.
func TestBriefReportKeepsRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(2)
		b.UpdateGroup(groupReport("g", 1, list, 1.1))
		b.UpdateGroup(GroupReport{Name: "g", Seq: 2, TakesRequests: false})
		if _, r := b.Acquire(context.Background(), modelJob(list)); r == nil {
			t.Error("a request went to a group that a brief report closed")
		}
		b.UpdateGroup(GroupReport{Name: "g", Term: 1, Seq: 1, TakesRequests: true})
		if g := b.groups["g"]; len(g.report.Ranks) != 0 {
			t.Errorf("%d ranks of an earlier term are kept", len(g.report.Ranks))
		}
	})
}

// TestReturningCallersWaitForGroup guards against refusing callers for the second time, after which they give up,
// shortly before their group opens, and against making first-time callers wait although the time of opening is unknown.
// Load pattern: all VMs lose power, and their callers retry while the groups still form. Seen in incident inc-f7ba.
func TestReturningCallersWaitForGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(8)
		report := groupReport("g", 1, list, 1.1)
		report.TakesRequests = false
		b.UpdateGroup(report)
		job := modelJob(list)
		started := time.Now()
		_, r := b.Acquire(context.Background(), job)
		if r == nil || r.Reason != ReasonClosed || r.RetryAfter > GroupReformTime || time.Since(started) > 0 {
			t.Errorf("first caller: %+v after %v", r, time.Since(started))
		}
		go func() {
			time.Sleep(700 * time.Millisecond)
			report.Seq, report.TakesRequests = 2, true
			b.UpdateGroup(report)
		}()
		returning := *job
		returning.Returning, returning.MaxWait = true, 2*time.Second
		if _, r := b.Acquire(context.Background(), &returning); r != nil {
			t.Errorf("returning caller: %+v after %v", r, time.Since(started))
		}
		if took := time.Since(started); took != 700*time.Millisecond {
			t.Errorf("the returning caller waited for %v", took)
		}
		report.Seq, report.TakesRequests = 3, false
		b.UpdateGroup(report)
		if _, r := b.Acquire(context.Background(), &returning); r == nil || r.Reason != ReasonClosed {
			t.Errorf("a returning caller whose group did not open: %+v", r)
		}
		time.Sleep(maxClosedOutage)
		report.Seq = 4
		b.UpdateGroup(report)
		started = time.Now()
		if _, r := b.Acquire(context.Background(), &returning); r == nil || time.Since(started) > 0 {
			t.Errorf("a caller waited %v for a service that has long served nothing", time.Since(started))
		}
	})
}

// TestRefusalWithFreeSlotsClosesEngine guards against spending the retry budget of the whole fleet on engines whose
// group still forms, and against avoiding the engines long after that. Load pattern: all VMs lose power, and their
// callers retry at entries that do not know yet which engines belong together.
func TestRefusalWithFreeSlotsClosesEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(4)
		sends := 0
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			l, r := b.Acquire(context.Background(), modelJob(list))
			if r != nil {
				continue
			}
			sends++
			l.Done(Refused)
		}
		if most := 4 * int(2*time.Second/firstBackoff+1); sends > most {
			t.Errorf("%d requests in 2 s went to 4 engines that refuse, want %d at most", sends, most)
		}
		time.Sleep(firstBackoff)
		if _, r := b.Acquire(context.Background(), modelJob(list)); r != nil {
			t.Errorf("%v: the engines are still avoided", r)
		}
	})
}

// TestBlockedRequestDoesNotDelayOthers guards against requests that wait behind one that may not use the open targets
// because they have failed it before. Load pattern: one target is left, and it has failed the first request.
func TestBlockedRequestDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(2)
		closedTarget := b.stateOf(list[0])
		closedTarget.health.record(Broken, time.Now())
		closedTarget.health.record(Broken, time.Now())
		job := func(returning bool) *Job {
			return &Job{Name: "p", MaxWait: time.Second, Returning: returning, Targets: func() []*targetset.Target { return list }}
		}
		blocked := job(true)
		blocked.Exclude = map[targetset.Incarnation]bool{list[1].Incarnation(): true}
		served := make(chan time.Duration, 1)
		started := time.Now()
		go func() {
			if l, r := b.Acquire(context.Background(), blocked); r == nil && l.Target == list[0] {
				served <- time.Since(started)
			}
			close(served)
		}()
		synctest.Wait()
		l, r := b.Acquire(context.Background(), job(false))
		if r != nil || l.Target != list[1] || time.Since(started) > 0 {
			t.Fatalf("%v after %v, though a target has free places", r, time.Since(started))
		}
		time.Sleep(firstBackoff)
		b.Sweep(map[string]*targetset.Target{list[0].ID: list[0], list[1].ID: list[1]})
		if took, ok := <-served; !ok || took != firstBackoff {
			t.Errorf("the caller that waited for the avoided target: served %v after %v", ok, took)
		}
	})
}

// TestOldGroupsAreForgotten guards against state that grows with every group that ever existed, and against forgetting a
// group that still has requests of this process.
func TestOldGroupsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(2)
		b.UpdateGroup(groupReport("g1", 1, list[:1], 1.1))
		b.UpdateGroup(groupReport("g2", 1, list[1:], 1.1))
		l, r := b.Acquire(context.Background(), modelJob(list[1:]))
		if r != nil {
			t.Fatal(r)
		}
		time.Sleep(groupExpiry)
		b.Sweep(nil)
		if len(b.groups) != 1 || len(b.groupByEngine) != 1 || b.groups["g2"] == nil {
			t.Errorf("%d groups and %d engines are known, want g2 and its engine", len(b.groups), len(b.groupByEngine))
		}
		l.Done(Served)
		b.Sweep(nil)
		if len(b.groups)+len(b.groupByEngine)+len(b.progress) > 0 {
			t.Error("a group without requests is still known")
		}
	})
}
