package node

import (
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
)

// TestGroupWithRanksOfOthersIsOpen guards against a group that gets no requests because some of its engines have no
// camphorbank process beside them, and against requests for a group with a rank that has stopped answering. With ten
// engines for each VM of camphorbank, the first fault left all streams unserved.
func TestGroupWithRanksOfOthersIsOpen(t *testing.T) {
	open := rankgroup.Status{Group: "g", Epoch: 1, Size: 2, Open: true}
	broken := open
	broken.Open = false
	for name, c := range map[string]struct {
		known  []int
		status []rankgroup.Status
		want   bool
	}{
		"all answer":                     {[]int{0, 1}, []rankgroup.Status{open, open}, true},
		"one has no camphorbank process": {[]int{0}, []rankgroup.Status{open, {}}, true},
		"one has stopped answering":      {[]int{0, 1}, []rankgroup.Status{open, {}}, false},
		"the group is broken":            {[]int{0}, []rankgroup.Status{broken, {}}, false},
		"one of two says it is broken":   {[]int{0, 1}, []rankgroup.Status{open, broken}, false},
		"the own engine does not answer": {[]int{0}, []rankgroup.Status{{}, {}}, false},
	} {
		r := &rank{ranks: map[int]fleet.Rank{}}
		for _, i := range c.known {
			r.ranks[i] = fleet.Rank{Rank: i}
		}
		out, due := r.groupState(fleet.Rank{Group: "g"}, rankgroup.Report{Term: 1, Status: c.status}, time.Now())
		if !due || out.Open != c.want {
			t.Errorf("%s: open %v, want %v", name, out.Open, c.want)
		}
	}
}
