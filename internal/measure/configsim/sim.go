// Package configsim simulates a fleet of processes that exchange the configuration. Each simulated process runs the
// code of package configsync; the network, the configuration service and the clock are simulated in memory and in
// virtual time. The same seed gives the same run. Tests and measurements use it to check how fast a new revision
// reaches all processes, also after restarts and network faults.
package configsim

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/configsync"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// Latency is the one-way latency of a message.
	Latency = 5 * time.Millisecond
	// serviceCheckInterval is how often a process checks whether it has to read the service itself, as in configsync.
	serviceCheckInterval = time.Second
	// minReadInterval is the shortest time between two periodic reads of the service by one process, as in configsync.
	minReadInterval = 2 * time.Second
)

// Node is one simulated process.
type Node struct {
	VM                 wire.VM
	Store              *config.Store
	Syncer             *configsync.Syncer
	Up                 bool
	Partition          int  // network partition; nodes reach only nodes of the same Partition
	ServiceUnreachable bool // the node cannot reach the service
	ControlBytes       int  // control messages sent and received, JSON without TCP headers

	id       int
	revision int64
	lastRead time.Time
}

// Sim is a simulated fleet with a configuration service.
type Sim struct {
	Service *Service
	Nodes   []*Node

	now       time.Time
	events    eventHeap
	lastOrder int
	byAddr    map[string]*Node
	vms       []wire.VM // of all nodes
	rng       *rand.Rand
	ctx       context.Context
}

// New returns a fleet of n processes in the given number of data centres, without any configuration.
func New(n, dataCentres int, seed uint64) *Sim {
	s := &Sim{now: time.Unix(1_000_000, 0), byAddr: map[string]*Node{}, rng: rand.New(rand.NewPCG(seed, 1)), ctx: context.Background()}
	s.Service = &Service{sim: s, Up: true}
	for i := range n {
		vm := wire.VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), State: wire.StateLive, Control: fmt.Sprintf("10.0.0.0:%d", i)}
		node := &Node{VM: vm, id: i}
		s.Nodes = append(s.Nodes, node)
		s.vms = append(s.vms, vm)
		s.byAddr[vm.Control] = node
	}
	for _, node := range s.Nodes {
		s.Restart(node)
	}
	return s
}

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return s.now }

// Restart starts a process without any state. Its start-up round is scheduled as an event at the current virtual time.
func (s *Sim) Restart(n *Node) {
	n.Store, n.Up, n.revision, n.lastRead = &config.Store{}, true, 0, time.Time{}
	n.Syncer = configsync.New(configsync.Options{
		Self: func() wire.Hello {
			return wire.Hello{Name: n.VM.Name, DataCentre: n.VM.DataCentre, Control: n.VM.Control}
		},
		Store: n.Store, Source: &serviceReader{s.Service, n}, Fleet: peerList{s}, Caller: &controlCaller{s, n}, Clock: s,
		Log: &log.Logger{Handler: discard.Default},
		RunTasks: func(tasks []func()) {
			for _, task := range tasks {
				task()
			}
		},
		Rand: rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())),
	})
	s.after(0, n, func() { s.runStart(n) })
	s.every(s.jitter(configsync.RoundInterval), configsync.RoundInterval, n, func() { s.runRound(n) })
	s.every(s.jitter(serviceCheckInterval), serviceCheckInterval, n, func() { s.checkService(n) })
}

// runStart runs the start-up round. Its requests run one after the other, while configsync.Start of a real process runs
// them concurrently.
func (s *Sim) runStart(n *Node) {
	n.Syncer.Start(s.ctx)
	s.scheduleFollowUps(n)
}

func (s *Sim) runRound(n *Node) {
	n.Syncer.Round(s.ctx)
	s.scheduleFollowUps(n)
}

// checkService reads the service if the process is a watcher, which may have missed a change, or if configsync requires
// a read because the process has no exchange with peers or no process has an answer from the service.
func (s *Sim) checkService(n *Node) {
	if (n.Syncer.IsWatcher() || n.Syncer.MustReadService()) && s.now.Sub(n.lastRead) >= minReadInterval {
		s.readService(n)
	}
}

func (s *Sim) readService(n *Node) {
	n.lastRead = s.now
	_, _ = n.Syncer.ReadService(s.ctx)
	s.scheduleFollowUps(n)
}

// scheduleFollowUps schedules a round of each node that has a new revision in force, and the pulls that pushes from
// peers have told a node to make. It panics if the revision of a node decreases.
func (s *Sim) scheduleFollowUps(nodes ...*Node) {
	for _, n := range nodes {
		if cur := n.Store.Current(); cur != nil && cur.Revision() != n.revision {
			if cur.Revision() < n.revision {
				panic(fmt.Sprintf("%s: revision decreased from %d to %d", n.VM.Name, n.revision, cur.Revision()))
			}
			n.revision = cur.Revision()
			s.after(0, n, func() { s.runRound(n) })
		}
		for {
			select {
			case addr := <-n.Syncer.PullAddrs():
				s.after(2*Latency, n, func() { n.Syncer.Pull(s.ctx, addr); s.scheduleFollowUps(n) })
				continue
			default:
			}
			break
		}
	}
}

// Publish stores a document in the service and schedules a read by each watcher.
func (s *Sim) Publish(revision int64, body []byte) {
	s.Service.Revision, s.Service.Body = revision, body
	for _, n := range s.Nodes {
		if n.Up && n.Syncer.IsWatcher() {
			s.after(Latency, n, func() { s.readService(n) })
		}
	}
}

// RunUntil runs events until the condition holds. It returns the virtual time that this took, or the limit and false if
// the condition does not hold within the limit. The condition is evaluated before the first and after each event.
func (s *Sim) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	begin := s.now
	for !done() {
		if len(s.events) == 0 || s.events[0].at.Sub(begin) > limit {
			s.now = begin.Add(limit)
			return limit, false
		}
		s.runNextEvent()
	}
	return s.now.Sub(begin), true
}

// AllAt reports whether all running processes have the revision in force.
func (s *Sim) AllAt(revision int64) bool {
	for _, n := range s.Nodes {
		if n.Up && n.revision != revision {
			return false
		}
	}
	return true
}

func (s *Sim) runNextEvent() {
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	if e.node.Up && e.node.Syncer == e.syncer {
		e.run()
	}
}

// after schedules an event of the node. The event is dropped if the process has stopped or restarted by then.
func (s *Sim) after(d time.Duration, n *Node, run func()) {
	s.lastOrder++
	heap.Push(&s.events, event{at: s.now.Add(d), node: n, syncer: n.Syncer, order: s.lastOrder, run: run})
}

func (s *Sim) every(first, interval time.Duration, n *Node, run func()) {
	s.after(first, n, func() {
		run()
		s.every(interval, interval, n, run)
	})
}

func (s *Sim) jitter(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// event is a function of a node that runs at a virtual time. Events of the same time run in the order of the nodes, and
// those of one node in the order in which they were scheduled.
type event struct {
	at     time.Time
	node   *Node
	syncer *configsync.Syncer
	order  int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	if a.node != b.node {
		return a.node.id < b.node.id
	}
	return a.order < b.order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Accept offers a document to one process, as if that process alone had read it from the service.
func (s *Sim) Accept(n *Node, revision int64, body []byte) {
	n.Syncer.Offer(body, revision, "service")
	s.scheduleFollowUps(n)
}
