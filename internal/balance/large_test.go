package balance

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// The sizes of the large deployment at one entry.
const (
	largeGroups    = 2
	largeGroupSize = 96
	largePeers     = 19
	largeWaiting   = 30
)

// largeBalancer returns a balancer with two groups of engines and the reports of its peers, and the engines.
func largeBalancer(now func() time.Time, open bool) (*Balancer, []*targetset.Target) {
	b, list := New("near", now), engines(largeGroups*largeGroupSize)
	for g := range largeGroups {
		r := groupReport(fmt.Sprint("g", g), 1, list[g*largeGroupSize:(g+1)*largeGroupSize], 1.2)
		r.TakesRequests = open
		b.UpdateGroup(r)
	}
	for p := range largePeers {
		b.SetPeerInFlight(fmt.Sprint("p", p), peerCounts(list, p))
	}
	return b, list
}

// peerCounts returns the requests in flight of a peer at some of the targets.
func peerCounts(list []*targetset.Target, peer int) map[string]int {
	counts := map[string]int{}
	for i := peer; i < len(list); i += largePeers {
		counts[list[i].ID] = 2
	}
	return counts
}

// TestBlockedRequestsAreAssessedOnce guards against work that grows with the number of callers that wait for a closed
// group, for each report of a peer or a group, so that entries are busiest when nothing is served.
func TestBlockedRequestsAreAssessedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list := largeBalancer(time.Now, false)
		assessed := 0
		job := modelJob(list)
		job.Returning, job.MaxWait = true, time.Second
		job.Targets = func() []*targetset.Target {
			assessed++
			return list
		}
		var wg sync.WaitGroup
		served := make(chan *Lease, largeWaiting)
		for range largeWaiting {
			wg.Go(func() {
				if l, r := b.Acquire(t.Context(), job); r == nil {
					served <- l
				}
			})
		}
		synctest.Wait()
		assessed = 0
		b.SetPeerInFlight("p1", peerCounts(list, 1))
		if assessed > 1 {
			t.Errorf("%d assessments of %d equal requests for one report", assessed, largeWaiting)
		}
		b.UpdateGroup(groupReport("g0", 2, list[:largeGroupSize], 1.2))
		wg.Wait()
		if len(served) != largeWaiting {
			t.Errorf("%d of %d callers were served after the group opened", len(served), largeWaiting)
		}
	})
}

// TestRefusalLooksAtTargetsOnce guards against a second pass over all targets, under the lock, for each refused request,
// although only the refusal of quiet targets depends on it.
func TestRefusalLooksAtTargetsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list := largeBalancer(time.Now, false)
		passes := 0
		job := modelJob(list)
		job.Targets = func() []*targetset.Target {
			passes++
			return list
		}
		if _, r := b.Acquire(t.Context(), job); r == nil || r.Reason != ReasonClosed {
			t.Fatalf("refusal %v", r)
		}
		if passes > 1 {
			t.Errorf("%d passes over the targets for one refusal", passes)
		}
	})
}

// TestPeerReportsAddUp guards against counts of peers that are added twice, kept after a newer report, or kept beyond
// their age.
func TestPeerReportsAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, list := New("near", time.Now), engines(2)
		check := func(what string, want ...int) {
			t.Helper()
			b.mu.Lock()
			defer b.mu.Unlock()
			counts, _ := b.loads(list, time.Now())
			for i, n := range counts {
				if n != want[i] {
					t.Errorf("%s: %d requests at %s, want %d", what, n, list[i].ID, want[i])
				}
			}
		}
		b.SetPeerInFlight("p", map[string]int{"i-0": 3, "i-1": 1})
		b.SetPeerInFlight("q", map[string]int{"i-0": 2})
		check("two peers", 5, 1)
		time.Sleep(peerReportMaxAge / 2)
		b.SetPeerInFlight("p", map[string]int{"i-0": 1})
		check("newer report", 3, 0)
		time.Sleep(peerReportMaxAge / 2)
		check("report at its age", 1, 0)
		b.SetPeerInFlight("p", nil)
		check("report without requests", 0, 0)
		b.SetPeerInFlight("q", map[string]int{"i-1": 4})
		check("peer that is back", 0, 4)
	})
}

// BenchmarkAcquire measures taking and freeing a place in the large deployment.
func BenchmarkAcquire(b *testing.B) {
	balancer, list := largeBalancer(time.Now, true)
	job := modelJob(list)
	for i := 0; b.Loop(); i++ {
		if i%100 == 0 { // keeps the reports recent
			for g := range largeGroups {
				balancer.UpdateGroup(GroupReport{Name: fmt.Sprint("g", g), Seq: int64(i + 2), TakesRequests: true, Imbalance: 1.2})
			}
			for p := range largePeers {
				balancer.SetPeerInFlight(fmt.Sprint("p", p), peerCounts(list, p))
			}
		}
		l, r := balancer.Acquire(context.Background(), job)
		if r != nil {
			b.Fatal(r)
		}
		l.Done(Served)
	}
}

// BenchmarkReportWhileCallersWait measures one report of a peer while callers wait for closed groups.
func BenchmarkReportWhileCallersWait(b *testing.B) {
	balancer, list := largeBalancer(time.Now, false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	job := modelJob(list)
	job.Returning, job.MaxWait = true, time.Hour
	for range largeWaiting {
		go balancer.Acquire(ctx, job)
	}
	for waiting := 0; waiting < largeWaiting; {
		balancer.mu.Lock()
		waiting = len(balancer.queueOf(job.Name).waiting)
		balancer.mu.Unlock()
	}
	for i := 0; b.Loop(); i++ {
		if i%100 == 0 {
			for g := range largeGroups {
				balancer.UpdateGroup(GroupReport{Name: fmt.Sprint("g", g), Seq: int64(i + 2), Imbalance: 1.2})
			}
		}
		balancer.SetPeerInFlight("p1", peerCounts(list, 1))
	}
}

// TestMissingRanksAreNoticed guards against a group whose ranks are never known: the report with them was lost or
// arrived after a later one, or the process has forgotten the group.
func TestMissingRanksAreNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("near", time.Now)
		list := engines(2)
		report := func(term, seq, ranksSeq int64, ranks bool) GroupReport {
			r := groupReport("g", seq, list, 1.1)
			r.Term, r.RanksSeq = term, ranksSeq
			if !ranks {
				r.Ranks = nil
			}
			return r
		}
		for _, step := range []struct {
			what  string
			r     GroupReport
			known bool
		}{
			{"first report without ranks", report(1, 2, 1, false), false},
			{"late report with ranks", report(1, 1, 1, true), true}, // ignored, as a later one is known
			{"still without ranks", report(1, 3, 1, false), false},
			{"with ranks", report(1, 4, 1, true), true},
			{"brief report", report(1, 5, 1, false), true},
			{"changed ranks", report(1, 6, 6, false), false},
			{"still the earlier ranks", report(1, 7, 6, false), false},
			{"with the changed ranks", report(1, 8, 6, true), true},
			{"new term", report(2, 9, 9, false), false},
		} {
			if known := b.UpdateGroup(step.r); known != step.known {
				t.Errorf("%s: ranks known %v, want %v", step.what, known, step.known)
			}
		}
		time.Sleep(groupExpiry)
		b.Sweep(nil)
		if b.UpdateGroup(report(2, 10, 9, false)) {
			t.Error("the ranks of a forgotten group count as known")
		}
	})
}
