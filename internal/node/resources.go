package node

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

// Shares of the descriptors that are left for sockets. The rest is for the listeners, the store and calls to other processes.
const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	callerShare   = 0.35
	// targetShare is above callerShare: each request that runs needs one connection to a target, and others are idle.
	targetShare  = 0.4
	controlShare = 0.12
	// rankControlShare is the share in a process that has no callers.
	rankControlShare = 0.6
	// maxMonitorConns and monitorShare bound the connections for readiness and those for metrics.
	maxMonitorConns = 32
	monitorShare    = 1.0 / 16
)

// resources are the memory and the connections of a process that others use, as its settings limit them.
type resources struct {
	requests *membudget.Budget // callers' requests; nil for no bound
	control  *membudget.Budget // messages of other processes; nil for no bound

	callerConns, controlConns, readyConns, metricsConns *connlimit.Limit
	targetConns                                         int // 0 for no bound
}

// newResources divides the memory and the descriptors that the settings state.
func newResources(s *Settings) *resources {
	r := &resources{}
	if s.MemoryBytes > 0 {
		r.requests = newBudget(s.MemoryBytes, requestMemoryShare, "request")
		r.control = newBudget(s.MemoryBytes, controlMemoryShare, "message")
	}
	sockets := 0
	if s.MaxFiles > 0 {
		sockets = max(1, s.MaxFiles-reservedFiles)
	}
	share := func(part float64) int {
		if sockets == 0 {
			return 0
		}
		return max(1, int(part*float64(sockets))) // 0 would be no limit
	}
	control := share(controlShare)
	if s.Role == RoleRank {
		control = share(rankControlShare)
	}
	callers := share(callerShare)
	if s.MemoryBytes > 0 && callers > 0 {
		callers = min(callers, max(1, int(connMemoryShare*float64(s.MemoryBytes)/connBytes)))
	}
	r.callerConns = newConnLimit(callers, "callers")
	r.controlConns = newConnLimit(control, "control")
	r.controlConns.SmallBuffers = true // messages are short
	r.readyConns = newConnLimit(min(maxMonitorConns, share(monitorShare)), "ready")
	r.metricsConns = newConnLimit(min(maxMonitorConns, share(monitorShare)), "metrics")
	r.targetConns = share(targetShare)
	for _, l := range []*connlimit.Limit{r.callerConns, r.controlConns, r.readyConns, r.metricsConns} {
		l.MaxWaiting = maxWaiting(l.Max(), s.MemoryBytes)
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

// listen listens on a TCP address with a bound on the connections that wait to be accepted.
func listen(addr string, conns *connlimit.Limit) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	return limitWaiting(l, err, conns)
}

// listenPeers does the same for calls of other processes.
func (r *resources) listenPeers(addr string) (net.Listener, error) {
	l, err := tcpconn.Listen(addr)
	return limitWaiting(l, err, r.controlConns)
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

// newPeerServer returns a server of calls of other processes.
func (r *resources) newPeerServer() *peer.Server {
	s := peer.NewServer()
	s.Conns, s.Memory = r.controlConns, r.control
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

// limitHeap makes the Go runtime keep the process below the memory of the VM. An operator's GOMEMLIMIT takes precedence.
func (s *Settings) limitHeap() {
	if s.MemoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapMemoryShare * float64(s.MemoryBytes)))
	}
}

// roomLogInterval is the least time between two log lines about what was closed to make room.
const roomLogInterval = time.Second

// logClosedForRoom logs what was closed or refused to make room for others, in one line for each interval, until ctx ends.
func logClosedForRoom(ctx context.Context) {
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
