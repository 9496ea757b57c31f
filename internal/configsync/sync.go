// Package configsync distributes the published configuration to all processes and puts it in force. A few processes in
// each data centre, the watchers, watch the configuration service. All processes spread a new revision by a gossip
// protocol: they exchange heads (revision and hash of the document in force) with random peers, and a process that is
// behind fetches the sections of the document that it does not have.
//
// Only a valid document with a higher revision replaces the one in force, so a service or a peer that returns to a
// lower revision has no effect.
package configsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Fleet lists the other processes and records the hellos that they send.
type Fleet interface {
	// Peers returns the other processes. The slice is shared and must not be changed.
	Peers() []wire.VM
	// Heard records the hello of another process.
	Heard(wire.Hello)
}

// Caller calls a control method of the process at addr.
type Caller interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Options holds the dependencies of a Syncer.
type Options struct {
	Self   func() wire.Hello // returns the hello of this process; the Syncer sets its Revision
	Store  *config.Store
	Source port.ConfigSource
	Fleet  Fleet
	Caller Caller
	Clock  port.Clock
	Rand   *rand.Rand
	Log    log.Interface // log.Log if nil

	// RunTasks runs the tasks and returns when all have ended. If nil, the tasks run concurrently. A simulation runs them
	// in sequence, so that the same seed gives the same run.
	RunTasks func(tasks []func())
}

// counters counts the events of all Syncers in the process.
var counters = expvar.NewMap("config_sync")

// watchingGauge is 1 while the process watches the service, and 0 otherwise.
var watchingGauge = expvar.NewInt("config_watching")

// largeDocumentBytes is the document size from which memory is returned to the operating system after a change.
// Decoding 1 MB briefly takes tens of megabytes, which would stay resident on VMs that allow 32 MB.
const largeDocumentBytes = 128 << 10

// Names of the counters.
const (
	countAccepted      = "accepted"       // revisions put in force
	countRejected      = "rejected"       // documents that failed the checks
	countConflicts     = "conflicts"      // times that other content was seen under the revision in force
	countOlder         = "older"          // lower revisions served by the configuration service
	countServiceCalls  = "service_calls"  // calls to the configuration service
	countServiceErrors = "service_errors" // failed calls among them
	countPeerErrors    = "peer_errors"    // failed exchanges with peers
	countSections      = "sections"       // sections fetched from peers
)

// Syncer keeps the configuration of one process up to date.
type Syncer struct {
	opt       Options
	inForce   atomic.Pointer[document] // the document in force with its sections, as of the latest call of document
	ready     atomic.Bool              // the start-up round is over
	wake      chan struct{}            // receives when a revision is accepted and must be pushed
	pullAddrs chan string              // control addresses of peers to pull from
	fetchMu   sync.Mutex               // serializes fetches, so that no section is fetched twice

	partner          wire.VM // peer to pull from; only Round uses it
	partnerPullsLeft int     // pulls left before another partner is chosen; only Round uses it

	mu               sync.Mutex
	rng              *rand.Rand
	pushRoundsLeft   int       // rounds left in which the revision in force is pushed
	redundantRounds  int       // successive push rounds in which every peer already had the revision
	nextPull         time.Time // when the next pull is due
	serviceSeen      time.Time // when the service last answered this process
	serviceSeenByAny time.Time // when the service last answered any process, as far as known
	peerSeen         time.Time // last successful exchange that this process started or answered
	started          time.Time // when New was called
	isWatcher        bool      // the process watches the service
	lastRejected     *Rejected
	rejectedHashes   map[string]bool // hashes of rejected documents, which are not checked again
	conflictCount    int64
	lastConflict     *Conflict
	peerRevisions    map[string]peerRevision
	freeMemoryDue    bool      // memory must be returned to the operating system after the next push
	failureLoggedAt  time.Time // when a failed call to the service was last logged; zero after a successful call
}

// document is a configuration with its sections.
type document struct {
	snap     *config.Snapshot
	sections []section
}

