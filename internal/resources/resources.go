// Package resources divides the memory and the connections of a process between those who use it, as its settings limit them.
package resources

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/metrics"
	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

// Shares of the memory of the VM. Connections, garbage and the rest of the process need the other part.
const (
	// requestMemoryShare is the share for callers' requests in progress and for answers that are buffered.
	requestMemoryShare = 0.2
	// controlMemoryShare is the share for messages of other processes, so that callers cannot use it up.
	controlMemoryShare = 0.08
	// connMemoryShare is the share for callers' connections, each of which needs connBytes besides its requests.
	connMemoryShare = 0.2
	connBytes       = 32 << 10
	// waitingMemoryShare is the share for connections that wait to be accepted, each of which the system lets fill a buffer of
	// waitingBytes while the process stands still. Callers and other processes have such a share each.
	waitingMemoryShare = 0.2
	waitingBytes       = 128 << 10
	// heapMemoryShare is the share of the Go heap above which the runtime collects garbage at any cost in processor time.
	heapMemoryShare = 0.35
)

// Shares of the sockets. The rest is for the listeners, the platform and calls to other processes.
const (
	callerShare = 0.35
	// targetShare is above callerShare: each request that runs needs one connection to a target, and others are idle.
	targetShare  = 0.4
	controlShare = 0.12
	// soleControlShare is the share of other processes in a process that has no callers.
	soleControlShare = 0.6
	// maxMonitorConns and monitorShare bound the connections for readiness and those for metrics or operators.
	maxMonitorConns = 32
	monitorShare    = 1.0 / 16
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
)

// Limits are the limits that the settings of a process state.
type Limits struct {
	MemoryBytes int64 // of the VM; 0 for no limit
	Sockets     int   // 0 for no limit
	NoCallers   bool  // only other processes and operators use the process
}

// SocketsWithin returns the number of sockets of a process that may have that many descriptors open, or 0 if those are unlimited.
func SocketsWithin(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, descriptors-reservedFiles)
}

// Resources are the shares of a process.
type Resources struct {
	Requests *membudget.Budget // memory for callers' requests; nil for no bound
	Messages *membudget.Budget // memory for messages of other processes; nil for no bound

	Callers, Control, Ready, Operators *connlimit.Limit // connections of the listeners
	TargetConns                        int              // connections to targets; 0 for no bound
}

// New divides what the limits allow.
func New(limits Limits) *Resources {
	r := &Resources{}
	if limits.MemoryBytes > 0 {
		r.Requests = newBudget(limits.MemoryBytes, requestMemoryShare, "request")
		r.Messages = newBudget(limits.MemoryBytes, controlMemoryShare, "message")
	}
	share := func(part float64) int {
		if limits.Sockets == 0 {
			return 0
		}
		return max(1, int(part*float64(limits.Sockets))) // 0 would be no limit
	}
	control := share(controlShare)
	if limits.NoCallers {
		control = share(soleControlShare)
	}
	callers := share(callerShare)
	if limits.MemoryBytes > 0 && callers > 0 {
		callers = min(callers, max(1, int(connMemoryShare*float64(limits.MemoryBytes)/connBytes)))
	}
	r.Callers = newConnLimit(callers, "callers")
	r.Control = newConnLimit(control, "control")
	r.Control.SmallBuffers = true // messages are short
	r.Ready = newConnLimit(min(maxMonitorConns, share(monitorShare)), "ready")
	r.Operators = newConnLimit(min(maxMonitorConns, share(monitorShare)), "metrics")
	r.TargetConns = share(targetShare)
	for _, l := range []*connlimit.Limit{r.Callers, r.Control, r.Ready, r.Operators} {
		l.MaxWaiting = maxWaiting(l.Max(), limits.MemoryBytes)
	}
	return r
}

// maxWaiting returns the number of connections that may wait to be accepted on a listener with a number of places, or 0 for no
// bound.
func maxWaiting(places int, memory int64) int {
	if places == 0 || memory == 0 {
		return places
	}
	return min(places, max(1, int(waitingMemoryShare*float64(memory)/waitingBytes)))
}

// Listen listens on a TCP address with a bound on the connections that wait to be accepted.
func Listen(addr string, conns *connlimit.Limit) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return limitWaiting(l, err, conns)
}

// ListenPeers does the same for calls of other processes.
func (r *Resources) ListenPeers(addr string) (net.Listener, error) {
	l, err := tcpconn.Listen(addr)
	return limitWaiting(l, err, r.Control)
}

// limitWaiting bounds the connections that wait on a listener. It passes on the error of the one who has opened it.
func limitWaiting(l net.Listener, err error, conns *connlimit.Limit) (net.Listener, error) {
	if err != nil || conns.MaxWaiting == 0 {
		return l, err
	}
	if err := tcpconn.LimitBacklog(l.(*net.TCPListener), conns.MaxWaiting); err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return l, nil
}

// NewPeerServer returns a server of calls of other processes.
func (r *Resources) NewPeerServer() *peer.Server {
	s := peer.NewServer()
	s.Conns, s.Memory = r.Control, r.Messages
	return s
}

// newBudget returns a budget for a share of the memory, which counts what it takes back.
func newBudget(memory int64, share float64, kind string) *membudget.Budget {
	b := membudget.New(int64(share * float64(memory)))
	b.Reclaimed = func() { metrics.ClosedForRoom.Add(kind+"-stalled", 1) }
	return b
}

// newConnLimit returns a limit of the connections of a listener, which counts those that it closes.
func newConnLimit(conns int, listener string) *connlimit.Limit {
	l := connlimit.New(conns)
	l.Closed = func(r connlimit.Reason) { metrics.ClosedForRoom.Add(listener+"-"+string(r), 1) }
	return l
}

// LimitHeap makes the Go runtime keep the process below the memory of the VM, unless that is 0. An operator's GOMEMLIMIT takes
// precedence.
func LimitHeap(memoryBytes int64) {
	if memoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(memoryBytes)))
	}
}

// roomLogInterval is the least time between two log lines about what was closed to make room.
const roomLogInterval = time.Second

// LogClosedForRoom logs what was closed or refused to make room for others, in one line for each interval, until ctx ends.
func LogClosedForRoom(ctx context.Context) {
	tick := time.NewTicker(roomLogInterval)
	defer tick.Stop()
	logged := map[string]int64{}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		f := log.Fields{}
		metrics.EachCount(metrics.ClosedForRoom, func(label string, n int64) {
			if n > logged[label] {
				f[label] = n - logged[label]
			}
			logged[label] = n
		})
		if len(f) > 0 {
			log.WithFields(f).Warn("closed to make room")
		}
	}
}
