package fleet

import (
	"context"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// call exchanges heartbeats with another entry.
func (f *Fleet) call(ctx context.Context, to Entry) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	f.lastCalls[to.Control] = time.Now()
	f.mu.Unlock()
	var reply Heartbeat
	err := f.opt.Pool.Call(ctx, to.Control, methodExchange, f.ownHeartbeat(to), &reply)
	f.mu.Lock()
	if e := f.entries[to.Control]; e != nil {
		e.calling = false
		if err != nil {
			e.callFailed = time.Now()
		}
	}
	f.mu.Unlock()
	if err == nil {
		f.handleHeartbeat(ctx, reply)
	}
}

// ownHeartbeat returns this entry's current heartbeat for another entry.
func (f *Fleet) ownHeartbeat(to Entry) Heartbeat {
	list, own, now := f.opt.Targets.Snapshot(), f.opt.InFlight(), time.Now()
	h := Heartbeat{
		From: f.opt.Self, Config: f.opt.Tables.Version(), List: list.Position, Members: f.memberHash(),
		Leaves: f.opt.Targets.Leaves(now), ReadsPlatform: f.opt.ReadsPlatform(), Stopping: f.opt.Stopping(),
	}
	if f.opt.Quarantine != nil {
		h.Evidence = f.opt.Quarantine.Report()
	}
	if h.Summary = f.summary(to, list, own, now); h.Summary == nil {
		h.InFlight = encodeInFlight(list, own)
	}
	return h
}

// serveExchange answers a heartbeat with this entry's own, and processes the received one in the background.
func (f *Fleet) serveExchange(ctx context.Context, in Heartbeat) (Heartbeat, error) {
	go f.handleHeartbeat(context.WithoutCancel(ctx), in)
	return f.ownHeartbeat(in.From), nil
}

// handleHeartbeat processes a received heartbeat, and fetches the sender's state if it is newer than this entry's.
func (f *Fleet) handleHeartbeat(ctx context.Context, h Heartbeat) {
	if h.From.Control == "" || h.From.Control == f.opt.Self.Control {
		return
	}
	now := time.Now()
	f.mu.Lock()
	e := f.learnEntry(h.From, now)
	if e.Entry != h.From { // after a clock was set back, a new incarnation has an earlier start time
		e.Entry = h.From
		f.roster = nil
	}
	e.lastHeard = now
	e.readsPlatform = h.ReadsPlatform && !h.Stopping
	f.mu.Unlock()
	if h.Summary != nil {
		f.applySummary(h.From, h.Summary, now)
	}
	f.opt.Targets.Leave(h.Leaves)
	if f.opt.Quarantine != nil {
		f.opt.Quarantine.Merge(h.Evidence)
	}
	list := f.opt.Targets.Snapshot()
	f.recordInFlight(list, h)
	request := StateRequest{Config: f.opt.Tables.Version(), List: list.Position, Members: h.Members != f.memberHash()}
	if h.Config > request.Config || request.List.Before(h.List) || request.Members {
		f.fetchState(ctx, h.From, request)
	}
}

// recordInFlight records and reports the requests in flight that a heartbeat states.
func (f *Fleet) recordInFlight(list *targetset.Snapshot, h Heartbeat) {
	counts, ok := decodeInFlight(list, h)
	if !ok {
		return
	}
	if h.Summary == nil && !f.storeInFlight(h.From, counts) {
		return
	}
	f.opt.ReportInFlight(inFlightSource(h), counts)
}

// storeInFlight stores the requests in flight of one entry. It returns false if they are contained in the summaries of
// the entry's data centre.
func (f *Fleet) storeInFlight(from Entry, counts map[string]int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isRemote(from) && f.summarizes() {
		return false
	}
	if e := f.entries[from.Control]; e != nil {
		e.inFlight = counts
	}
	return true
}
