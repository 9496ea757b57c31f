package balance

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/contention"
)

// Times of the simulated load. The steps of the groups stay within the event gap up to about 70 requests per second, and the
// popularity of experts shifts.
const (
	crestStart = 6 * time.Second
	crestEnd   = 12 * time.Second
	windowSize = 4 // seconds
)

// crest returns a rate that is multiplied by x from crestStart to crestEnd.
func crest(perSecond, x float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= crestStart && at < crestEnd {
			return perSecond * x
		}
		return perSecond
	}
}

// shiftPopularity raises the imbalance of the groups every few seconds, until their maps follow.
func shiftPopularity(s *simulation, at time.Duration) {
	for _, g := range s.groups {
		g.mu.Lock()
		g.imbalance = 1.2 + 0.4*math.Exp(-math.Mod(at.Seconds(), 3.3)/0.5)
		g.mu.Unlock()
	}
}

// threeClasses returns the classes of a load, of which the least urgent one has the longest objective.
func threeClasses(urgentCrest, middleCrest, patientCrest float64) []loadClass {
	return []loadClass{
		{0, crest(22, urgentCrest), 400 * time.Millisecond, nil},
		{1, crest(29, middleCrest), 400 * time.Millisecond, nil},
		{2, crest(10, patientCrest), 800 * time.Millisecond, nil},
	}
}

// TestLoads guards against a crest after which hardly any request is answered in time for as long as callers return from
// refusals, and against more urgent requests that are served less well than less urgent ones. The policy of services
// without priorities is the baseline.
func TestLoads(t *testing.T) {
	for _, c := range []struct {
		name    string
		load    load
		after   float64 // least goodput of all classes after the crest
		urgent  float64 // least goodput of the most urgent class from the start of the crest on
		settled int     // seconds after the crest until goodput has to be back
	}{
		{"crest of an urgent class over a patient one", load{classes: threeClasses(2, 1, 1)}, 0.9, 0.95, 3},
		{"returning callers after a crest", load{classes: threeClasses(1.5, 1.5, 3)}, 0.9, 0.95, 3},
		{"evacuation at the crest", load{classes: threeClasses(1.7, 1, 1), disturb: func(s *simulation, at time.Duration) {
			if shiftPopularity(s, at); at == crestStart {
				s.evacuate()
			}
		}}, 0.6, 0.9, 3},
		{"restart of all entries at the crest", load{classes: threeClasses(1.7, 1, 1), disturb: func(s *simulation, at time.Duration) {
			if shiftPopularity(s, at); at == crestStart+2*time.Second {
				s.restartEntries()
			}
		}}, 0.9, 0.6, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.load
			l.entries, l.groupSize, l.duration = 4, 8, 24*time.Second
			if l.disturb == nil {
				l.disturb = shiftPopularity
			}
			base := l.run(t, 1)
			l.prioritized = true
			s := l.run(t, 1)
			from := int(crestEnd/time.Second) + c.settled
			s.log(t, "with priorities")
			base.log(t, "baseline")
			if got, was := s.sumAll(from, 24), base.sumAll(from, 24); got.goodput() < c.after || got.inTime < was.inTime {
				t.Errorf("goodput %.2f after the crest, baseline %.2f", got.goodput(), was.goodput())
			}
			if got := s.sum(0, int(crestStart/time.Second), 24).goodput(); got < c.urgent {
				t.Errorf("goodput %.2f of the most urgent class", got)
			}
			s.checkOrder(t)
		})
	}
}

// noise is the difference between the goodput of two classes in one window that is due to chance.
const noise = 0.1

// checkOrder checks that each class is served as well as the less urgent ones in each window.
func (s *simulation) checkOrder(t *testing.T) {
	for w := 0; w+windowSize <= int(s.duration/time.Second); w += windowSize {
		for p := range 2 {
			if a, b := s.sum(p, w, w+windowSize), s.sum(p+1, w, w+windowSize); a.goodput() < b.goodput()-noise {
				t.Errorf("second %d: goodput %.2f of priority %d, %.2f of priority %d", w, a.goodput(), p, b.goodput(), p+1)
			}
		}
	}
}

func (s *simulation) log(t *testing.T, name string) {
	for w := 0; w+windowSize <= int(s.duration/time.Second); w += windowSize {
		line := ""
		for p := range 3 {
			x := s.sum(p, w, w+windowSize)
			line += fmt.Sprintf("  %d: %.2f of %d in time, %d lost", p, x.goodput(), x.arrived, x.lost)
		}
		t.Logf("%s, second %d:%s", name, w, line)
	}
}

// sumAll adds up the tallies of all priorities over the seconds from and to.
func (s *simulation) sumAll(from, to int) (out tally) {
	for p := range s.tallies {
		x := s.sum(p, from, to)
		out.arrived += x.arrived
		out.inTime += x.inTime
	}
	return out
}

// evacuate takes a third of the targets away.
func (s *simulation) evacuate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.targets[:0:0]
	for i, t := range s.targets {
		if i%3 > 0 {
			kept = append(kept, t)
		}
	}
	s.targets = kept
}

// starvedShare is the goodput of an account as a share of that of all requests below which the account counts as starved.
const starvedShare = 0.25

