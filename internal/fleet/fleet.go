package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	// beatInterval is the least time between two exchanges with each other entry, and longestBeat the most.
	beatInterval = 150 * time.Millisecond
	longestBeat  = 400 * time.Millisecond
	// beatCost is the time between two exchanges for each entry of a large fleet. What one entry has in flight matters
	// less there, while the bytes of all exchanges grow with the square of the entries.
	beatCost = 17 * time.Millisecond
	// takeoverAge is the time without word from an entry after which the side that is called calls by itself.
	takeoverAge = 600 * time.Millisecond
	// liveAge is the time without word from an entry after which it counts as unreachable.
	liveAge = 1500 * time.Millisecond
	// seedInterval is the time between two calls of a seed that is not known as an entry.
	seedInterval = time.Second
	// callTimeout bounds one call between entries.
	callTimeout = 800 * time.Millisecond
	// memberAge is the time after which an entry or rank without any word is forgotten.
	memberAge = time.Minute
)

// Options are the parts that an exchange reads and updates.
type Options struct {
	Self     Entry
	Seeds    []string
	Pool     *peer.Pool
	Tables   *routetable.Store
	Targets  *targetset.Set
	InFlight func() map[string]int
	Report   func(process string, inFlight map[string]int)
	Group    func(GroupState)
	Reading  func() bool // whether this process follows the platform by itself and reaches it
	Stopping func() bool
	Notify   func(Event) // is told each change of what the process believes; must not block
}

// Event is a change of what the process believes.
type Event struct {
	Kind  EventKind
	Peer  string
	Value int64 // version or revision, where the kind has one
	Err   error
}

// EventKind names an event.
type EventKind string

// Kinds of events.
const (
	EventPeerLost     EventKind = "peer-lost"
	EventMalformed    EventKind = "state-malformed" // a peer sent what cannot be read
	EventPeerRegained EventKind = "peer-regained"
	EventConfig       EventKind = "configuration-from-peer"
	EventList         EventKind = "list-from-peer"
)

// Fleet is the view of one entry. It is safe for concurrent use.
type Fleet struct {
	opt Options

	mu      sync.Mutex
	entries map[string]*entryState // by control address
	ranks   map[string]*rankState  // by name
	asked   map[string]time.Time   // seeds by the time of the last call
}

type entryState struct {
	Entry
	heard   time.Time // last direct word; zero before the first
	known   time.Time // last word of its existence
	calling bool
	live    bool
	reading bool // follows the platform by itself and reaches it
}

type rankState struct {
	Rank
	known time.Time
}

// New returns a view that knows the entry itself only.
func New(opt Options) *Fleet {
	return &Fleet{opt: opt, entries: map[string]*entryState{}, ranks: map[string]*rankState{}, asked: map[string]time.Time{}}
}

// SetSeeds replaces the seeds.
func (f *Fleet) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opt.Seeds = seeds
}

// Register adds the methods that entries serve.
func (f *Fleet) Register(s *peer.Server) {
	s.Handle(methodExchange, peer.Typed(f.serveExchange))
	s.Handle(methodState, peer.Typed(f.serveState))
	s.Handle(methodRank, peer.Typed(f.serveRank))
	s.Handle(methodGroup, peer.Typed(f.serveGroup))
}

// Run exchanges with the other entries until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			f.round(ctx, time.Now())
			timer.Reset(f.interval())
		case <-ctx.Done():
			return
		}
	}
}

// interval returns the time between two exchanges with each other entry.
func (f *Fleet) interval() time.Duration {
	_, known := f.Live()
	return min(longestBeat, max(beatInterval, time.Duration(known)*beatCost))
}

// round starts the calls that are due.
func (f *Fleet) round(ctx context.Context, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range f.opt.Seeds {
		if addr != f.opt.Self.Control && f.entries[addr] == nil && now.Sub(f.asked[addr]) >= seedInterval {
			f.asked[addr] = now
			go f.call(ctx, addr)
		}
	}
	for addr, e := range f.entries {
		f.judge(e, now)
		switch {
		case now.Sub(e.known) > memberAge:
			delete(f.entries, addr)
		case !e.calling && f.callsDue(e, now):
			e.calling = true
			go f.call(ctx, addr)
		}
	}
	for name, r := range f.ranks {
		if now.Sub(r.known) > memberAge {
			delete(f.ranks, name)
		}
	}
}

// callsDue says whether this entry calls the other one now. One side of each pair calls, since a call carries both
// beats; the other side calls only when it has heard nothing for a while.
func (f *Fleet) callsDue(e *entryState, now time.Time) bool {
	if now.Sub(e.heard) > liveAge {
		return now.Sub(f.asked[e.Control]) >= seedInterval/2
	}
	return f.opt.Self.Control < e.Control || now.Sub(e.heard) > takeoverAge
}

func (f *Fleet) judge(e *entryState, now time.Time) {
	live := now.Sub(e.heard) <= liveAge
	if e.live && !live {
		f.opt.Notify(Event{Kind: EventPeerLost, Peer: e.Name})
	}
	if !e.live && live {
		f.opt.Notify(Event{Kind: EventPeerRegained, Peer: e.Name})
	}
	e.live = live
}