// peerRevision is the revision that a peer had in force at a time.
type peerRevision struct {
	revision int64
	at       time.Time
}

// New returns a Syncer. Its store may already contain a snapshot.
func New(opt Options) *Syncer {
	now := opt.Clock.Now()
	if opt.Log == nil {
		opt.Log = log.Log
	}
	if opt.RunTasks == nil {
		opt.RunTasks = runConcurrently
	}
	return &Syncer{
		opt: opt, rng: opt.Rand, wake: make(chan struct{}, 1), pullAddrs: make(chan string, maxPendingPulls),
		started: now, peerSeen: now, nextPull: now, rejectedHashes: map[string]bool{}, peerRevisions: map[string]peerRevision{},
	}
}

func runConcurrently(tasks []func()) {
	var wg sync.WaitGroup
	for _, task := range tasks {
		wg.Go(task)
	}
	wg.Wait()
}

// Offer checks a document from the service or a peer, and puts it in force if it is valid and its revision is higher.
// The origin names its source in logs and in the status: "service", or the name of a peer.
func (s *Syncer) Offer(body []byte, revision int64, origin string) {
	sum := sha256.Sum256(body)
	hash := hex.EncodeToString(sum[:])
	cur := s.opt.Store.Current()
	if (cur != nil && cur.Hash == hash) || s.isRejected(hash) {
		return
	}
	snap, err := config.Parse("published", body)
	if err != nil {
		s.recordRejected(Rejected{Revision: revision, Hash: hash, Reason: err.Error(), Origin: origin})
		return
	}
	if cur != nil && snap.Revision() == cur.Revision() {
		s.recordConflict(Conflict{Revision: revision, Hash: hash, Origin: origin})
		return
	}
	if !s.opt.Store.Offer(snap) {
		return
	}
	s.recordAccepted(snap, origin)
}

// recordAccepted logs and counts a document that was put in force, and starts its push rounds.
func (s *Syncer) recordAccepted(snap *config.Snapshot, origin string) {
	counters.Add(countAccepted, 1)
	s.opt.Log.WithFields(log.Fields{
		"revision": snap.Revision(), "hash": snap.Hash, "preset": snap.Preset().Name, "origin": origin,
	}).Info("configuration in force")
	s.mu.Lock()
	s.pushRoundsLeft, s.redundantRounds = maxPushRounds, 0
	s.freeMemoryDue = len(snap.Body) >= largeDocumentBytes
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// document returns the document in force with its sections, or nil if there is none yet.
func (s *Syncer) document() *document {
	snap := s.opt.Store.Current()
	if snap == nil {
		return nil
	}
	if d := s.inForce.Load(); d != nil && d.snap == snap {
		return d
	}
	d := &document{snap: snap, sections: splitSections(snap.Body)}
	s.inForce.Store(d)
	return d
}

func (s *Syncer) isRejected(hash string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedHashes[hash]
}

// recordRejected logs and counts a document that failed the checks, and remembers its hash.
func (s *Syncer) recordRejected(r Rejected) {
	counters.Add(countRejected, 1)
	s.opt.Log.WithFields(log.Fields{"revision": r.Revision, "hash": r.Hash, "origin": r.Origin, "reason": r.Reason}).Error("configuration rejected")
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rejectedHashes) >= maxRejectedHashes {
		clear(s.rejectedHashes)
	}
	s.rejectedHashes[r.Hash] = true
	s.lastRejected = &r
}

// recordConflict counts a document that has the revision in force but other content. It logs the document unless the
// preceding conflict had the same content.
func (s *Syncer) recordConflict(c Conflict) {
	s.mu.Lock()
	known := s.lastConflict != nil && s.lastConflict.Hash == c.Hash
	s.conflictCount++
	s.lastConflict = &c
	s.mu.Unlock()
	counters.Add(countConflicts, 1)
	if !known {
		s.opt.Log.WithFields(log.Fields{"revision": c.Revision, "hash": c.Hash, "origin": c.Origin}).
			Error("ignored a document with the revision in force but other content")
	}
}
