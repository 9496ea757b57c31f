// Package configsim runs the real configuration exchange of many processes in one, over an in-memory network with
// virtual time. The same seed gives the same run.
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
	// Latency is the time of a message one way.
	Latency = 5 * time.Millisecond
	// serviceCheck is how often a process looks whether it has to read the service itself, as in configsync.
	serviceCheck = time.Second
	// serviceEvery is the shortest time between two reads of one process that hears of nothing, as in configsync.
	serviceEvery = 2 * time.Second
)

// Node is one process.
type Node struct {
	VM     wire.VM
	Store  *config.Store
	Syncer *configsync.Syncer
	Up     bool
	Part   int  // nodes reach those with the same Part only
	NoRead bool // the service cannot be reached from here
	Bytes  int  // control messages sent and received, JSON without TCP headers

	id       int
	revision int64
	lastRead time.Time
}

// Sim is a fleet with a configuration service.
type Sim struct {
	Service *Service
	Nodes   []*Node

	now    time.Time
	events eventHeap
	order  int
	byAddr map[string]*Node
	vms    []wire.VM // of all nodes
	rng    *rand.Rand
	ctx    context.Context
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

// Restart starts a process without any state. Its start-up round is made when the next event runs.
func (s *Sim) Restart(n *Node) {
	n.Store, n.Up, n.revision, n.lastRead = &config.Store{}, true, 0, time.Time{}
	n.Syncer = configsync.New(configsync.Options{
		Self: func() wire.Hello {
			return wire.Hello{Name: n.VM.Name, DataCentre: n.VM.DataCentre, Control: n.VM.Control}
		},
		Store: n.Store, Source: &reader{s.Service, n}, Fleet: fleet{s}, Caller: &caller{s, n}, Clock: s,
		Log: &log.Logger{Handler: discard.Default},
		RunTasks: func(tasks []func()) {
			for _, task := range tasks {
				task()
			}
		},
		Rand: rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64())),
	})
	s.after(0, n, func() { s.start(n) })
	s.every(s.jitter(configsync.RoundInterval), configsync.RoundInterval, n, func() { s.round(n) })
	s.every(s.jitter(serviceCheck), serviceCheck, n, func() { s.serve(n) })
}

// start is the start-up round. It asks in turn what configsync.Start asks at once.
func (s *Sim) start(n *Node) {
	n.Syncer.Start(s.ctx)
	s.settle(n)
}

func (s *Sim) round(n *Node) {
	n.Syncer.Round(s.ctx)
	s.settle(n)
}

// serve reads the service if the process is a watcher that may have missed a change, or hears of nothing.
func (s *Sim) serve(n *Node) {
	if (n.Syncer.IsWatcher() || n.Syncer.MustReadService()) && s.now.Sub(n.lastRead) >= serviceEvery {
		s.read(n)
	}
}

func (s *Sim) read(n *Node) {
	n.lastRead = s.now
	_, _ = n.Syncer.ReadService(s.ctx)
	s.settle(n)
}

// settle plans what follows from new revisions and from pushes that told a process to pull.
func (s *Sim) settle(touched ...*Node) {
	for _, n := range touched {
		if cur := n.Store.Current(); cur != nil && cur.Revision() != n.revision {
			if cur.Revision() < n.revision {
				panic(fmt.Sprintf("%s went back from revision %d to %d", n.VM.Name, n.revision, cur.Revision()))
			}
			n.revision = cur.Revision()
			s.after(0, n, func() { s.round(n) })
		}
		for {
			select {
			case addr := <-n.Syncer.PullAddrs():
				s.after(2*Latency, n, func() { n.Syncer.Pull(s.ctx, addr); s.settle(n) })
				continue
			default:
			}
			break
		}
	}
}

// Publish puts a document into the service and wakes the watchers.
func (s *Sim) Publish(revision int64, body []byte) {
	s.Service.Revision, s.Service.Body = revision, body
	for _, n := range s.Nodes {
		if n.Up && n.Syncer.IsWatcher() {
			s.after(Latency, n, func() { s.read(n) })
		}
	}
}

// RunUntil runs until the condition holds, and says after which time it did, or false after the limit.
// The condition is looked at after each event.
func (s *Sim) RunUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	begin := s.now
	for !done() {
		if len(s.events) == 0 || s.events[0].at.Sub(begin) > limit {
			s.now = begin.Add(limit)
			return limit, false
		}
		s.step()
	}
	return s.now.Sub(begin), true
}

// AllAt says whether all running processes have the revision in force.
func (s *Sim) AllAt(revision int64) bool {
	for _, n := range s.Nodes {
		if n.Up && n.revision != revision {
			return false
		}
	}
	return true
}

func (s *Sim) step() {
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	if e.node.Up && e.node.Syncer == e.syncer {
		e.run()
	}
}

// after plans an event of the node, which is dropped if the process ends or restarts before.
func (s *Sim) after(d time.Duration, n *Node, run func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), node: n, syncer: n.Syncer, order: s.order, run: run})
}

func (s *Sim) every(first, interval time.Duration, n *Node, run func()) {
	s.after(first, n, func() {
		run()
		s.every(interval, interval, n, run)
	})
}

func (s *Sim) jitter(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) }

// event runs at a time. Events of the same time run by node.
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

// Accept gives a document to one process, as if it alone had read it from the service.
func (s *Sim) Accept(n *Node, revision int64, body []byte) {
	n.Syncer.Offer(body, revision, "service")
	s.settle(n)
}
