package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets in which the events of a window are counted.
const windowBuckets = 20

// safetyFactor is the fraction of the fleet's allowance that is used. The rest covers the differences between processes
// and the coarseness of the buckets.
const safetyFactor = 0.8

// discoveryTime is the time after a restart during which a process that knows of no other process uses no slack, since
// it may not have heard of the others yet.
const discoveryTime = 2 * time.Second

// Allowance limits the retries of the whole fleet to one service within any period of length Window, to
// Share * requests + Slack.
type Allowance struct {
	Share  float64 // retries permitted for each request in the window
	Slack  float64 // retries permitted in addition, by all processes together
	Window time.Duration
}

// Window counts the requests and retries of one process to one service over a sliding window. It is not safe for
// concurrent use.
type Window struct {
	allowance  Allowance
	buckets    [windowBuckets]struct{ requests, retries float64 }
	lastBucket int64 // number of the newest bucket, counted from the Unix epoch
}

// advance clears the buckets that have left the window and returns the bucket for now.
func (w *Window) advance(now time.Time) *struct{ requests, retries float64 } {
	bucket := now.UnixNano() / int64(w.allowance.Window/(windowBuckets-1))
	if w.lastBucket == 0 || bucket-w.lastBucket >= windowBuckets {
		w.lastBucket = bucket - windowBuckets
	}
	for ; w.lastBucket < bucket; w.lastBucket++ {
		w.buckets[(w.lastBucket+1)%windowBuckets] = struct{ requests, retries float64 }{}
	}
	return &w.buckets[bucket%windowBuckets]
}

func (w *Window) countRequest(now time.Time) { w.advance(now).requests++ }

// take uses one retry if this process's share of the allowance permits it. slackShare is the fraction of the fleet's
// slack that this process may use.
func (w *Window) take(now time.Time, slackShare float64) bool {
	current := w.advance(now)
	requests, retries := 0.0, 0.0
	for _, p := range w.buckets {
		requests += p.requests
		retries += p.retries
	}
	if retries+1 > safetyFactor*(w.allowance.Share*requests+slackShare*w.allowance.Slack) {
		return false
	}
	current.retries++
	return true
}

// FleetBudget limits the retries of this process to its share of the fleet's allowance for each service. It is safe for
// concurrent use.
type FleetBudget struct {
	mu        sync.Mutex
	allowance Allowance
	processes int
	windows   map[string]*Window
	now       func() time.Time
	startedAt time.Time
}

// NewFleetBudget returns a limiter for a single process that has the whole allowance until SetProcesses is called.
// firstStart says that no earlier process has run in this one's place, so that none of the slack can have been used.
// The clock must be monotonic.
func NewFleetBudget(a Allowance, firstStart bool, now func() time.Time) *FleetBudget {
	f := &FleetBudget{allowance: a, processes: 1, windows: map[string]*Window{}, now: now, startedAt: now()}
	if firstStart {
		f.startedAt = f.startedAt.Add(-a.Window)
	}
	return f
}

// SetProcesses sets the number of processes that share the allowance.
func (f *FleetBudget) SetProcesses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = max(1, n)
}

// SetAllowance changes the fleet's allowance. Counts are kept unless the length of the window changes.
func (f *FleetBudget) SetAllowance(a Allowance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Window != f.allowance.Window {
		f.windows = map[string]*Window{}
	}
	for _, w := range f.windows {
		w.allowance = a
	}
	f.allowance = a
}

func (f *FleetBudget) window(service string) *Window {
	w := f.windows[service]
	if w == nil {
		w = &Window{allowance: f.allowance}
		f.windows[service] = w
	}
	return w
}

// CountRequest counts a caller's request to the service.
func (f *FleetBudget) CountRequest(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(service).countRequest(f.now())
}

// Take uses one retry to the service. It returns false if this process's share permits none.
func (f *FleetBudget) Take(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return f.window(service).take(now, f.seenShare(now)/float64(f.processes))
}

// seenShare returns the fraction of the window that lies after the start of this process. The retries that its
// predecessor made before a restart are unknown and count against the fleet's slack, so the slack that this process may
// use grows from zero over the first window.
func (f *FleetBudget) seenShare(now time.Time) float64 {
	if f.processes == 1 && now.Sub(f.startedAt) < discoveryTime {
		return 0
	}
	return min(1, float64(now.Sub(f.startedAt))/float64(f.allowance.Window))
}
