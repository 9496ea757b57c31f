package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// unreachableTimeout is how long an unreachable predecessor counts as not updated. A target whose local process is
	// down serves nothing, so until then it counts as out of service; afterwards the rollout continues without it.
	unreachableTimeout = 30 * time.Second
	// askTimeout bounds one request to a predecessor.
	askTimeout = time.Second
	// askWindowFactor bounds the predecessors asked in one round, as a multiple of maxOutOfService.
	askWindowFactor = 2
)

// Ask requests from the local process at a control address which version its target serves.
type Ask func(ctx context.Context, addr string) (wire.ModelVersion, error)

// updateOrder decides when a target may change to a version. Every local process computes the same order of the model's
// targets from the VM list alone. A target may start when fewer than maxOutOfService of the targets before it are still
// to be updated.
type updateOrder struct {
	self  string
	clock port.Clock
	ask   Ask

	version          string // version that updated and unreachableSince are about
	mu               sync.Mutex
	updated          map[string]bool
	unreachableSince map[string]time.Time // when a predecessor first failed to answer
}

func newUpdateOrder(self string, clock port.Clock, ask Ask) *updateOrder {
	return &updateOrder{self: self, clock: clock, ask: ask, updated: map[string]bool{}, unreachableSince: map[string]time.Time{}}
}

// maxOutOfService returns how many of n targets may be out of service at once: the share of n, but at least one.
func maxOutOfService(n int, share float64) int { return max(1, int(share*float64(n))) }

// mayStart reports whether the own target may start to change to the version. It asks the last of the predecessors that
// are not known to be updated, at most askWindowFactor times the limit.
func (o *updateOrder) mayStart(ctx context.Context, targets []wire.VM, version string, share float64) bool {
	if version != o.version {
		o.version = version
		clear(o.updated)
		clear(o.unreachableSince)
	}
	limit := maxOutOfService(len(targets), share)
	pending := o.notUpdated(predecessors(targets, o.self, version))
	o.askAll(ctx, pending[max(0, len(pending)-askWindowFactor*limit):])
	return len(o.notUpdated(pending)) < limit
}

// predecessors returns the live targets before the own one in the update order, sorted in that order. The order differs
// from version to version, so that no target is always the first to load a new version.
func predecessors(targets []wire.VM, self, version string) []wire.VM {
	own := position(self, version)
	var before []wire.VM
	for _, vm := range targets {
		if vm.Name != self && vm.State == wire.StateLive && position(vm.Name, version) < own {
			before = append(before, vm)
		}
	}
	slices.SortFunc(before, func(a, b wire.VM) int {
		if position(a.Name, version) < position(b.Name, version) {
			return -1
		}
		return 1
	})
	return before
}

// position is the sort key of a target in the update order for the version.
func position(name, version string) uint64 { return xxhash.Sum64String(version + "\x00" + name) }

// notUpdated returns the targets that are not known to serve the version, without those that have been unreachable for
// at least unreachableTimeout.
func (o *updateOrder) notUpdated(targets []wire.VM) []wire.VM {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []wire.VM
	for _, vm := range targets {
		since, unreachable := o.unreachableSince[vm.Name]
		if o.updated[vm.Name] || (unreachable && o.clock.Now().Sub(since) >= unreachableTimeout) {
			continue
		}
		out = append(out, vm)
	}
	return out
}

func (o *updateOrder) askAll(ctx context.Context, targets []wire.VM) {
	var g errgroup.Group
	for _, vm := range targets {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			v, err := o.ask(ctx, vm.Control)
			o.recordAnswer(vm.Name, v, err)
			return nil
		})
	}
	_ = g.Wait()
}

func (o *updateOrder) recordAnswer(name string, v wire.ModelVersion, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		if _, ok := o.unreachableSince[name]; !ok {
			o.unreachableSince[name] = o.clock.Now()
		}
		return
	}
	delete(o.unreachableSince, name)
	if v.InServiceWith(o.version) {
		o.updated[name] = true
	}
}
