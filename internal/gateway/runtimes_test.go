package gateway

import (
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// TestLongestLate guards against a late stream that is judged by requests unlike it: by too few of them, by all of the route although
// those that follow a long one are known, or by one of long ago.
func TestLongestLate(t *testing.T) {
	const short, long = 10 * time.Millisecond, 5 * time.Second
	route := &routetable.Route{Name: "r"}
	add := func(r *runTimes, n int, took time.Duration, afterLong bool) {
		for range n {
			r.add(route.Name, took, afterLong)
		}
	}
	for name, c := range map[string]struct {
		requests func(*runTimes)
		want     time.Duration // 0 if too few are known
	}{
		"none":                          {func(*runTimes) {}, 0},
		"too few":                       {func(r *runTimes) { add(r, enoughRequests-1, short, false) }, 0},
		"all short":                     {func(r *runTimes) { add(r, enoughRequests, short, false) }, short},
		"a long one among many":         {func(r *runTimes) { add(r, 1, long, false); add(r, 1000, short, false) }, long},
		"short ones follow long ones":   {func(r *runTimes) { add(r, 10, long, false); add(r, enoughLate, short, true) }, short},
		"long ones follow long ones":    {func(r *runTimes) { add(r, 100, short, false); add(r, enoughLate, long, true) }, long},
		"too few that follow long ones": {func(r *runTimes) { add(r, 10, long, false); add(r, enoughLate-1, short, true) }, long},
		"one followed, of long ago":     {func(r *runTimes) { add(r, 8, long, true); add(r, recentLate, short, true) }, short},
	} {
		var r runTimes
		c.requests(&r)
		if got, ok := r.longestLate(route); got != c.want || ok != (c.want > 0) {
			t.Errorf("%s: %v, %v, want %v", name, got, ok, c.want)
		}
	}
	var times routeTimes
	start := time.Now()
	times.note(long, false, start)
	times.note(short, false, start.Add(longestPeriod))
	if times.longest != [2]time.Duration{short, long} {
		t.Errorf("after one period: %v", times.longest)
	}
	times.note(short, false, start.Add(2*longestPeriod))
	if times.longest != [2]time.Duration{short, short} {
		t.Errorf("after two periods: %v", times.longest)
	}
}
