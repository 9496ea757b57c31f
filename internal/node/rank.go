package node

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/resources"
	"github.com/camphorbank/camphorbank/internal/routetable"
)

const (
	// registerInterval is the time between two registrations of a rank with an entry.
	registerInterval = time.Second
	// registerRetryDelay is the delay before the next registration after a failed one. It also bounds the wait for the
	// engine's status before each registration.
	registerRetryDelay = 300 * time.Millisecond
	// groupReportInterval is the least time between two reports of a group's state to the entries.
	groupReportInterval = 150 * time.Millisecond
	// takeoverAge is the time without a read by a lower rank's process after which a rank's process coordinates the
	// group. Each rank waits takeoverStep longer than the one below it, so that they take over one at a time.
	takeoverAge  = 1200 * time.Millisecond
	takeoverStep = 500 * time.Millisecond
)

// rank is a process that runs beside one rank of an engine group.
type rank struct {
	settings *Settings
	engine   rankgroup.Engine
	agent    *rankgroup.Agent
	client   *fleet.RankClient
	peers    *peer.Pool
	adapters Adapters
	started  time.Time

	mu             sync.Mutex
	self           fleet.Rank
	ranks          map[int]fleet.Rank          // known processes beside the group's ranks, by rank
	silentAgents   map[string]time.Time        // time of the last unanswered reading of a rank's process, by control address
	directAgents   map[string]*rankgroup.Agent // agents for engines whose own process does not answer, by address
	engineConfig   *routetable.Engine          // engine parameters of the service; nil while they are unknown
	seq            int64                       // number of the last group report
	lastReport     time.Time                   // time of the last report of the group to the entries
	firstWithRanks fleet.GroupState            // first report of the last term with the present ranks
}

// newRank creates the parts of a process beside a rank. Its group and rank are unknown until the engine states them.
func newRank(s *Settings, a Adapters) *rank {
	r := &rank{settings: s, adapters: a, started: time.Now(), ranks: map[int]fleet.Rank{}, directAgents: map[string]*rankgroup.Agent{},
		silentAgents: map[string]time.Time{},
		peers:        &peer.Pool{IdleTimeout: peerIdleTimeout}}
	r.engine = a.Engine(s.LocalEngine)
	r.agent = rankgroup.NewAgent(r.engine, r.started.UnixNano())
	r.client = &fleet.RankClient{Seeds: s.Seeds, Pool: r.peers}
	r.self = fleet.Rank{Name: s.Name, Control: net.JoinHostPort(s.IP, strconv.Itoa(s.Ports.First)), Started: r.started.UnixNano(),
		Engine: s.LocalEngine, Rank: -1, DataCentre: s.DataCentre}
	return r
}

// Names of the RPC methods that the processes beside ranks serve.
const (
	methodRead        = "rank.read"
	methodOrder       = "rank.order"
	methodExperts     = "rank.experts"
	methodReadBranch  = "rank.read-branch"
	methodOrderBranch = "rank.order-branch"
)

// run serves the coordinators of the group, and registers with the entries until ctx ends.
func (r *rank) run(ctx context.Context) error {
	shares := resources.New(r.settings.limits())
	l, err := shares.ListenPeers(r.self.Control)
	if err != nil {
		return err
	}
	server := shares.NewPeerServer()
	server.Handle(methodRead, peer.TypedHandler(r.agent.Read))
	server.Handle(methodOrder, peer.TypedHandler(r.agent.Order))
	relay := rankgroup.Relay{Ranks: r, Knows: r.knowsRank}
	server.Handle(methodReadBranch, peer.TypedHandler(relay.Read))
	server.Handle(methodOrderBranch, peer.TypedHandler(relay.Order))
	server.Handle(methodExperts, peer.TypedHandler(func(ctx context.Context, _ struct{}) (rankgroup.HeldExperts, error) {
		return r.agent.Experts(ctx)
	}))
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go func() { _ = server.Serve(background, l) }() // ends with the process
	go r.adapters.Reload.run(background, r.settings, func(s *Settings) { r.client.SetSeeds(s.Seeds) })
	serveMetrics(background, r.settings.Listen.Metrics, shares.Operators, nil)
	go resources.LogClosedForRoom(background)
	r.runRegistration(ctx)
	server.Close()
	return nil
}

