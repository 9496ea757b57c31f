package rankgroup

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
)

// acceptingRanks carry out each order at once.
type acceptingRanks struct{ Ranks }

func (acceptingRanks) Order(context.Context, int, OrderRequest) (OrderReply, error) {
	return OrderReply{ResultDone}, nil
}

// allocated returns the bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestChangesAreEncodedAlone guards against a complete map that is encoded for each change though all agents have the
// map that changes. The encoder allocates most of what either needs.
func TestChangesAreEncodedAlone(t *testing.T) {
	const size, layers = 20, 12
	slots := func(first int) (out [][][]int) {
		for l := range layers {
			out = append(out, nil)
			for rank := range size {
				out[l] = append(out[l], []int{rank, rank + 1, first})
			}
		}
		return out
	}
	c := NewCoordinator(Options{Size: size, Ranks: acceptingRanks{}, Now: time.Now, DataCentre: func(int) string { return "a" }})
	c.currentMap, c.mapKnown, c.agentsMap = port.ExpertMap{Slots: slots(1)}, true, 3
	next := slots(2)
	alone := allocated(func() { _, _ = changedUpdate(3, c.currentMap.Slots, next) })
	if got := allocated(func() { _, _ = c.prepare(t.Context(), next) }); got > alone+alone/2 {
		t.Errorf("a change allocates %d bytes, its encoding %d", got, alone)
	}
}
