package configsync

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// RoundInterval is the interval at which Run calls Round. Run also calls Round when a revision is accepted.
	RoundInterval = 500 * time.Millisecond
	// peersPerPush is the number of random peers to which one round pushes.
	peersPerPush = 3
	// maxPushRounds is the number of rounds in which a new revision is pushed. Each round about triples the number of
	// processes that have it, so ten rounds are enough for 3,000 processes.
	maxPushRounds = 10
	// maxRedundantRounds is the number of successive rounds in which every peer already had the revision, after which
	// pushing ends early. With two rounds, an idle process has 1.8 KB/s of traffic instead of 1.3 KB/s, and a revision
	// spreads among 1,560 processes in 0.7 s instead of 0.9 s.
	maxRedundantRounds = 1
	// minPullInterval and pullJitter set the time between two pulls to a random value from 2 s to 3 s. Pulls reach the
	// processes that random pushes missed, within the 7 s in which a revision must be in force everywhere.
	minPullInterval = 2 * time.Second
	pullJitter      = time.Second
	// maxPartnerPulls is the number of pulls from one peer before another is chosen. It keeps a connection in use for
	// about a minute: a TLS handshake costs kilobytes, and one every 2.5 s would exceed the limit of 2 KB/s for control
	// traffic.
	maxPartnerPulls = 24

	// exchangeTimeout bounds one exchange of heads with a peer.
	exchangeTimeout = time.Second
	// maxPendingPulls is the number of peers that can wait to be pulled from.
	maxPendingPulls = 4
	// maxRejectedHashes bounds the record of rejected documents. When it is full, it is cleared.
	maxRejectedHashes = 64
)

// Round pushes the revision in force to random peers while push rounds are left, and pulls from the partner if a pull
// is due. It must not run concurrently with itself.
func (s *Syncer) Round(ctx context.Context) {
	if s.takePushRound() {
		s.push(ctx)
		s.freeMemory()
	}
	if s.takePullDue() {
		s.pullFromPartner(ctx)
	}
}

// pullFromPartner exchanges heads with the partner. It chooses another random peer as the partner after
// maxPartnerPulls pulls, after a failed pull, or if the fleet no longer lists the partner.
func (s *Syncer) pullFromPartner(ctx context.Context) {
	if s.partnerPullsLeft == 0 || !slices.Contains(s.opt.Fleet.Peers(), s.partner) {
		peers := s.randomPeers(1)
		if len(peers) == 0 {
			return
		}
		s.partner, s.partnerPullsLeft = peers[0], maxPartnerPulls
	}
	s.partnerPullsLeft--
	if _, err := s.exchange(ctx, s.partner.Control); err != nil {
		s.partnerPullsLeft = 0
	}
}

// freeMemory returns memory to the operating system if a large document was accepted since the last call. Decoding and
// pushing the document leave much of the heap unused.
func (s *Syncer) freeMemory() {
	s.mu.Lock()
	due := s.freeMemoryDue
	s.freeMemoryDue = false
	s.mu.Unlock()
	if due {
		debug.FreeOSMemory()
	}
}

// takePushRound reports whether a push round is left, and uses it up.
func (s *Syncer) takePushRound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pushRoundsLeft == 0 {
		return false
	}
	s.pushRoundsLeft--
	return true
}

// push exchanges heads with random peers. It ends the push rounds early after maxRedundantRounds successive rounds in
// which every peer answered and none was behind.
func (s *Syncer) push(ctx context.Context) {
	peers := s.randomPeers(peersPerPush)
	mayBeBehind := make([]bool, len(peers))
	var tasks []func()
	for i, vm := range peers {
		tasks = append(tasks, func() {
			wasBehind, err := s.exchange(ctx, vm.Control)
			mayBeBehind[i] = wasBehind || err != nil
		})
	}
	s.opt.RunTasks(tasks)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, behind := range mayBeBehind {
		if behind {
			s.redundantRounds = 0
			return
		}
	}
	if s.redundantRounds++; s.redundantRounds >= maxRedundantRounds {
		s.pushRoundsLeft = 0
	}
}

