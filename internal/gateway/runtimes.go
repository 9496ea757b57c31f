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
)

// runTimes holds how long the latest requests of each route took. The zero value holds none.
type runTimes struct {
	mu     sync.Mutex
	routes map[string]*routeTimes // by name
}

// routeTimes is a ring of the latest times of one route.
type routeTimes struct {
	latest [recentRequests]time.Duration
	count  int // number of times that were added
}

// add records how long a request of a route took from the end of its body to the end of its answer.
func (r *runTimes) add(route string, took time.Duration) {
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
	times.latest[times.count%recentRequests] = took
	times.count++
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
