package soak_test

import (
	"fmt"
	"sync"
	"time"
)

// clientRequest is one request of a client and its result.
type clientRequest struct {
	ID          string
	Route       route
	Account     string
	Body        string
	Prompt      string // parts of the prompt, as in promptHeader
	Entry       string
	Incarnation int // incarnation of the entry's process, counted from 1
	Sent        time.Time
	Ended       time.Time // zero while the request runs
	Status      int       // 0 if there was no response
	Stamped     bool      // the response has the stamp header of a target
	Leaving     string    // id of the target that answered, if the response says that it leaves
	Answer      string
	Events      []string // events of a streamed response
	Complete    bool     // the response was read to its end without an error
	Err         error
}

// targetRequest is one request that reached a target, executed or refused.
type targetRequest struct {
	Target, Service  string
	DataCentre       string // of the target
	At               time.Time
	Method, URI      string
	Account, Body    string
	Prompt           string
	ResumeAfter      int
	RemainingTime    time.Duration // time left, as stated in the request
	RefusedUnstarted bool          // the target answered that it did not execute the request
	QuietFor         time.Duration // time for which the target asked for no other request; 0 if it did not
}

// faultPeriod is the period in which a fault or an operator action was in force. What begins with the kind of the
// fault.
type faultPeriod struct {
	What     string
	Planned  bool      // an operator action
	From, To time.Time // To is zero while the fault is in force
}

// crash is the end of a target that a part of a prompt has crashed.
type crash struct {
	Part string
	At   time.Time
}

// recorder collects what clients and targets observe during a run. It is safe for concurrent use.
type recorder struct {
	mu             sync.Mutex
	clientRequests []*clientRequest
	targetRequests map[string][]targetRequest
	faultPeriods   []*faultPeriod
	versions       map[int]time.Time    // time at which each configuration was published
	leaveBeganAt   map[string]time.Time // time at which each target began to leave
	crashes        []crash
	evacuations    []*evacuation
	violations     []string
	notes          []string // figures that checks have compared
	trace          []string // last steps and orders of the group
}

func newRecorder() *recorder {
	return &recorder{targetRequests: map[string][]targetRequest{}, versions: map[int]time.Time{}, leaveBeganAt: map[string]time.Time{}}
}

func (l *recorder) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *recorder) addClientRequest(c *clientRequest) {
	l.locked(func() { l.clientRequests = append(l.clientRequests, c) })
}

func (l *recorder) addTargetRequest(id string, r targetRequest) {
	l.locked(func() { l.targetRequests[id] = append(l.targetRequests[id], r) })
}

// addTrace keeps one line of the trace of the group. The caller holds mu.
func (l *recorder) addTrace(format string, args ...any) {
	line := time.Now().Format("05.000 ") + fmt.Sprintf(format, args...)
	l.trace = append(l.trace[max(0, len(l.trace)-maxTraceLines+1):], line)
}

// beginFault records the start of a fault and returns a function that records its end.
func (l *recorder) beginFault(what string, planned bool) (end func()) {
	d := &faultPeriod{What: what, Planned: planned, From: time.Now()}
	l.locked(func() { l.faultPeriods = append(l.faultPeriods, d) })
	return func() { l.locked(func() { d.To = time.Now() }) }
}

// noFaultBetween reports whether no fault was in force between two times. Planned ones count only if planned is set.
func (l *recorder) noFaultBetween(from, to time.Time, planned bool) bool {
	for _, d := range l.faultPeriods {
		if d.Planned && !planned {
			continue
		}
		if d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) {
			return false
		}
	}
	return true
}
