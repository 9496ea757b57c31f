package measure

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/routing"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Size and bound of the routing figure.
const (
	routeTargets   = 1200
	routeDecisions = 20000
	routeBoundNS   = 20000
)

// entryFigures lists the figures of routing.
func entryFigures() []Figure {
	return []Figure{{Name: "route_ns", Run: routeNS}}
}

// routeNS measures the time of one routing decision over all targets of a model, in nanoseconds. The naive version
// copies the live targets into a new list and picks them round robin.
func routeNS(_ context.Context, seed int64) (Result, error) {
	vms := routeFleet()
	ours := timeDecisions(ourDecisions(vms, uint64(seed)))
	naive := timeDecisions(naiveDecisions(vms))
	return Result{Ours: ours, Naive: naive, Bound: routeBoundNS}, nil
}

func routeFleet() []wire.VM {
	vms := make([]wire.VM, routeTargets)
	for i := range vms {
		vms[i] = wire.VM{Name: fmt.Sprintf("runner-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%11),
			Role: wire.RoleTarget, State: wire.StateLive, Kind: wire.KindDraft, Serves: "m"}
	}
	return vms
}

// ourDecisions returns a function that makes one routing decision and reports a load of the chosen target, so that the
// loads of the targets differ.
func ourDecisions(vms []wire.VM, seed uint64) func(i int) {
	r := routing.New(routing.Options{DataCentre: "dc-0", Clock: port.SystemClock{}, Seed: seed})
	return func(i int) {
		c := r.Pick(&routing.Query{Kind: wire.KindDraft, Serves: "m", Targets: vms, Tokens: 100, Prompt: promptOf(uint64(i%64) + 1)})
		c.Report(&wire.Load{Slots: 8, Running: i % 8, WaitLong: time.Duration(i%5) * time.Millisecond, TokensPerS: 2000})
		c.Done(routing.NoFailure)
	}
}

func naiveDecisions(vms []wire.VM) func(i int) {
	var chosen wire.VM
	return func(i int) {
		var live []wire.VM
		for _, vm := range vms {
			if vm.Role == wire.RoleTarget && vm.Kind == wire.KindDraft && vm.Serves == "m" && vm.State == wire.StateLive {
				live = append(live, vm)
			}
		}
		chosen = live[i%len(live)]
		_ = chosen
	}
}

// timeDecisions returns the median time of a decision over batches, so that a pause of the machine does not count.
func timeDecisions(decide func(i int)) float64 {
	const batch = 200
	var times []float64
	for i := 0; i < routeDecisions; i += batch {
		start := time.Now()
		for j := range batch {
			decide(i + j)
		}
		times = append(times, float64(time.Since(start).Nanoseconds())/batch)
	}
	slices.Sort(times)
	return times[len(times)/2]
}