// TestOneLargeAccount guards against an account that sends most of the load and takes the places of the others.
func TestOneLargeAccount(t *testing.T) {
	account := func(r *rand.Rand) string {
		if r.IntN(2) == 0 {
			return "large"
		}
		return fmt.Sprint("small-", r.IntN(8))
	}
	l := load{entries: 4, groupSize: 8, duration: 20 * time.Second, disturb: shiftPopularity, classes: []loadClass{
		{0, crest(22, 1), 400 * time.Millisecond, nil}, {1, crest(80, 1), 400 * time.Millisecond, account}}}
	goodput := func(s *simulation) (large, small float64) {
		var others tally
		for name, x := range s.accounts {
			if name != "" && name != "large" {
				others.arrived, others.inTime = others.arrived+x.arrived, others.inTime+x.inTime
			}
		}
		return s.accounts["large"].goodput(), others.goodput()
	}
	_, base := goodput(l.run(t, 1))
	l.prioritized = true
	s := l.run(t, 1)
	large, small := goodput(s)
	t.Logf("goodput of the large account %.2f, of small ones %.2f, baseline %.2f", large, small, base)
	if small < 0.8 || small < base {
		t.Errorf("goodput %.2f of small accounts beside a large one, baseline %.2f", small, base)
	}
	if all := s.sumAll(0, int(l.duration/time.Second)).goodput(); large < all*starvedShare {
		t.Errorf("goodput %.2f of the large account, of all requests %.2f", large, all)
	}
}

// TestUrgentDisplacesWaiting guards against a less urgent request that stays in the queue although, after the arrival of
// more urgent ones, no place is expected to come free for it in time.
func TestUrgentDisplacesWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(1)
		job := func(priority int) *Job {
			j := modelJob(list)
			j.Prioritized, j.Class, j.Objective = true, priority, time.Second
			return j
		}
		leases := acquireAll(b, job(0))
		for range 100 { // shows that a place comes free every 50 ms, and lets the rate of urgent arrivals decay
			time.Sleep(50 * time.Millisecond)
			leases[0].Done(Served)
			leases[0], _ = b.Acquire(context.Background(), job(1))
		}
		refusals := make(chan *Refusal, 1)
		go func() {
			_, r := b.Acquire(context.Background(), job(1))
			refusals <- r
		}()
		synctest.Wait()
		if len(refusals) > 0 {
			t.Fatalf("refused at arrival: %+v", <-refusals)
		}
		began := time.Now()
		for range 4 {
			go func() { _, _ = b.Acquire(context.Background(), job(0)) }()
			synctest.Wait()
		}
		if r := <-refusals; r == nil || r.Reason != ReasonDisplaced || time.Since(began) > 0 {
			t.Errorf("%+v after %v", r, time.Since(began))
		}
		time.Sleep(time.Second)
	})
}

// TestContentionIsReported guards against contention that leaves no event, or one for each request.
func TestContentionIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		var events []Event
		b.Notify = func(e Event) { events = append(events, e) }
		decided := map[contention.Decision]int{}
		b.Decided = func(_ int, d contention.Decision) { decided[d]++ }
		job := modelJob(engines(1))
		job.Prioritized = true
		admitted := len(acquireAll(b, job))
		_, _ = b.Acquire(context.Background(), job)
		time.Sleep(5 * time.Second)
		b.Sweep(nil)
		b.Sweep(nil)
		if len(events) != 2 || events[0].Kind != EventContended || events[1].Kind != EventCalm || events[1].Counts.Refused != 2 {
			t.Errorf("events %+v", events)
		}
		if decided[contention.Admitted] != admitted || decided[contention.Full] != 2 {
			t.Errorf("decisions %v, %d were admitted", decided, admitted)
		}
	})
}

// TestReturningCallersKeepTheGap guards against returning callers that make all streams of a group late, and against a
// changed decision for services without priorities.
func TestReturningCallersKeepTheGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, prioritized := range []bool{false, true} {
			b, list := New("near", time.Now), engines(8)
			b.UpdateGroup(groupReport("g", 1, list, 1.1))
			job := modelJob(list)
			job.Prioritized = prioritized
			acquireAll(b, job)
			job.Returning, job.MaxWait = true, 0
			if n := len(acquireAll(b, job)); (n > 0) == prioritized {
				t.Errorf("priorities %v: %d returning callers beyond the event gap", prioritized, n)
			}
		}
	})
}

// TestGivingUpIsNoRefusal guards against callers that leave while they wait and count as refused for want of places, which
// would send other callers away for longer.
func TestGivingUpIsNoRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(1)
		job := modelJob(list)
		job.Prioritized, job.Objective, job.MaxWait = true, time.Second, time.Hour
		refused := 0
		b.Decided = func(_ int, d contention.Decision) {
			if d != contention.Admitted {
				refused++
			}
		}
		for {
			ctx, leave := context.WithTimeout(context.Background(), time.Millisecond)
			l, _ := b.Acquire(ctx, job)
			leave()
			if l == nil {
				break
			}
		}
		if refused > 0 {
			t.Errorf("%d refusals counted", refused)
		}
	})
}

// TestWaitsUntilRateIsKnown guards against a process that refuses all callers without a place in its first second, since it has
// not seen a place come free yet. Load pattern: restart of all entries at the crest.
func TestWaitsUntilRateIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(1)
		job := modelJob(list)
		job.Prioritized, job.Objective = true, time.Second
		leases := acquireAll(b, job) // the last attempt has waited in vain
		waited := make(chan *Refusal, 1)
		go func() { _, r := b.Acquire(context.Background(), job); waited <- r }()
		synctest.Wait()
		leases[0].Done(Served)
		if r := <-waited; r != nil {
			t.Errorf("refused: %+v", r)
		}
	})
}
