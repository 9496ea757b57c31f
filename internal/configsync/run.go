package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// startTimeout bounds the start-up round. A process that gets no answer within it continues with the configuration
	// that it has.
	startTimeout = 3 * time.Second
	// startPeersPerDataCentre is the number of peers asked in each data centre. With several, a single peer that is out
	// of date or does not answer does not determine the result.
	startPeersPerDataCentre = 3
)

// Run performs the start-up round and then keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	s.Start(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { s.runRounds(ctx) })
	wg.Go(func() { s.runPulls(ctx) })
	wg.Go(func() { s.runService(ctx) })
	wg.Wait()
}

// Start performs the start-up round: it asks the service and several peers in each data centre for their revision, and
// returns when all have answered or failed, or after startTimeout.
func (s *Syncer) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	tasks := []func(){func() { _, _ = s.ReadService(ctx) }}
	for _, peers := range s.peersByDataCentre() {
		next := make(chan wire.VM, len(peers))
		for _, vm := range peers {
			next <- vm
		}
		close(next)
		for range min(startPeersPerDataCentre, len(peers)) {
			tasks = append(tasks, func() { s.exchangeUntilAnswered(ctx, next) })
		}
	}
	s.opt.RunTasks(tasks)
	s.ready.Store(true)
}

// exchangeUntilAnswered exchanges heads with one peer after the other until one answers.
func (s *Syncer) exchangeUntilAnswered(ctx context.Context, next <-chan wire.VM) {
	for vm := range next {
		if ctx.Err() != nil {
			return
		}
		if _, err := s.exchange(ctx, vm.Control); err == nil {
			return
		}
	}
}

// peersByDataCentre returns the peers of each data centre in random order.
func (s *Syncer) peersByDataCentre() [][]wire.VM {
	var out [][]wire.VM
	at := map[string]int{}
	for _, vm := range s.opt.Fleet.Peers() {
		i, known := at[vm.DataCentre]
		if !known {
			i = len(out)
			at[vm.DataCentre] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], vm)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vms := range out {
		s.rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	}
	return out
}

// Ready reports whether the start-up round is over and a configuration is in force.
func (s *Syncer) Ready() bool { return s.ready.Load() && s.opt.Store.Current() != nil }

// runRounds calls Round at each RoundInterval, and at once when a revision is accepted.
func (s *Syncer) runRounds(ctx context.Context) {
	tick := time.NewTicker(RoundInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.Round(ctx)
	}
}

// runPulls pulls from the peers that were ahead when they pushed.
func (s *Syncer) runPulls(ctx context.Context) {
	for {
		select {
		case addr := <-s.pullAddrs:
			s.Pull(ctx, addr)
		case <-ctx.Done():
			return
		}
	}
}
