package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	// minExchangeInterval and maxExchangeInterval bound the time between two exchanges with the same entry.
	minExchangeInterval = 150 * time.Millisecond
	maxExchangeInterval = 400 * time.Millisecond
	// exchangeIntervalPerEntry is multiplied by the number of entries that exchange heartbeats with this one to get the
	// time between two exchanges with the same entry. The bytes of all exchanges grow with the square of that number,
	// while the requests in flight from a single entry matter less.
	exchangeIntervalPerEntry = 17 * time.Millisecond
	// calleeTakeoverAge is the time without a heartbeat after which the entry of a pair that is normally called by the
	// other one makes the calls itself.
	calleeTakeoverAge = 600 * time.Millisecond
	// livenessTimeout is the time without a heartbeat from an entry after which it counts as unreachable.
	livenessTimeout = 1500 * time.Millisecond
	// seedRetryInterval is the time between two calls to a seed address at which no entry is known.
	seedRetryInterval = time.Second
	// callTimeout bounds one call to an entry.
	callTimeout = 800 * time.Millisecond
	// memberExpiry is the time after which an entry or rank is forgotten if neither it nor any peer has mentioned it.
	memberExpiry = time.Minute
)

// Caller calls methods of other processes. Package peer implements it over TCP.
type Caller interface {
	// Call calls a method of the process at addr. in is the parameter; the result is stored in out.
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Options are the settings of a Fleet and the parts of the process that it reads and updates.
type Options struct {
	Self           Entry    // this entry
	Seeds          []string // control addresses of some entries, possibly stale
	Pool           Caller
	Tables         *routetable.Store
	Targets        *targetset.Set
	Quarantine     *quarantine.Tracker                           // nil for an entry that exchanges no evidence on prompts
	InFlight       func() map[string]int                         // this entry's requests in flight, by target id
	ReportInFlight func(process string, inFlight map[string]int) // receives the requests in flight of another entry
	// Demand returns this entry's demand for the services with priorities, by service. ReportDemand receives that of
	// another entry or data centre. Both are nil for an entry that exchanges no demand.
	Demand       func() Demand
	ReportDemand func(process string, demand Demand)
	// ReportGroup receives the state of an engine group, and reports whether the ranks that it names are known.
	ReportGroup   func(GroupState) bool
	ReadsPlatform func() bool // whether this process itself reads the platform
	Stopping      func() bool // whether this process is shutting down
	Notify        func(Event) // receives each event; must not block
}

// Event reports a change in the entry's view of the fleet, or in the state that it learnt from a peer.
type Event struct {
	Kind  EventKind
	Peer  string // name of the entry concerned
	Value int64  // configuration version or target list revision, for kinds that have one
	Err   error
}

// EventKind is the kind of an event, as used in logs and metrics.
type EventKind string

// Kinds of events.
const (
	EventPeerLost     EventKind = "peer-lost"               // an entry became unreachable
	EventMalformed    EventKind = "state-malformed"         // a peer sent a state that cannot be decoded
	EventPeerRegained EventKind = "peer-regained"           // an entry became reachable
	EventConfig       EventKind = "configuration-from-peer" // a newer configuration was fetched from a peer
	EventList         EventKind = "list-from-peer"          // a newer list of targets was fetched from a peer
)

// Fleet is one entry's view of the other entries and of the ranks, and exchanges heartbeats with the other entries. It
// is safe for concurrent use.
type Fleet struct {
	opt Options

	mu        sync.Mutex
	entries   map[string]*entryState // by control address
	ranks     map[string]*rankState  // by name
	lastCalls map[string]time.Time   // time of the last call, by control address
	roster    *roster                // the known members; nil if it must be built again
	fetches   []fetch                // open requests for newer state

	packedMu sync.Mutex
	packed   []packedState // states that were sent last, the newest last
}

// entryState is what is known about another entry.
type entryState struct {
	Entry
	lastHeard     time.Time      // last heartbeat from the entry itself; zero before the first
	lastReported  time.Time      // last summary that named it as reachable
	callFailed    time.Time      // last failed call to it
	inFlight      map[string]int // requests in flight by target id, as it stated last
	demand        Demand         // as it stated last
	lastMentioned time.Time      // last time that the entry or any peer named it
	calling       bool           // a call to the entry is open
	live          bool           // a heartbeat arrived within livenessTimeout
	readsPlatform bool           // reads the platform itself, reaches it, and is not stopping
	leavesSent    int64          // number up to which the entry has this one's leaves, as it stated last
	leavesHave    int64          // number up to which this entry has the other one's leaves
	memberHash    uint64         // hash of the members that the entry knows, as it stated last
}

// rankState is what is known about a process beside a rank.
type rankState struct {
	Rank
	lastMentioned time.Time
}

// New returns a Fleet that knows no other entry and no rank yet.
func New(opt Options) *Fleet {
	return &Fleet{opt: opt, entries: map[string]*entryState{}, ranks: map[string]*rankState{}, lastCalls: map[string]time.Time{}}
}

// SetSeeds replaces the seed addresses.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opt.Seeds = seeds
}

// Register adds the methods that entries serve to s.
func (f *Fleet) Register(s *peer.Server) {
	s.Handle(methodExchange, peer.TypedHandler(f.serveExchange))
	s.Handle(methodState, peer.TypedHandler(f.serveState))
	s.Handle(methodRank, peer.TypedHandler(f.serveRank))
	s.Handle(methodGroup, peer.TypedHandler(f.serveGroup))
}

