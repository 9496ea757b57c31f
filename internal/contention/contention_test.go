package contention

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// testClock is a clock that tests advance.
type testClock struct{ now time.Time }

func newTestClock() *testClock { return &testClock{time.Unix(1000, 0)} }

func (c *testClock) advance(d time.Duration) time.Time {
	c.now = c.now.Add(d)
	return c.now
}

// arrive lets requests arrive evenly for a time.
func arrive(s *Service, c *testClock, r Request, perSecond int, d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.advance(time.Second / time.Duration(perSecond)) {
		s.Arrived(r, c.now)
	}
}

// TestOrder guards against returning callers, who have missed their objective, or less urgent requests that take the
// place of one that can still be answered in time.
func TestOrder(t *testing.T) {
	order := []Rank{{0, TierInTime}, {0, TierOverShare}, {0, TierReturning}, {1, TierInTime}, {1, TierReturning}}
	for i := range order {
		for j := range order {
			if got := order[i].Before(order[j]); got != (i < j) {
				t.Errorf("%v before %v: %v", order[i], order[j], got)
			}
		}
	}
}

// TestKeptPlaces guards against places that are kept for less urgent requests, for peers that were not heard lately, or
// from a class that has next to no places.
func TestKeptPlaces(t *testing.T) {
	s, c := NewService(), newTestClock()
	if k := s.Kept(Rank{2, TierInTime}, c.now); k != 0 {
		t.Errorf("%.1f places kept before any request", k)
	}
	arrive(s, c, Request{Class: 0}, 100, 5*time.Second)
	s.SetPeer("p", []ClassDemand{{0, 200, 90}, {2, 50, 10}}, c.now)
	want := 300 * keepHorizon.Seconds()
	if k := s.Kept(Rank{2, TierInTime}, c.now); math.Abs(k-want) > 2 {
		t.Errorf("%.1f places kept from priority 2, want %.1f", k, want)
	}
	if k := s.Kept(Rank{0, TierInTime}, c.now); k != 0 {
		t.Errorf("%.1f places kept from the most urgent requests", k)
	}
	if k := s.Kept(Rank{0, TierReturning}, c.now); math.Abs(k-want) > 2 {
		t.Errorf("%.1f places kept from returning callers, want %.1f", k, want)
	}
	if k := s.Kept(Rank{1, TierInTime}, c.now); k != 0 {
		t.Errorf("%.1f places kept from a priority that has none", k)
	}
	if k := s.Kept(Rank{2, TierInTime}, c.advance(reportMaxAge)); k > 100*keepHorizon.Seconds() {
		t.Errorf("%.1f places kept after the peer's report is outdated and no request has arrived", k)
	}
}

// TestFairShare guards against one large account that takes the places of all others, and against a limit on accounts
// while all requests are admitted.
func TestFairShare(t *testing.T) {
	for _, refused := range []bool{false, true} {
		a, c := newAccounts(), newTestClock()
		for i := range 4000 {
			now := c.advance(2 * time.Millisecond)
			name := "large"
			if i%2 == 0 {
				name = fmt.Sprint("small-", i%10)
			}
			a.offered(name, now)
			if !refused || i%4 < 2 {
				a.admitted(name, now)
			}
		}
		if over := a.overShare("large", c.now); over != refused {
			t.Errorf("requests refused %v: the large account is over its share: %v", refused, over)
		}
		if a.overShare("small-2", c.now) {
			t.Errorf("requests refused %v: a small account is over its share", refused)
		}
	}
}

// TestImbalanceReserve guards against a new process that admits requests as if its groups were balanced, and against a
// reserve that forgets a shift of popularity before the next one.
func TestImbalanceReserve(t *testing.T) {
	r, c := ImbalanceReserve{}, newTestClock()
	if v := r.Value(c.now); v != MaxReserve {
		t.Errorf("reserve %.2f without a report", v)
	}
	for range 100 {
		r.Report(1.1, c.advance(200*time.Millisecond))
	}
	if v := r.Value(c.now); v > MinReserve+0.05 {
		t.Errorf("reserve %.2f after 20 s of balance", v)
	}
	r.Report(1.9, c.advance(200*time.Millisecond))
	if v := r.Value(c.now); v != 1.9 {
		t.Errorf("reserve %.2f at an imbalance of 1.9", v)
	}
	r.Report(1.1, c.advance(3*time.Second))
	if v := r.Value(c.now); v < 1.4 {
		t.Errorf("reserve %.2f, 3 s after an imbalance of 1.9", v)
	}
	r.Report(9, c.advance(time.Second))
	if v := r.Value(c.now); v != MaxReserve {
		t.Errorf("reserve %.2f at an imbalance of 9", v)
	}
	for range 100 {
		r.Report(1.1, c.advance(200*time.Millisecond))
	}
	if v := r.Value(c.advance(2 * reserveSlotLength)); v != MaxReserve {
		t.Errorf("reserve %.2f, 2 s after the last report", v)
	}
}

// TestRetryAfter guards against less urgent callers that return before more urgent ones, and against times that callers
// do not honour.
func TestRetryAfter(t *testing.T) {
	s, c := NewService(), newTestClock()
	for p := range 3 {
		arrive(s, c, Request{Class: p}, 50, time.Second)
	}
	latest := 2600 * time.Millisecond
	times := func(p int) (first, last time.Duration) {
		return s.RetryAfter(Request{Class: p}, latest, 0, c.now), s.RetryAfter(Request{Class: p}, latest, 1, c.now)
	}
	for p := range 2 {
		first, last := times(p)
		nextFirst, nextLast := times(p + 1)
		if first >= nextFirst || last >= nextLast || nextLast > latest {
			t.Errorf("priority %d returns after %v to %v, priority %d after %v to %v", p, first, last, p+1, nextFirst, nextLast)
		}
	}
	_, light := times(0)
	for range 20 {
		s.Decided(Request{}, Full, c.now)
	}
	if _, severe := times(0); severe <= light || severe > latest {
		t.Errorf("latest return %v under severe overload, %v without", severe, light)
	}
}

// TestEpisode guards against more than one report of the beginning and the end of contention.
func TestEpisode(t *testing.T) {
	s, c := NewService(), newTestClock()
	begun, ended := 0, 0
	var counts Counts
	for i := range 100 {
		d := Admitted
		if i >= 10 && i < 30 && i%2 == 0 {
			d = Full
		}
		if s.Decided(Request{}, d, c.advance(100*time.Millisecond)) {
			begun++
		}
		if over, _, n := s.Sweep(c.now); over {
			ended++
			counts = n
		}
	}
	if begun != 1 || ended != 1 || counts.Refused != 10 {
		t.Errorf("%d beginnings, %d ends, %+v", begun, ended, counts)
	}
}