// call exchanges beats with the entry at addr.
func (f *Fleet) call(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	f.asked[addr] = time.Now()
	f.mu.Unlock()
	var reply Beat
	err := f.opt.Pool.Call(ctx, addr, methodExchange, f.beat(), &reply)
	f.mu.Lock()
	if e := f.entries[addr]; e != nil {
		e.calling = false
	}
	f.mu.Unlock()
	if err == nil {
		f.take(ctx, reply)
	}
}

func (f *Fleet) beat() Beat {
	list := f.opt.Targets.Snapshot()
	return Beat{
		From: f.opt.Self, Config: f.opt.Tables.Version(), List: list.Revision, Members: f.memberHash(),
		Leaves: f.opt.Targets.Leaves(time.Now()), InFlight: encodeInFlight(list, f.opt.InFlight()), Reading: f.opt.Reading(), Stopping: f.opt.Stopping(),
	}
}

func (f *Fleet) serveExchange(ctx context.Context, in Beat) (Beat, error) {
	go f.take(context.WithoutCancel(ctx), in)
	return f.beat(), nil
}

// take learns from a beat, and fetches what the sender has and this entry lacks.
func (f *Fleet) take(ctx context.Context, b Beat) {
	if b.From.Control == "" || b.From.Control == f.opt.Self.Control {
		return
	}
	now := time.Now()
	f.mu.Lock()
	e := f.learnEntry(b.From, now)
	if e.Entry != b.From { // a clock that was set back makes a new incarnation look older
		e.Entry = b.From
	}
	e.heard = now
	e.reading = b.Reading && !b.Stopping
	f.mu.Unlock()
	f.opt.Targets.Leave(b.Leaves)
	list := f.opt.Targets.Snapshot()
	if counts, ok := decodeInFlight(list, b); ok {
		f.opt.Report(b.From.Name, counts)
	}
	ask := StateRequest{Config: f.opt.Tables.Version(), List: list.Revision, Members: b.Members != f.memberHash()}
	if b.Config > ask.Config || b.List > ask.List || ask.Members {
		f.fetch(ctx, b.From, ask)
	}
}

// learnEntry records an entry. The caller holds the lock.
func (f *Fleet) learnEntry(e Entry, now time.Time) *entryState {
	s := f.entries[e.Control]
	if s == nil || s.Started < e.Started {
		s = &entryState{Entry: e}
		f.entries[e.Control] = s
	}
	s.known = now
	return s
}

func (f *Fleet) learnRank(r Rank, now time.Time) {
	s := f.ranks[r.Name]
	if s == nil || s.Started <= r.Started {
		f.ranks[r.Name] = &rankState{r, now}
	}
}

func (f *Fleet) fetch(ctx context.Context, from Entry, ask StateRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var packed StateReply
	if err := f.opt.Pool.Call(ctx, from.Control, methodState, ask, &packed); err != nil {
		return // the next beat asks again; a peer that stays away is told as lost
	}
	reply, err := unpack(packed)
	if err != nil {
		f.opt.Notify(Event{Kind: EventMalformed, Peer: from.Name, Err: err})
		return
	}
	now := time.Now()
	if reply.Config != nil && f.opt.Tables.Offer(*reply.Config) {
		f.opt.Notify(Event{Kind: EventConfig, Peer: from.Name, Value: reply.Config.Version})
	}
	if reply.List > ask.List {
		f.opt.Targets.Replace(reply.List, reply.Targets, now)
		f.opt.Notify(Event{Kind: EventList, Peer: from.Name, Value: reply.List})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range reply.Entries {
		if e.Control != f.opt.Self.Control {
			f.learnEntry(e, now)
		}
	}
	for _, r := range reply.Ranks {
		f.learnRank(r, now)
	}
}

func (f *Fleet) serveState(_ context.Context, in StateRequest) (StateReply, error) {
	var out State
	if t := f.opt.Tables.Load(); t != nil && t.Config.Version > in.Config {
		out.Config = &t.Config
	}
	if revision, targets := f.opt.Targets.Targets(); revision > in.List {
		out.List, out.Targets = revision, targets
	}
	if in.Members {
		out.Entries, out.Ranks = f.members()
	}
	return pack(out)
}

func (f *Fleet) serveRank(_ context.Context, in RankRequest) (RankReply, error) {
	f.mu.Lock()
	f.learnRank(in.Rank, time.Now())
	f.mu.Unlock()
	entries, ranks := f.members()
	out := RankReply{Entries: entries, Engine: f.engineOf(in.Rank.Engine)}
	for _, r := range ranks {
		if r.Group == in.Group {
			out.Ranks = append(out.Ranks, r)
		}
	}
	content, err := json.Marshal(out)
	if err != nil {
		return out, err
	}
	digest := xxhash.Sum64(content)
	if digest == in.Have {
		return RankReply{Digest: digest}, nil
	}
	out.Digest = digest
	return out, nil
}

// engineOf returns the figures of the service that the engine's target belongs to.
func (f *Fleet) engineOf(addr string) *routetable.Engine {
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

func (f *Fleet) serveGroup(_ context.Context, in GroupState) (struct{}, error) {
	f.opt.Group(in)
	return struct{}{}, nil
}
