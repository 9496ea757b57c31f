package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// members returns the known entries, this one included, sorted by address, and the known ranks, sorted by name.
func (f *Fleet) members() ([]Entry, []Rank) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := []Entry{f.opt.Self}
	for _, e := range f.entries {
		entries = append(entries, e.Entry)
	}
	var ranks []Rank
	for _, r := range f.ranks {
		ranks = append(ranks, r.Rank)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Control, b.Control) })
	slices.SortFunc(ranks, func(a, b Rank) int { return cmp.Compare(a.Name, b.Name) })
	return entries, ranks
}

// memberHash returns a hash of the known entries and ranks. Entries that know the same members have equal hashes.
func (f *Fleet) memberHash() uint64 {
	entries, ranks := f.members()
	h := xxhash.New()
	for _, e := range entries {
		_, _ = h.WriteString(e.Control + strconv.FormatInt(e.Started, 36))
	}
	for _, r := range ranks {
		_, _ = h.WriteString(r.Name + strconv.FormatInt(r.Started, 36) + r.Group + strconv.Itoa(r.Rank))
	}
	return h.Sum64()
}

// Entries returns the other known entries, whether or not they are reachable.
func (f *Fleet) Entries() []Entry {
	all, _ := f.members()
	return slices.DeleteFunc(all, func(e Entry) bool { return e.Control == f.opt.Self.Control })
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