// runRegistration registers the rank with the entries until ctx ends. It starts a coordinator once the rank's place in a group is
// known, and replaces it when that changes.
func (r *rank) runRegistration(ctx context.Context) {
	var started fleet.Rank // place for which the coordinator was started
	stop := func() {}
	for ctx.Err() == nil {
		wait := registerInterval
		if self, ok := r.identify(ctx); !ok || !r.registerOnce(ctx, self) {
			wait = registerRetryDelay
		} else if !samePlace(self, started) {
			stop()
			started = self
			stop = r.startCoordinator(ctx, self)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	stop()
}

// samePlace reports whether a process is beside the same rank of the same group as before.
func samePlace(a, b fleet.Rank) bool {
	return a.Group == b.Group && a.Rank == b.Rank && a.Size == b.Size
}

// identify asks the engine for its group, its rank and the size of the group. It returns false while the engine does
// not answer or is in no group.
func (r *rank) identify(ctx context.Context) (fleet.Rank, bool) {
	ctx, cancel := context.WithTimeout(ctx, registerRetryDelay)
	defer cancel()
	s, err := r.engine.Status(ctx)
	if err != nil || !s.InGroup() {
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

// registerOnce registers the rank with an entry and records the reply. It reports whether an entry answered.
func (r *rank) registerOnce(ctx context.Context, self fleet.Rank) bool {
	reply, err := r.client.Register(ctx, self)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRanks(reply.Ranks)
	if reply.Engine != nil {
		r.engineConfig = reply.Engine
	}
	return true
}

// storeRanks records processes beside ranks, as an entry names them. A process that is named for another rank than before has left
// its former one. r.mu must be held.
func (r *rank) storeRanks(named []fleet.Rank) {
	for _, other := range named {
		maps.DeleteFunc(r.ranks, func(i int, known fleet.Rank) bool {
			return i != other.Rank && known.Name == other.Name && known.Started <= other.Started
		})
	}
	for _, other := range named {
		if known, ok := r.ranks[other.Rank]; !ok || known.Started <= other.Started {
			r.ranks[other.Rank] = other
		}
	}
}

// startCoordinator runs a coordinator of the group, which is active while isCoordinator holds. The returned function
// stops it.
func (r *rank) startCoordinator(ctx context.Context, self fleet.Rank) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	c := rankgroup.NewCoordinator(rankgroup.Options{
		Rank: self.Rank, Size: self.Size, Ranks: r, DataCentre: r.dataCentre, Engine: r.loadEngineConfig,
		SendReport: func(s rankgroup.Report) { r.sendGroupState(ctx, self, s) },
		Notify:     logGroup(self.Group), Now: time.Now, Active: func() bool { return r.isCoordinator(self.Rank) },
		Unfenced: !r.settings.Bounds.FencingChecks,
	})
	go c.Run(ctx)
	return cancel
}

// isCoordinator reports whether this process must coordinate the group, because no process beside a lower rank does.
// The process beside rank 0 always coordinates it.
func (r *rank) isCoordinator(own int) bool {
	if own == 0 {
		return true
	}
	last := r.agent.LastRead(own)
	if last.Before(r.started) {
		last = r.started
	}
	return time.Since(last) > takeoverAge+time.Duration(own)*takeoverStep
}

// loadEngineConfig returns the engine parameters that an entry last sent, or nil before the first.
func (r *rank) loadEngineConfig() *routetable.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engineConfig
}

// sendGroupState sends the state of the group to the entries, unless the last report is less than groupReportInterval
// ago.
func (r *rank) sendGroupState(ctx context.Context, self fleet.Rank, s rankgroup.Report) {
	if out, due := r.groupState(self, s, time.Now()); due {
		r.client.SendGroupState(ctx, out)
	}
}

// groupState returns the next report of the group's state to the entries. due is false if the last report is less than
// groupReportInterval ago.
func (r *rank) groupState(self fleet.Rank, s rankgroup.Report, now time.Time) (out fleet.GroupState, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastReport) < groupReportInterval {
		return out, false
	}
	r.lastReport = now
	r.seq++
	out = fleet.GroupState{Group: self.Group, Term: s.Term, Seq: r.seq, Open: true, Imbalance: s.Imbalance}
	for i, status := range s.Status {
		out.Epoch = max(out.Epoch, status.Epoch)
		// A rank without a camphorbank process beside it never answers, which says nothing about the state of the
		// group. If a known rank does not answer, the engines of all other ranks stall before they notice, so the group
		// counts as closed.
		if _, known := r.ranks[i]; known {
			out.Open = out.Open && status.Open
		}
		out.Ranks = append(out.Ranks, fleet.RankState{Engine: r.ranks[i].Engine, Pace: status.Pace})
	}
	if first := r.firstWithRanks; first.Seq == 0 || first.Term != s.Term || !slices.Equal(first.Ranks, out.Ranks) {
		r.firstWithRanks = out
	}
	out.RanksSeq = r.firstWithRanks.Seq
	return out, true
}
