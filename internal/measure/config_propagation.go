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
	// propagationDataCentres is the number of data centres of the fleet that is expected in two years.
	propagationDataCentres = 11
	// propagationLimit is the virtual time after which a run fails if the revision is not in force at all processes.
	propagationLimit = 30 * time.Second
	// propagationSettleTime is the time in which the exchanges of the start-up end, before the configuration changes.
	propagationSettleTime = 5 * time.Second
	// propagationBoundSeconds is the time in which an accepted configuration must be in force at all processes.
	propagationBoundSeconds = 7
)

// propagationSizes lists the numbers of processes that are simulated: that of today's deployments, two in between, and
// that of the fleet expected in two years, with 360 entries and 1,200 targets.
var propagationSizes = []int{22, 100, 400, 1560}

// configPropagation measures the time in seconds until a new revision is in force at all processes. It runs the real
// configuration exchange in virtual time and takes the longest time of several fleet sizes. In the naive version every
// process polls the service, and all processes together use the whole rate limit of the service.
func configPropagation(_ context.Context, seed int64) (Result, error) {
	r := Result{Bound: propagationBoundSeconds}
	for i, n := range propagationSizes {
		took, err := propagationSeconds(n, uint64(seed)+uint64(i), false)
		if err != nil {
			return r, err
		}
		r.Ours = max(r.Ours, took)
		r.Naive = max(r.Naive, pollingSeconds(n, uint64(seed)+uint64(i)))
	}
	return r, nil
}

// configPropagationOutage measures the same time when the service fails after one process has read the revision. The
// revision cannot reach the other processes of the naive version while the service is down, so its time is
// propagationLimit.
func configPropagationOutage(_ context.Context, seed int64) (Result, error) {
	r := Result{Naive: propagationLimit.Seconds(), Bound: propagationBoundSeconds}
	for i, n := range propagationSizes {
		took, err := propagationSeconds(n, uint64(seed)+uint64(i), true)
		if err != nil {
			return r, err
		}
		r.Ours = max(r.Ours, took)
	}
	return r, nil
}

// propagationSeconds returns the time until all n processes have a new revision in force.
func propagationSeconds(n int, seed uint64, outage bool) (float64, error) {
	s := configsim.New(n, propagationDataCentres, seed)
	s.Publish(1, minimalDocument(1))
	if _, ok := s.RunUntil(propagationLimit, func() bool { return s.AllAt(1) }); !ok {
		return 0, fmt.Errorf("%d processes: revision 1 is not in force everywhere after the start", n)
	}
	s.RunUntil(propagationSettleTime, func() bool { return false })
	if outage {
		s.Service.Up = false
		s.Accept(s.Nodes[rand.New(rand.NewPCG(seed, 2)).IntN(n)], 2, minimalDocument(2))
	} else {
		s.Publish(2, minimalDocument(2))
	}
	took, ok := s.RunUntil(propagationLimit, func() bool { return s.AllAt(2) })
	if !ok {
		return 0, fmt.Errorf("%d processes: revision 2 is not in force everywhere after %s", n, propagationLimit)
	}
	return took.Seconds(), nil
}

// pollingSeconds returns the time until the last of n processes has polled the service. Each polls at a random phase of
// the interval at which all of them together use the whole rate limit.
func pollingSeconds(n int, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	interval := float64(n) / configsim.ServiceCallsPerSecond
	phases := make([]float64, n)
	for i := range phases {
		phases[i] = rng.Float64() * interval
	}
	return slices.Max(phases) + 2*configsim.Latency.Seconds()
}

// minimalDocument returns a small configuration document. The size of the document does not change the number of
// messages.
func minimalDocument(revision int64) []byte {
	return fmt.Appendf(nil, "revision = %d\npreset_in_force = \"ordinary\"\n[[presets]]\nname = \"ordinary\"\n", revision)
}
