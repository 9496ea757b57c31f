package fleet

import (
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// roster is the known members at one time. It is built again only when a member changes, since each heartbeat states its
// hash and a large fleet has hundreds of members. It must not be changed, apart from the replies that it keeps.
type roster struct {
	entries []Entry // this one included, sorted by address
	ranks   []Rank  // sorted by name
	hash    uint64  // entries that know the same members have equal hashes

	mu      sync.Mutex
	replies map[rankReplyKey]RankReply
}

// rankReplyKey states on what a reply to a rank depends besides the members. Engine parameters are compared by their
// address, since they belong to an immutable table.
type rankReplyKey struct {
	group  string
	engine *routetable.Engine
}

// currentRoster returns the known members. The caller holds the lock.
func (f *Fleet) currentRoster() *roster {
	if f.roster == nil {
		f.roster = newRoster(f.opt.Self, f.entries, f.ranks)
	}
	return f.roster
}

func newRoster(self Entry, entries map[string]*entryState, ranks map[string]*rankState) *roster {
	out := &roster{entries: []Entry{self}, replies: map[rankReplyKey]RankReply{}}
	for _, e := range entries {
		out.entries = append(out.entries, e.Entry)
	}
	for _, r := range ranks {
		out.ranks = append(out.ranks, r.Rank)
	}
	slices.SortFunc(out.entries, func(a, b Entry) int { return cmp.Compare(a.Control, b.Control) })
	slices.SortFunc(out.ranks, func(a, b Rank) int { return cmp.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, e := range out.entries {
		_, _ = h.WriteString(e.Control + strconv.FormatInt(e.Started, 36))
	}
	for _, r := range out.ranks {
		_, _ = h.WriteString(r.Name + strconv.FormatInt(r.Started, 36) + r.Group + strconv.Itoa(r.Rank))
	}
	out.hash = h.Sum64()
	return out
}

// maxKeptReplies bounds the replies to ranks that a roster keeps, since configurations may change often while members
// do not.
const maxKeptReplies = 64

// rankReply returns the complete reply to a rank of a group, with its digest.
func (m *roster) rankReply(group string, engine *routetable.Engine) (RankReply, error) {
	key := rankReplyKey{group, engine}
	m.mu.Lock()
	defer m.mu.Unlock()
	if out, ok := m.replies[key]; ok {
		return out, nil
	}
	out := RankReply{Entries: m.entries, Engine: engine}
	for _, r := range m.ranks {
		if r.Group == group {
			out.Ranks = append(out.Ranks, r)
		}
	}
	content, err := json.Marshal(out)
	if err != nil {
		return out, err
	}
	out.Digest = xxhash.Sum64(content)
	if len(m.replies) >= maxKeptReplies {
		clear(m.replies)
	}
	m.replies[key] = out
	return out, nil
}

// members returns the known entries, this one included, sorted by address, and the known ranks, sorted by name. The
// lists must not be changed.
func (f *Fleet) members() ([]Entry, []Rank) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.currentRoster()
	return known.entries, known.ranks
}

// memberHash returns a hash of the known entries and ranks. Entries that know the same members have equal hashes.
func (f *Fleet) memberHash() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentRoster().hash
}

// Entries returns the other known entries, whether or not they are reachable.
func (f *Fleet) Entries() []Entry {
	all, _ := f.members()
	return slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return e.Control == f.opt.Self.Control })
}

// EntryCounts returns the number of reachable entries and the number of known entries. Both include this one.
func (f *Fleet) EntryCounts() (live, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	live, known = 1, 1
	for _, e := range f.entries {
		known++
		if e.live {
			live++
		}
	}
	return live, known
}

// maxPlatformReaders is the number of entries that read the platform at the same time. Calls to the platform are
// limited and cost money, and the other entries learn of a change with the next heartbeat.
const maxPlatformReaders = 3

// EnoughReaders reports whether this entry need not read the platform itself, because maxPlatformReaders reachable
// entries with lower addresses do.
func (f *Fleet) EnoughReaders() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for addr, e := range f.entries {
		if e.live && e.readsPlatform && addr < f.opt.Self.Control {
			n++
		}
	}
	return n >= maxPlatformReaders
}
