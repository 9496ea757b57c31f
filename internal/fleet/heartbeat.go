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
		From: f.opt.Self, Config: f.opt.Tables.Version(), List: list.Position,
		ReadsPlatform: f.opt.ReadsPlatform(), Stopping: f.opt.Stopping(),
	}
	h.LeaveRange = f.leaveRange(to)
	h.Leaves, h.LeaveRange.Last = f.opt.Targets.Leaves(h.LeaveRange.After, now)
	if f.opt.Quarantine != nil {
		h.Evidence = f.opt.Quarantine.Report()
	}
	if h.Summary, h.Members = f.summary(to, list, own, now); h.Summary == nil {
		h.InFlight = encodeInFlight(list, own)
		h.Demand = encodeDemand(f.opt.Tables.Load(), f.ownDemand())
	}
	return h
}

// serveExchange answers a heartbeat with this entry's own, which confirms the received leaves, and processes the rest of
// the received one in the background.
func (f *Fleet) serveExchange(ctx context.Context, in Heartbeat) (Heartbeat, error) {
	if f.fromOther(in) {
		f.recordSender(in, time.Now())
		go f.handleState(context.WithoutCancel(ctx), in)
	}
	return f.ownHeartbeat(in.From), nil
}

// fromOther reports whether a heartbeat is from another entry.
func (f *Fleet) fromOther(h Heartbeat) bool {
	return h.From.Control != "" && h.From.Control != f.opt.Self.Control
}

// recordSender records the sender of a heartbeat, and applies and confirms its leaves.
func (f *Fleet) recordSender(h Heartbeat, now time.Time) {
	f.opt.Targets.Leave(h.Leaves)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.learnEntry(h.From, now)
	if e.Entry != h.From { // after a clock was set back, a new incarnation has an earlier start time
		e.Entry = h.From
		e.leavesSent, e.leavesHave = 0, 0
		f.roster = nil
	}
	e.lastHeard, e.memberHash = now, h.Members
	e.readsPlatform = h.ReadsPlatform && !h.Stopping
	e.leavesSent = 0
	if h.LeaveRange.HaveOf == f.opt.Self.Started {
		e.leavesSent = h.LeaveRange.Have
	}
	if h.LeaveRange.After <= e.leavesHave {
		e.leavesHave = max(e.leavesHave, h.LeaveRange.Last)
	}
}

// leaveRange returns the LeaveRange of a heartbeat to another entry, without the number of the last change.
func (f *Fleet) leaveRange(to Entry) LeaveRange {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entries[to.Control]
	if e == nil {
		return LeaveRange{}
	}
	out := LeaveRange{After: e.leavesSent, Have: e.leavesHave}
	if e.leavesHave > 0 {
		out.HaveOf = e.Started
	}
	return out
}

// handleHeartbeat processes a received heartbeat.
func (f *Fleet) handleHeartbeat(ctx context.Context, h Heartbeat) {
	if !f.fromOther(h) {
		return
	}
	f.recordSender(h, time.Now())
	f.handleState(ctx, h)
}

// handleState processes what a heartbeat states besides the sender and its leaves, and fetches the sender's state if it
// is newer than this entry's.
func (f *Fleet) handleState(ctx context.Context, h Heartbeat) {
	now := time.Now()
	if h.Summary != nil {
		f.applySummary(h, now)
	}
	if f.opt.Quarantine != nil {
		f.opt.Quarantine.Merge(h.Evidence)
	}
	list := f.opt.Targets.Snapshot()
	f.recordInFlight(list, h)
	f.recordDemand(h)
	request := StateRequest{Config: f.opt.Tables.Version(), List: list.Position, Members: h.Members != f.memberHash()}
	if h.Config > request.Config || request.List.Before(h.List) || request.Members {
		f.fetchOnce(ctx, h, request)
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
