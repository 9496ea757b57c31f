package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/measure/configsim"
)

const (
	// spreadDataCentres is the number of data centres of the target fleet.
	spreadDataCentres = 11
	// spreadLimit ends a run in which the revision does not reach all processes.
	spreadLimit = 30 * time.Second
	// spreadIdle lets the connections and pulls of the start pass before the change.
	spreadIdle = 5 * time.Second
	// spreadBound is the time in which an accepted configuration must be in force everywhere, in seconds.
	spreadBound = 7
)

// spreadSizes are numbers of processes: today's deployments, two in between, and the target of 360 entries and 1,200 targets.
var spreadSizes = []int{22, 100, 400, 1560}

// configPropagation measures the seconds until a new revision is in force everywhere, with the real exchange in virtual
// time; the longest time of several sizes. In the naive version every process polls the service, as often as its rate
// limit permits all of them together.
func configPropagation(_ context.Context, seed int64) (Result, error) {
	r := Result{Bound: spreadBound}
	for i, n := range spreadSizes {
		took, err := spread(n, uint64(seed)+uint64(i), false)
		if err != nil {
			return r, err
		}
		r.Ours = max(r.Ours, took)
		r.Naive = max(r.Naive, pollAll(n, uint64(seed)+uint64(i)))
	}
	return r, nil
}

// configPropagationOutage measures the same when the service fails after one process has seen the revision. The naive
// version does not get there while the service is down; its side is the limit of the run.
func configPropagationOutage(_ context.Context, seed int64) (Result, error) {
	r := Result{Naive: spreadLimit.Seconds(), Bound: spreadBound}
	for i, n := range spreadSizes {
		took, err := spread(n, uint64(seed)+uint64(i), true)
		if err != nil {
			return r, err
		}
		r.Ours = max(r.Ours, took)
	}
	return r, nil
}

// spread returns the seconds until all n processes have a new revision in force.
func spread(n int, seed uint64, outage bool) (float64, error) {
	s := configsim.New(n, spreadDataCentres, seed)
	s.Publish(1, spreadDocument(1))
	if _, ok := s.RunUntil(spreadLimit, func() bool { return s.AllAt(1) }); !ok {
		return 0, fmt.Errorf("%d processes did not start", n)
	}
	s.RunUntil(spreadIdle, func() bool { return false })
	if outage {
		s.Service.Up = false
		s.Accept(s.Nodes[rand.New(rand.NewPCG(seed, 2)).IntN(n)], 2, spreadDocument(2))
	} else {
		s.Publish(2, spreadDocument(2))
	}
	took, ok := s.RunUntil(spreadLimit, func() bool { return s.AllAt(2) })
	if !ok {
		return 0, fmt.Errorf("%d processes: not in force everywhere after %s", n, spreadLimit)
	}
	return took.Seconds(), nil
}

// pollAll returns the seconds until the last of n processes has polled the service, each at a random phase of the
// interval that uses the whole rate limit.
func pollAll(n int, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	interval := float64(n) / configsim.ServiceCallsPerSecond
	phases := make([]float64, n)
	for i := range phases {
		phases[i] = rng.Float64() * interval
	}
	return slices.Max(phases) + 2*configsim.Latency.Seconds()
}

// spreadDocument is small, since its size does not change the number of messages.
func spreadDocument(revision int64) []byte {
	return fmt.Appendf(nil, "revision = %d\npreset_in_force = \"ordinary\"\n[[presets]]\nname = \"ordinary\"\n", revision)
}