// Run exchanges heartbeats with the other entries until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			f.startDueCalls(ctx, time.Now())
			timer.Reset(f.interval())
		case <-ctx.Done():
			return
		}
	}
}

// interval returns the time between two exchanges with the same entry, given the number of entries that this one calls
// or is called by.
func (f *Fleet) interval() time.Duration {
	return min(maxExchangeInterval, max(minExchangeInterval, time.Duration(f.partnerCount())*exchangeIntervalPerEntry))
}

// startDueCalls starts the calls to seeds and entries that are due, and forgets members that have expired.
func (f *Fleet) startDueCalls(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range f.opt.Seeds {
		if addr != f.opt.Self.Control && f.entries[addr] == nil && now.Sub(f.lastCalls[addr]) >= seedRetryInterval {
			f.lastCalls[addr] = now
			go f.call(ctx, Entry{Control: addr, DataCentre: f.opt.Self.DataCentre})
		}
	}
	contacts := f.contacts(now)
	for addr, e := range f.entries {
		f.updateLiveness(e, now)
		switch {
		case now.Sub(e.lastMentioned) > memberExpiry:
			delete(f.entries, addr)
			f.roster = nil
		case !e.calling && f.callDue(e, contacts, now):
			e.calling = true
			go f.call(ctx, e.Entry)
		}
	}
	for name, r := range f.ranks {
		if now.Sub(r.lastMentioned) > memberExpiry {
			delete(f.ranks, name)
			f.roster = nil
		}
	}
	for addr, at := range f.lastCalls {
		if now.Sub(at) > memberExpiry {
			delete(f.lastCalls, addr)
		}
	}
}

// callDue reports whether this entry must call the other one now. Only the entry with the lower address calls, since
// one call carries the heartbeats of both. The other one calls only if it has received no heartbeat for
// calleeTakeoverAge. Both call an unreachable entry, at a lower rate. In a large fleet, entries of other data centres
// are called only if they are contacts.
func (f *Fleet) callDue(e *entryState, contacts map[string]*entryState, now time.Time) bool {
	if f.summarizes() && f.isRemote(e.Entry) {
		return contacts[e.DataCentre] == e
	}
	if now.Sub(e.lastHeard) > livenessTimeout {
		return now.Sub(f.lastCalls[e.Control]) >= seedRetryInterval/2
	}
	return f.opt.Self.Control < e.Control || now.Sub(e.lastHeard) > calleeTakeoverAge
}

// updateLiveness updates whether an entry counts as reachable and reports a change. The caller holds the lock.
func (f *Fleet) updateLiveness(e *entryState, now time.Time) {
	live := now.Sub(e.lastHeard) <= livenessTimeout || now.Sub(e.lastReported) <= livenessTimeout
	if e.live && !live {
		f.opt.Notify(Event{Kind: EventPeerLost, Peer: e.Name})
	}
	if !e.live && live {
		f.opt.Notify(Event{Kind: EventPeerRegained, Peer: e.Name})
	}
	e.live = live
}

// learnEntry records an entry that was named by itself or by a peer, and returns its state. A later incarnation
// replaces an earlier one. The caller holds the lock.
func (f *Fleet) learnEntry(e Entry, now time.Time) *entryState {
	s := f.entries[e.Control]
	if s == nil || s.Started < e.Started {
		s = &entryState{Entry: e}
		f.entries[e.Control] = s
		f.roster = nil
	}
	s.lastMentioned = now
	return s
}

// learnRank records a rank's process unless a later incarnation is known. The caller holds the lock.
func (f *Fleet) learnRank(r Rank, now time.Time) {
	s := f.ranks[r.Name]
	if s != nil && s.Started > r.Started {
		return
	}
	if s == nil || s.Rank != r {
		f.roster = nil
	}
	f.ranks[r.Name] = &rankState{r, now}
}

// serveRank records a rank's process and returns the entries, the ranks of its group and the engine parameters. If the
// sender already has this reply, it returns the digest only.
func (f *Fleet) serveRank(_ context.Context, in RankRequest) (RankReply, error) {
	f.mu.Lock()
	f.learnRank(in.Rank, time.Now())
	known := f.currentRoster()
	f.mu.Unlock()
	out, err := known.rankReply(in.Group, f.engineConfig(in.Rank.Engine))
	if err == nil && out.Digest == in.Have {
		return RankReply{Digest: out.Digest}, nil
	}
	return out, err
}

// engineConfig returns the engine parameters of the service to which the target at addr belongs. It returns nil if the
// target, its service or the configuration is not known.
func (f *Fleet) engineConfig(addr string) *routetable.Engine {
	table := f.opt.Tables.Load()
	if table == nil {
		return nil
	}
	for _, t := range f.opt.Targets.Snapshot().ByID {
		if t.Addr == addr {
			if s := table.Service(t.Service); s != nil {
				return s.Engine
			}
		}
	}
	return nil
}

// serveGroup passes on the state of an engine group that its coordinator sent.
func (f *Fleet) serveGroup(_ context.Context, in GroupState) (GroupReply, error) {
	return GroupReply{NeedsRanks: !f.opt.ReportGroup(in)}, nil
}
