package fleet

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// members returns the known entries, this one included, and ranks.
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

// memberHash is equal in entries that know the same members.
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

// Entries returns the other entries that were heard of lately.
func (f *Fleet) Entries() []Entry {
	all, _ := f.members()
	return slices.DeleteFunc(all, func(e Entry) bool { return e.Control == f.opt.Self.Control })
}

// Live returns the number of entries in touch, this one included, and of all that were heard of lately.
func (f *Fleet) Live() (live, known int) {
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

// maxReaders is the number of entries that follow the platform at the same time. Its calls are limited and priced, and
// the others learn of a change with the next beat.
const maxReaders = 6

// EnoughReaders says whether so many entries that come before this one follow the platform that this one need not.
func (f *Fleet) EnoughReaders() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for addr, e := range f.entries {
		if e.live && e.reading && addr < f.opt.Self.Control {
			n++
		}
	}
	return n >= maxReaders
}