// takePullDue reports whether a pull is due, and if so schedules the next one.
func (s *Syncer) takePullDue() bool {
	now := s.opt.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.nextPull) {
		return false
	}
	s.nextPull = now.Add(minPullInterval + time.Duration(s.rng.Int64N(int64(pullJitter))))
	return true
}

// randomPeers returns up to n distinct peers.
func (s *Syncer) randomPeers(n int) []wire.VM {
	all := s.opt.Fleet.Peers()
	if len(all) <= n {
		return all
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]wire.VM, 0, n)
	taken := make(map[int]bool, n)
	for len(out) < n {
		i := s.rng.IntN(len(all))
		if !taken[i] {
			taken[i] = true
			out = append(out, all[i])
		}
	}
	return out
}

// exchange sends the head of this process to a peer and receives that of the peer. It fetches the peer's document if
// the peer is ahead, and reports whether the peer was behind.
func (s *Syncer) exchange(ctx context.Context, addr string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	mine := s.head(false)
	var theirs wire.ConfigHead
	if err := s.opt.Caller.Call(ctx, addr, wire.MethodConfigHead, mine, &theirs); err != nil {
		counters.Add(countPeerErrors, 1)
		return false, err
	}
	s.recordHead(theirs)
	if theirs.Revision > mine.Revision {
		return false, s.fetchDocument(context.WithoutCancel(ctx), addr, theirs)
	}
	return theirs.Revision < mine.Revision, nil
}

// OnHead handles the head that a peer sent and returns the head of this process, with section hashes if the peer is
// behind. If the peer is ahead, it queues a pull from it.
func (s *Syncer) OnHead(_ context.Context, theirs wire.ConfigHead) (wire.ConfigHead, error) {
	s.recordHead(theirs)
	mine := s.head(false)
	if theirs.Revision < mine.Revision {
		return s.head(true), nil
	}
	if theirs.Revision > mine.Revision && theirs.From.Control != "" {
		select {
		case s.pullAddrs <- theirs.From.Control:
		default: // the queue is full; a later push or pull finds the difference again
		}
	}
	return mine, nil
}

// PullAddrs returns a channel with the control addresses of peers that were ahead when they pushed. Run pulls from
// them. A simulation, which does not call Run, passes them to Pull.
func (s *Syncer) PullAddrs() <-chan string { return s.pullAddrs }

// Pull exchanges heads with the peer at the address and fetches its document if the peer is ahead.
func (s *Syncer) Pull(ctx context.Context, addr string) { _, _ = s.exchange(ctx, addr) }

// head returns the head of the document in force, with the section hashes if asked for. The revision is 0 if none is in
// force.
func (s *Syncer) head(withSections bool) wire.ConfigHead {
	h := wire.ConfigHead{From: s.opt.Self(), ServiceAgeMS: s.serviceAgeMS()}
	if d := s.document(); d != nil {
		h.Revision, h.Hash = d.snap.Revision(), d.snap.Hash
		if withSections {
			h.Sections = sectionHashes(d.sections)
		}
	}
	h.From.Revision = h.Revision
	return h
}

// recordHead records the hello, the revision and the service age in a peer's head, and a conflict if the peer has
// another document with the revision in force.
func (s *Syncer) recordHead(h wire.ConfigHead) {
	s.opt.Fleet.Heard(h.From)
	now := s.opt.Clock.Now()
	cur := s.opt.Store.Current()
	s.mu.Lock()
	s.peerSeen = now
	if answered := now.Add(-time.Duration(h.ServiceAgeMS) * time.Millisecond); h.ServiceAgeMS >= 0 && answered.After(s.serviceSeenByAny) {
		s.serviceSeenByAny = answered
	}
	if len(s.peerRevisions) < maxPeerRevisions || s.peerRevisions[h.From.Name].revision > 0 {
		s.peerRevisions[h.From.Name] = peerRevision{revision: h.Revision, at: now}
	}
	s.mu.Unlock()
	if cur != nil && h.Revision == cur.Revision() && h.Hash != cur.Hash {
		s.recordConflict(Conflict{Revision: h.Revision, Hash: h.Hash, Origin: h.From.Name})
	}
}
