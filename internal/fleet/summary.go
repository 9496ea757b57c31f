package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// In a large fleet the entries of a data centre exchange heartbeats with each other, but an entry calls only one entry,
// its contact, in each other data centre. Contacts send each other summaries of their data centres. So the heartbeats of
// an entry grow with the size of its data centre and not with the fleet, and few of them cross between data centres.

// maxMeshedEntries is the number of entries up to which all of them exchange heartbeats with each other.
const maxMeshedEntries = 20

// contactRetryDelay is the time after a failed call in which an entry is no contact.
const contactRetryDelay = 3 * time.Second

// Summary is what an entry tells an entry of another data centre about its own.
type Summary struct {
	// InFlight holds the requests in flight of all entries of the data centre, encoded like Heartbeat.InFlight.
	InFlight []byte `json:"if,omitempty"`
	// Demand holds the demand at all entries of the data centre, encoded like Heartbeat.Demand.
	Demand []byte `json:"dm,omitempty"`
	// Live holds the reachable entries of the data centre, the sender included. It is empty if Marks states them.
	Live []LiveEntry `json:"le,omitempty"`
	// Marks states the reachable entries in two bits for each entry that the sender knows, in the order of their
	// addresses. It is sent to an entry that knows the same members.
	Marks []byte `json:"mk,omitempty"`
}

// Bits of Summary.Marks for one entry.
const (
	markLive    = 1
	markReads   = 2 // the entry reads the platform
	bitsPerMark = 2
)

// encodeMarks returns the marks of the live entries among all known ones, which are sorted by address.
func encodeMarks(known []Entry, live []LiveEntry) []byte {
	out := make([]byte, (len(known)*bitsPerMark+7)/8)
	for _, l := range live {
		i, ok := slices.BinarySearchFunc(known, l.Control, func(e Entry, control string) int { return cmp.Compare(e.Control, control) })
		if !ok {
			continue
		}
		mark := byte(markLive)
		if l.ReadsPlatform {
			mark |= markReads
		}
		out[i*bitsPerMark/8] |= mark << (i * bitsPerMark % 8)
	}
	return out
}

// decodeMarks returns the live entries that the marks state.
func decodeMarks(known []Entry, marks []byte) (out []LiveEntry) {
	for i, e := range known {
		if i*bitsPerMark/8 >= len(marks) {
			break
		}
		if mark := marks[i*bitsPerMark/8] >> (i * bitsPerMark % 8); mark&markLive != 0 {
			out = append(out, LiveEntry{Control: e.Control, ReadsPlatform: mark&markReads != 0})
		}
	}
	return out
}

// LiveEntry is an entry that another one reaches.
type LiveEntry struct {
	Control       string `json:"c"`
	ReadsPlatform bool   `json:"rd,omitempty"`
}

// summarizes reports whether the fleet is so large that data centres exchange summaries. The caller holds the lock.
func (f *Fleet) summarizes() bool { return len(f.entries)+1 > maxMeshedEntries }

// isRemote reports whether an entry is in another data centre than this one.
func (f *Fleet) isRemote(e Entry) bool { return e.DataCentre != f.opt.Self.DataCentre }

// contacts returns the contact in each other data centre, by data centre. Different entries have different contacts, and
// an entry whose last call failed is none for a while. The caller holds the lock.
func (f *Fleet) contacts(now time.Time) map[string]*entryState {
	out := map[string]*entryState{}
	rank := map[string]uint64{}
	for _, e := range f.entries {
		if !f.isRemote(e.Entry) || now.Sub(e.callFailed) < contactRetryDelay {
			continue
		}
		r := xxhash.Sum64String(f.opt.Self.Control + e.Control)
		if out[e.DataCentre] == nil || r > rank[e.DataCentre] {
			out[e.DataCentre], rank[e.DataCentre] = e, r
		}
	}
	return out
}

// partnerCount returns the number of entries with which this one exchanges heartbeats by its own calls.
func (f *Fleet) partnerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.summarizes() {
		return len(f.entries) + 1
	}
	n := 1
	for _, e := range f.entries {
		if !f.isRemote(e.Entry) {
			n++
		}
	}
	return n + len(f.contacts(time.Now()))
}

// summary returns the summary of this entry's data centre for an entry of another one, or nil if the fleet needs none,
// and the hash of the members that it refers to.
func (f *Fleet) summary(to Entry, list *targetset.Snapshot, own map[string]int, now time.Time) (*Summary, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.currentRoster()
	if !f.isRemote(to) || !f.summarizes() {
		return nil, known.hash
	}
	out := &Summary{Live: []LiveEntry{{Control: f.opt.Self.Control, ReadsPlatform: f.opt.ReadsPlatform() && !f.opt.Stopping()}}}
	sum := map[string]int{}
	demand := f.ownDemand()
	addCounts(sum, own)
	for _, e := range f.entries {
		if f.isRemote(e.Entry) || now.Sub(e.lastHeard) > livenessTimeout {
			continue
		}
		out.Live = append(out.Live, LiveEntry{Control: e.Control, ReadsPlatform: e.readsPlatform})
		addCounts(sum, e.inFlight)
		addDemand(demand, e.demand)
	}
	out.InFlight = encodeInFlight(list, sum)
	out.Demand = encodeDemand(f.opt.Tables.Load(), demand)
	if e := f.entries[to.Control]; e != nil && e.memberHash == known.hash {
		out.Live, out.Marks = nil, encodeMarks(known.entries, out.Live)
	}
	return out, known.hash
}

func addCounts(sum, counts map[string]int) {
	for id, n := range counts {
		sum[id] += n
	}
}

// applySummary records the summary of another data centre. Marks that refer to other members than this entry knows are
// ignored: the sender learns of the difference from the next heartbeat, and then names the entries.
func (f *Fleet) applySummary(h Heartbeat, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := h.Summary.Live
	if known := f.currentRoster(); len(live) == 0 && h.Members == known.hash {
		live = decodeMarks(known.entries, h.Summary.Marks)
	}
	for _, l := range live {
		if e := f.entries[l.Control]; e != nil && e.DataCentre == h.From.DataCentre {
			e.lastReported, e.lastMentioned, e.readsPlatform = now, now, l.ReadsPlatform
		}
	}
}

// inFlightSource returns the name under which the requests in flight of a heartbeat are counted: a summary replaces the
// earlier ones of the same data centre.
func inFlightSource(h Heartbeat) string {
	if h.Summary != nil {
		return "data centre " + h.From.DataCentre
	}
	return h.From.Name
}
