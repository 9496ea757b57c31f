package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// fetchPatience is the time after which an open request for newer state no longer keeps this entry from asking others
// for the same. An entry that has been suspended does not answer.
const fetchPatience = 200 * time.Millisecond

// fetch is an open request for newer state.
type fetch struct {
	started time.Time
	config  int64              // version that the sender stated
	list    targetset.Position // position that the sender stated
	members uint64             // hash that the sender stated; 0 if the members are not requested
}

// covers reports whether the reply to a fetch will hold all that another one asks for. A hash of the members does not
// tell which members are newer, so the hashes must be equal.
func (a fetch) covers(b fetch) bool {
	return a.config >= b.config && !a.list.Before(b.list) && (b.members == 0 || a.members == b.members)
}

// fetchOnce fetches the sender's state, unless a request that will bring the same is open. After a change an entry hears
// of it from most others within a moment.
func (f *Fleet) fetchOnce(ctx context.Context, h Heartbeat, request StateRequest) {
	wanted := fetch{started: time.Now(), config: h.Config, list: h.List}
	if request.Members {
		wanted.members = h.Members
	}
	if !f.beginFetch(wanted) {
		return
	}
	f.fetchState(ctx, h.From, request)
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.fetches, wanted); i >= 0 {
		f.fetches = slices.Delete(f.fetches, i, i+1)
	}
}

// beginFetch records an open request, unless an open one that started within fetchPatience covers it.
func (f *Fleet) beginFetch(wanted fetch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, open := range f.fetches {
		if wanted.started.Sub(open.started) < fetchPatience && open.covers(wanted) {
			return false
		}
	}
	f.fetches = append(f.fetches, wanted)
	return true
}

// fetchState requests newer state from an entry and applies it.
func (f *Fleet) fetchState(ctx context.Context, from Entry, request StateRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var packed StateReply
	if err := f.opt.Pool.Call(ctx, from.Control, methodState, request, &packed); err != nil {
		return // the next heartbeat triggers another request; a peer that stays unreachable is reported as lost
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
	if request.List.Before(reply.List) {
		f.opt.Targets.Replace(reply.List, reply.Targets, now, reply.Evacuations...)
		f.opt.Notify(Event{Kind: EventList, Peer: from.Name, Value: reply.List.Revision})
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

// stateParts are the parts of this entry's state that a reply holds. Each is nil if the reply does not hold it. What
// they point to is immutable.
type stateParts struct {
	table  *routetable.Table
	list   *targetset.Snapshot
	roster *roster
}

// packedState is an encoded state.
type packedState struct {
	parts stateParts
	reply StateReply
}

// maxPackedStates bounds the encoded states that are kept. Most entries ask for the same parts of the same state.
const maxPackedStates = 4

// serveState returns the parts of this entry's state that are newer than the request states. It encodes each state once,
// since after a change most entries ask for the same.
func (f *Fleet) serveState(_ context.Context, in StateRequest) (StateReply, error) {
	parts := f.newerParts(in)
	f.packedMu.Lock()
	defer f.packedMu.Unlock()
	if i := slices.IndexFunc(f.packed, func(p packedState) bool { return p.parts == parts }); i >= 0 {
		return f.packed[i].reply, nil
	}
	reply, err := pack(parts.state())
	if err != nil {
		return reply, err
	}
	if len(f.packed) == maxPackedStates {
		f.packed = slices.Delete(f.packed, 0, 1)
	}
	f.packed = append(f.packed, packedState{parts, reply})
	return reply, nil
}

// newerParts returns the parts of this entry's state that are newer than a request states.
func (f *Fleet) newerParts(in StateRequest) (out stateParts) {
	if t := f.opt.Tables.Load(); t != nil && t.Config.Version > in.Config {
		out.table = t
	}
	if list := f.opt.Targets.Snapshot(); in.List.Before(list.Position) {
		out.list = list
	}
	if in.Members {
		f.mu.Lock()
		defer f.mu.Unlock()
		out.roster = f.currentRoster()
	}
	return out
}

// state returns the parts as they are encoded.
func (p stateParts) state() (out State) {
	if p.table != nil {
		out.Config = &p.table.Config
	}
	if p.list != nil {
		out.List = p.list.Position
		for _, id := range p.list.IDs {
			out.Targets = append(out.Targets, *p.list.ByID[id])
		}
		out.Evacuations = p.list.Evacuations
	}
	if p.roster != nil {
		out.Entries, out.Ranks = p.roster.entries, p.roster.ranks
	}
	return out
}
