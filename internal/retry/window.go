package retry

import (
	"sync"
	"time"
)

// windowParts is the number of parts in which a window is counted.
const windowParts = 20

// safety is the part of the fleet's allowance that is used. The rest covers the skew between processes and the parts in
// which a window is counted.
const safety = 0.8

// discoveryTime is the time after a restart in which a process that knows no other one uses no slack, since it may not have
// heard of the others yet.
const discoveryTime = 2 * time.Second

// Allowance bounds the further attempts of the whole fleet at one service in any span of the window.
type Allowance struct {
	Share  float64 // of the requests in the window
	Slack  float64 // further attempts besides, by all processes together
	Window time.Duration
}

// Window counts requests and further attempts of one process at one service over a sliding window. It is not safe for
// concurrent use.
type Window struct {
	allowance Allowance
	parts     [windowParts]struct{ requests, repeats float64 }
	last      int64 // number of the present part
}

func (w *Window) advance(now time.Time) *struct{ requests, repeats float64 } {
	part := now.UnixNano() / int64(w.allowance.Window/(windowParts-1))
	if w.last == 0 || part-w.last >= windowParts {
		w.last = part - windowParts
	}
	for ; w.last < part; w.last++ {
		w.parts[(w.last+1)%windowParts] = struct{ requests, repeats float64 }{}
	}
	return &w.parts[part%windowParts]
}

func (w *Window) request(now time.Time) { w.advance(now).requests++ }

// take uses one further attempt if this process's share of the allowance permits it. slack is the part of the fleet's
// slack that this process may use.
func (w *Window) take(now time.Time, slack float64) bool {
	current := w.advance(now)
	requests, repeats := 0.0, 0.0
	for _, p := range w.parts {
		requests += p.requests
		repeats += p.repeats
	}
	if repeats+1 > safety*(w.allowance.Share*requests+slack*w.allowance.Slack) {
		return false
	}
	current.repeats++
	return true
}

// Fleet holds this process's share of the allowance of each service. It is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	allowance Allowance
	processes int
	windows   map[string]*Window
	now       func() time.Time
	started   time.Time
}

// NewFleet returns the share of a single process. first says that no process has run before in this place, so that
// nothing was used. The clock must be monotonic.
func NewFleet(a Allowance, first bool, now func() time.Time) *Fleet {
	f := &Fleet{allowance: a, processes: 1, windows: map[string]*Window{}, now: now, started: now()}
	if first {
		f.started = f.started.Add(-a.Window)
	}
	return f
}

// SetProcesses tells how many processes share the allowance.
func (f *Fleet) SetProcesses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = max(1, n)
}

// SetAllowance changes the fleet's allowance. Counts are kept unless the length of the window changes.
func (f *Fleet) SetAllowance(a Allowance) {
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

func (f *Fleet) window(service string) *Window {
	w := f.windows[service]
	if w == nil {
		w = &Window{allowance: f.allowance}
		f.windows[service] = w
	}
	return w
}

// Request counts a request of a caller for the service.
func (f *Fleet) Request(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.window(service).request(f.now())
}

// Take uses one further attempt at the service and says whether the share allows it.
func (f *Fleet) Take(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	return f.window(service).take(now, f.known(now)/float64(f.processes))
}

// known is the part of the window that this process has seen. What its predecessor used before a restart is not known
// and counts for the fleet, so that the slack grows over the first window.
func (f *Fleet) known(now time.Time) float64 {
	if f.processes == 1 && now.Sub(f.started) < discoveryTime {
		return 0
	}
	return min(1, float64(now.Sub(f.started))/float64(f.allowance.Window))
}
