package configsync

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// watchersPerDataCentre is the number of processes in each data centre that watch the service. In 11 data centres
	// they occupy 33 of the 2,000 calls that the service can hold.
	watchersPerDataCentre = 3
	// watchTimeout bounds one watch, so that a service that hangs is detected.
	watchTimeout = 15 * time.Second
	// serviceInterval is the minimum average time between two calls of one process. If all 1,560 processes call at once,
	// they stay below half of the 2,000 calls a second that the service can answer.
	serviceInterval = 2 * time.Second
	serviceTimeout  = 2 * time.Second
	// serviceBurst is the number of calls that a process may make without delay after a pause, so that a watcher reads a
	// few revisions published in quick succession as they appear.
	serviceBurst = 5
	// maxPeerSilence is the time without an exchange after which a process reads the service itself. It is the time of
	// two pulls.
	maxPeerSilence = 5 * time.Second
	// maxServiceSilence is the time without a known answer of the service to any process after which each process reads
	// the service itself, since the watchers may be unable to reach it. It exceeds the time of a watch plus the time in
	// which the other processes learn of its answer.
	maxServiceSilence = time.Minute
	// watcherCheckInterval is the average time between two checks whether a process must read the service.
	watcherCheckInterval = time.Second
	// failureLogInterval is the time between two log lines about failed calls, so that an outage of hours does not fill
	// the log.
	failureLogInterval = 30 * time.Second
)

// IsWatcher reports whether this process is one of those in its data centre that watch the service.
func (s *Syncer) IsWatcher() bool {
	self := s.opt.Self()
	mine := watcherWeight(self.Name)
	higher := 0
	for _, vm := range s.opt.Fleet.Peers() {
		if vm.DataCentre == self.DataCentre && vm.State != wire.StateLeaving && watcherWeight(vm.Name) > mine {
			higher++
		}
	}
	return higher < watchersPerDataCentre
}

// watcherWeight ranks the VMs of a data centre by rendezvous hashing. The VMs with the highest weights watch the
// service, so replacing a VM changes at most one watcher.
func watcherWeight(name string) uint64 { return xxhash.Sum64String("config watcher " + name) }

// runService calls the service until ctx ends: a watcher waits for changes, and another process reads the service while
// MustReadService reports true. It checks before each call which of these applies.
func (s *Syncer) runService(ctx context.Context) {
	limit := rate.NewLimiter(rate.Every(serviceInterval), serviceBurst)
	after := int64(0)
	for ctx.Err() == nil {
		watch := s.IsWatcher()
		s.mu.Lock()
		s.isWatcher = watch
		s.mu.Unlock()
		watchingGauge.Set(0)
		if watch {
			watchingGauge.Set(1)
		}
		if !watch && !s.MustReadService() {
			s.sleepJittered(ctx, watcherCheckInterval)
			continue
		}
		if limit.Wait(ctx) != nil {
			return
		}
		if !watch {
			after = 0
			_, _ = s.ReadService(ctx)
			continue
		}
		rev, err := s.watchService(ctx, after)
		if err == nil {
			after = rev
			continue
		}
		s.sleepJittered(ctx, serviceInterval/4)
	}
}

// MustReadService reports whether the process must read the service although it is not a watcher: it had no exchange
// with a peer for more than maxPeerSilence, or the service, as far as known, answered no process for more than
// maxServiceSilence.
func (s *Syncer) MustReadService() bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	lastAnswer := s.serviceSeenByAny
	if lastAnswer.Before(s.started) {
		lastAnswer = s.started
	}
	return now.Sub(s.peerSeen) > maxPeerSilence || now.Sub(lastAnswer) > maxServiceSilence
}

// ReadService reads the service once and offers the document that it returns. It returns the service's revision.
func (s *Syncer) ReadService(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	doc, err := s.opt.Source.Read(ctx)
	return s.handleAnswer(ctx, doc.Revision, doc.Body, err)
}

// watchService watches the service for a revision that differs from after, and offers the document that it returns. It
// returns the service's revision.
func (s *Syncer) watchService(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+serviceTimeout)
	defer cancel()
	doc, err := s.opt.Source.Watch(ctx, after)
	return s.handleAnswer(ctx, doc.Revision, doc.Body, err)
}

// handleAnswer records the result of a call to the service and offers the document that it returned, if any.
func (s *Syncer) handleAnswer(ctx context.Context, revision int64, body []byte, err error) (int64, error) {
	counters.Add(countServiceCalls, 1)
	if err != nil {
		counters.Add(countServiceErrors, 1)
		if ctx.Err() != context.Canceled {
			s.logFailure(err)
		}
		return 0, err
	}
	now := s.opt.Clock.Now()
	s.mu.Lock()
	s.serviceSeen, s.serviceSeenByAny, s.failureLoggedAt = now, now, time.Time{}
	s.mu.Unlock()
	if cur := s.opt.Store.Current(); cur != nil && revision < cur.Revision() {
		counters.Add(countOlder, 1)
	}
	if body != nil {
		s.Offer(body, revision, "service")
	}
	return revision, nil
}

// logFailure logs the first failed call after a successful one, and then at most one in each failureLogInterval.
func (s *Syncer) logFailure(err error) {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	due := now.Sub(s.failureLoggedAt) >= failureLogInterval
	if due {
		s.failureLoggedAt = now
	}
	s.mu.Unlock()
	if due {
		s.opt.Log.WithError(err).Warn("reading the configuration service failed")
	}
}

// serviceAgeMS returns the milliseconds since the service last answered any process, as far as known, or -1 if no
// answer is known.
func (s *Syncer) serviceAgeMS() int64 {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serviceSeenByAny.IsZero() {
		return -1
	}
	return now.Sub(s.serviceSeenByAny).Milliseconds()
}

// sleepJittered waits for a random time from 3/4 to 5/4 of d, or until ctx ends. The jitter keeps processes whose calls
// to the service failed at the same time from calling it again at the same time.
func (s *Syncer) sleepJittered(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	d = d*3/4 + time.Duration(s.rng.Int64N(int64(d/2)))
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
