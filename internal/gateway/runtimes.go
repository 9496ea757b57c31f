package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

const (
	// recentRequests is the number of latest requests of a route by which its usual time is estimated.
	recentRequests = 64
	// usualShare is the share of the latest requests that took the usual time at most. A few slow ones do not make a route
	// slow.
	usualShare = 0.95
	// enoughRequests is the number of requests from which on their times alone count.
	enoughRequests = 8
	// recentLate is the number of latest requests that followed a long one, and enoughLate the number from which on they count.
	recentLate = 16
	enoughLate = 3
	// longestPeriod is the length of a period. The longest times of the present one and of the one before are kept.
	longestPeriod = time.Minute
)

// runTimes holds how long the latest requests of each route took. The zero value holds none.
type runTimes struct {
	mu     sync.Mutex
	routes map[string]*routeTimes // by name
}

// routeTimes holds times of the requests of one route.
type routeTimes struct {
	latest  [recentRequests]time.Duration // ring
	count   int                           // number of times that were added
	longest [2]time.Duration              // of the present period and the one before
	begun   time.Time                     // start of the present period

	// afterLong is a ring of the times of requests that followed a long one on their connection. Those that arrive once a planned
	// stop is drained are such requests, and may be unlike most others of the route.
	afterLong      [recentLate]time.Duration
	afterLongCount int // number of times that were added
}

// note adds the time of a request that has ended now.
func (t *routeTimes) note(took time.Duration, afterLong bool, now time.Time) {
	if afterLong {
		t.afterLong[t.afterLongCount%recentLate] = took
		t.afterLongCount++
	}
	t.latest[t.count%recentRequests] = took
	t.count++
	if now.Sub(t.begun) >= longestPeriod {
		t.longest[0], t.longest[1], t.begun = 0, t.longest[0], now
	}
	t.longest[0] = max(t.longest[0], took)
}

// add records how long a request of a route took from the end of its body to the end of its answer, and whether it followed a long
// one on its connection.
func (r *runTimes) add(route string, took time.Duration, afterLong bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := r.routes[route]
	if times == nil {
		if r.routes == nil {
			r.routes = map[string]*routeTimes{}
		}
		times = &routeTimes{}
		r.routes[route] = times
	}
	times.note(took, afterLong, time.Now())
}

// longestLate returns the longest time that a request has taken lately that is like those which arrive once a planned stop is
// drained. ok is false if too few requests of the route are known.
func (r *runTimes) longestLate(route *routetable.Route) (_ time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := r.routes[route.Name]
	if times == nil || times.count < enoughRequests {
		return 0, false
	}
	if n := times.afterLongCount; n >= enoughLate {
		return slices.Max(times.afterLong[:min(n, recentLate)]), true
	}
	return max(times.longest[0], times.longest[1]), true
}

// usual returns the time within which most requests of a route have had their whole answer. With few requests it is the
// latency objective at least.
func (r *runTimes) usual(route *routetable.Route) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := r.routes[route.Name]
	if times == nil {
		return route.Objective
	}
	n := min(times.count, recentRequests)
	sorted := slices.Sorted(slices.Values(times.latest[:n]))
	usual := sorted[int(usualShare*float64(n-1)+0.5)]
	if n < enoughRequests {
		usual = max(usual, route.Objective)
	}
	return usual
}
