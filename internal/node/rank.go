package node

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

const (
	// registerInterval is the time between two reports of a rank to an entry.
	registerInterval = time.Second
	// registerPause is the time until the next try after a report that failed.
	registerPause = 300 * time.Millisecond
	// tellInterval is the time between two reports of a group to the entries.
	tellInterval = 150 * time.Millisecond
	// takeoverAge is the time without a reading by a lower rank after which a rank coordinates its group. Each rank
	// waits takeoverStep longer than the one below it.
	takeoverAge  = 1200 * time.Millisecond
	takeoverStep = 500 * time.Millisecond
)

// rank is a process beside one rank of an engine group.
type rank struct {
	settings *Settings
	engine   rankgroup.Engine
	agent    *rankgroup.Agent
	client   *fleet.RankClient
	peers    *peer.Pool
	adapters Adapters
	started  time.Time

	mu     sync.Mutex
	self   fleet.Rank
	ranks  map[int]fleet.Rank
	direct map[string]*rankgroup.Agent // agents for engines whose own process does not answer, by address
	model  *routetable.Engine
	seq    int64
	told   time.Time // last report of the group to the entries
	full   fullState // last report that named the ranks
}

// fullState is what a report of a group with its ranks said of them.
type fullState struct {
	at    time.Time
	term  int64
	ranks []fleet.RankState
}

// fullInterval is the time between two reports of a group that name its ranks, though nothing of them has changed: an
// entry that started meanwhile needs them.
const fullInterval = time.Second

func newRank(s *Settings, a Adapters) *rank {
	r := &rank{settings: s, adapters: a, started: time.Now(), ranks: map[int]fleet.Rank{}, direct: map[string]*rankgroup.Agent{},
		peers: &peer.Pool{Idle: peerIdle}}
	r.engine = a.Engine(s.LocalEngine)
	r.agent = rankgroup.NewAgent(r.engine, r.started.UnixNano())
	r.client = &fleet.RankClient{Seeds: s.Seeds, Pool: r.peers}
	r.self = fleet.Rank{Name: s.Name, Control: net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First)), Started: r.started.UnixNano(),
		Engine: s.LocalEngine, Rank: -1}
	return r
}

// Methods that the processes beside ranks serve.
const (
	methodRead    = "rank.read"
	methodOrder   = "rank.order"
	methodExperts = "rank.experts"
)

func (r *rank) run(ctx context.Context) error {
	l, err := net.Listen("tcp", r.self.Control)
	if err != nil {
		return err
	}
	server := peer.NewServer()
	server.Handle(methodRead, peer.Typed(r.agent.Read))
	server.Handle(methodOrder, peer.Typed(r.agent.Order))
	server.Handle(methodExperts, peer.Typed(func(ctx context.Context, _ struct{}) ([][]int, error) { return r.engine.Experts(ctx) }))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = server.Serve(background, l) }() // ends with the process
	go r.adapters.Reload.run(background, r.settings, func(s *Settings) { r.client.SetSeeds(s.Seeds) })
	serveMetrics(background, r.settings.Listen.Metrics, nil)
	r.register(ctx)
	server.Close()
	return nil
}

// register reports the rank to the entries until ctx ends, and coordinates the group once it is known.
func (r *rank) register(ctx context.Context) {
	var group string
	stop := func() {}
	for ctx.Err() == nil {
		wait := registerInterval
		if self, ok := r.identify(ctx); !ok || !r.report(ctx, self) {
			wait = registerPause
		} else if self.Group != group {
			stop()
			group = self.Group
			stop = r.coordinate(ctx, self)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	stop()
}

// identify asks the engine for its place in its group.
func (r *rank) identify(ctx context.Context) (fleet.Rank, bool) {
	ctx, cancel := context.WithTimeout(ctx, registerPause)
	defer cancel()
	s, err := r.engine.Status(ctx)
	if err != nil || s.Group == "" {
		return fleet.Rank{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.self.Group != s.Group || r.self.Rank != s.Rank {
		log.WithFields(log.Fields{"group": s.Group, "rank": s.Rank, "size": s.Size, "epoch": s.Epoch}).Info("rank")
	}
	r.self.Group, r.self.Rank, r.self.Size = s.Group, s.Rank, s.Size
	return r.self, true
}

func (r *rank) report(ctx context.Context, self fleet.Rank) bool {
	reply, err := r.client.Register(ctx, self)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range reply.Ranks {
		if known, ok := r.ranks[other.Rank]; !ok || known.Started <= other.Started {
			r.ranks[other.Rank] = other
		}
	}
	if reply.Engine != nil {
		r.model = reply.Engine
	}
	return true
}

func (r *rank) coordinate(ctx context.Context, self fleet.Rank) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	c := rankgroup.NewCoordinator(rankgroup.Options{
		Rank: self.Rank, Size: self.Size, Ranks: r, Engine: r.engineModel, Tell: func(s rankgroup.Report) { r.tell(ctx, self, s) },
		Notify: logGroup(self.Group), Now: time.Now, Active: func() bool { return r.coordinates(self.Rank) },
	})
	go c.Run(ctx)
	return cancel
}

// coordinates says whether no process beside a lower rank coordinates the group.
func (r *rank) coordinates(own int) bool {
	if own == 0 {
		return true
	}
	last := r.agent.LastRead(own)
	if last.Before(r.started) {
		last = r.started
	}
	return time.Since(last) > takeoverAge+time.Duration(own)*takeoverStep
}

func (r *rank) engineModel() *routetable.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.model
}

// tell sends the state of the group to the entries, unless it was sent a moment ago.
func (r *rank) tell(ctx context.Context, self fleet.Rank, s rankgroup.Report) {
	if out, due := r.groupState(self, s, time.Now()); due {
		r.client.SendGroupState(ctx, out)
	}
}

func (r *rank) groupState(self fleet.Rank, s rankgroup.Report, now time.Time) (out fleet.GroupState, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.told) < tellInterval {
		return out, false
	}
	r.told = now
	r.seq++
	out = fleet.GroupState{Group: self.Group, Term: s.Term, Seq: r.seq, Open: true, Imbalance: s.Imbalance}
	for i, rank := range s.Status {
		out.Epoch = max(out.Epoch, rank.Epoch)
		// A rank without a process of ours never answers, which says nothing of its group. A known one that does not answer
		// holds up all others before they notice.
		if _, known := r.ranks[i]; known {
			out.Open = out.Open && rank.Open
		}
		out.Ranks = append(out.Ranks, fleet.RankState{Engine: r.ranks[i].Engine, Pace: rank.Pace})
	}
	if r.full.term == s.Term && now.Sub(r.full.at) < fullInterval && slices.Equal(r.full.ranks, out.Ranks) {
		out.Ranks = nil
	} else {
		r.full = fullState{now, s.Term, out.Ranks}
	}
	return out, true
}
