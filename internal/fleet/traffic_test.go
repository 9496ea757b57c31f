package fleet

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime/pprof"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// The sizes of the large deployment: entries in three data centres, and two groups of engines with a process of ours
// beside each rank.
const (
	largeCentres   = 3
	largeEntries   = 52
	largeGroups    = 2
	largeGroupSize = 96
	largeTargets   = 400
	largeRoutes    = 300
	largeChanges   = 10 // of the list or the configuration, one after the other
	// envelopeBytes is the size of the JSON-RPC members around a parameter or a result.
	envelopeBytes = 60
)

// tally counts messages of one kind.
type tally struct {
	calls  int
	bytes  int // of requests and replies
	remote int // the part of bytes that crosses between data centres
	// full counts the replies that hold a state or a list of members, and not only the statement that nothing changed.
	full int
}

// traffic encodes and decodes each message as JSON and counts it by method.
type traffic struct {
	mu     sync.Mutex
	counts map[string]*tally
}

// take returns the counts since the last call.
func (c *traffic) take() map[string]*tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = map[string]*tally{}
	return out
}

// carry passes a call on to an entry, labelled by its method in processor profiles.
func (c *traffic) carry(ctx context.Context, from Entry, to *member, method string, in, out any) (err error) {
	pprof.Do(ctx, pprof.Labels("method", method), func(ctx context.Context) {
		var request, reply []byte
		if request, err = json.Marshal(in); err == nil {
			if reply, err = serveEncoded(ctx, to, method, request); err == nil && out != nil {
				err = json.Unmarshal(reply, out)
			}
		}
		c.record(method, from.DataCentre != to.opt.Self.DataCentre, len(request)+len(reply)+2*envelopeBytes, len(reply) > 100)
	})
	return err
}

func (c *traffic) record(method string, remote bool, size int, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.counts[method]
	if t == nil {
		t = &tally{}
		c.counts[method] = t
	}
	t.calls++
	t.bytes += size
	if remote {
		t.remote += size
	}
	if full {
		t.full++
	}
}

// serveEncoded answers an encoded request with an encoded reply.
func serveEncoded(ctx context.Context, to *member, method string, request []byte) ([]byte, error) {
	switch method {
	case methodExchange:
		return serveTyped(ctx, request, to.serveExchange)
	case methodState:
		return serveTyped(ctx, request, to.serveState)
	case methodRank:
		return serveTyped(ctx, request, to.serveRank)
	case methodGroup:
		return serveTyped(ctx, request, to.serveGroup)
	}
	return nil, fmt.Errorf("unknown method %s", method)
}

func serveTyped[In, Out any](ctx context.Context, request []byte, serve func(context.Context, In) (Out, error)) ([]byte, error) {
	var in In
	if err := json.Unmarshal(request, &in); err != nil {
		return nil, err
	}
	out, err := serve(ctx, in)
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

// largeFleet is the large deployment without its requests: entries, ranks that register, and coordinators that send the
// state of their groups. Some entries stand for those that read the platform.
type largeFleet struct {
	n       *network
	members []*member
	readers []*member
	stop    context.CancelFunc
	list    targetset.Position
}

// newLargeFleet starts a fleet of the size of the large deployment.
func newLargeFleet(t *testing.T) *largeFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &largeFleet{stop: cancel, n: &network{rng: rand.New(rand.NewPCG(1, 1)), members: map[string]*member{}, isolated: map[string]bool{},
		traffic: &traffic{counts: map[string]*tally{}}}}
	for i := range largeEntries {
		m := l.n.startIn(i, fmt.Sprint("dc-", i%largeCentres))
		l.members = append(l.members, m)
	}
	l.readers = l.members[:maxPlatformReaders]
	l.list.Revision = 1 // of the list that entries start with
	l.replaceList(largeTargets)
	l.offerConfig(1)
	for g := range largeGroups {
		for r := range largeGroupSize {
			go l.runRank(ctx, g, r)
		}
	}
	return l
}

// runRank registers a rank each second and, if it is the lowest one, sends the state of its group.
func (l *largeFleet) runRank(ctx context.Context, group, index int) {
	self := Rank{Name: fmt.Sprintf("engine-vm-%d-%d", group, index), Control: fmt.Sprintf("10.%d.0.%d:7000", group, index), Started: 1,
		Engine: fmt.Sprintf("10.%d.0.%d:9000", group, index), Group: fmt.Sprint("g", group), Rank: index, Size: largeGroupSize,
		DataCentre: fmt.Sprint("dc-", index%largeCentres)}
	seeds := []string{fmt.Sprint("c-", index%largeEntries), fmt.Sprint("c-", (index*7+1)%largeEntries)}
	client := &RankClient{Seeds: seeds, Pool: endpoint{l.n, Entry{Control: self.Control, DataCentre: self.DataCentre}}}
	time.Sleep(time.Duration(index) * 10 * time.Millisecond)
	if index == 0 {
		go l.sendStates(ctx, client, self)
	}
	for ctx.Err() == nil {
		_, _ = client.Register(ctx, self)
		time.Sleep(time.Second)
	}
}

// sendStates sends the state of a group as the coordinators do.
func (l *largeFleet) sendStates(ctx context.Context, client *RankClient, self Rank) {
	var ranks []RankState
	for r := range largeGroupSize {
		ranks = append(ranks, RankState{Engine: fmt.Sprintf("10.%s.0.%d:9000", self.Group[1:], r), Pace: 1.03})
	}
	for seq := int64(1); ctx.Err() == nil; seq++ {
		s := GroupState{Group: self.Group, Term: 1, Seq: seq, Epoch: 1, Open: true, Imbalance: 1.2 + float64(seq%10)/100}
		s.Ranks, s.RanksSeq = ranks, 1
		client.SendGroupState(ctx, s)
		time.Sleep(150 * time.Millisecond)
	}
}

// replaceList gives the readers a list of n targets at a new revision.
func (l *largeFleet) replaceList(n int) {
	l.list.Revision++
	var targets []targetset.Target
	for i := range n {
		targets = append(targets, targetset.Target{ID: fmt.Sprintf("engine-vm-%d", i), Service: fmt.Sprint("s", i%8), Slots: 16, StartedAtMs: 1_700_000_000_000,
			Addr: fmt.Sprintf("10.%d.1.%d:9000", i/200, i%200), DataCentre: fmt.Sprint("dc-", i%largeCentres), Position: targetset.Position{Revision: 1}})
	}
	for _, m := range l.readers {
		m.opt.Targets.Replace(l.list, targets, time.Now())
	}
}

// offerConfig gives the readers a version of the configuration.
func (l *largeFleet) offerConfig(version int64) {
	c := routetable.Config{Version: version}
	for i := range largeRoutes {
		c.Routes = append(c.Routes, routetable.Route{Name: fmt.Sprint("route-", i), Host: fmt.Sprintf("h%d.example", i), Prefix: fmt.Sprintf("/p%d/", (i*7919+int(version))%1000),
			Kind: routetable.KindSafe, Timeout: time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 2, Backends: []routetable.Backend{{Service: fmt.Sprint("s", i%8), Weight: 1}}})
	}
	for _, m := range l.readers {
		m.opt.Tables.Offer(c)
	}
}

// phase runs f, then waits for the rest of the duration and logs the counts and the processor time of both.
func (l *largeFleet) phase(t *testing.T, name string, d time.Duration, f func()) map[string]*tally {
	t.Helper()
	l.n.traffic.take()
	cpu, end := processorTime(), time.Now().Add(d)
	f()
	time.Sleep(time.Until(end))
	counts := l.n.traffic.take()
	spent := processorTime() - cpu
	all := tally{}
	for _, method := range []string{methodExchange, methodState, methodRank, methodGroup} {
		c := counts[method]
		if c == nil {
			c = &tally{}
			counts[method] = c
		}
		all.bytes, all.remote = all.bytes+c.bytes, all.remote+c.remote
		t.Logf("%-16s %-15s calls=%-6d full=%-6d kB=%-7d remote_kB=%d", name, method, c.calls, c.full, c.bytes/1000, c.remote/1000)
	}
	t.Logf("%-16s all             cpu_ms=%d of %v, kB=%d remote_kB=%d", name, spent.Milliseconds(), d, all.bytes/1000, all.remote/1000)
	return counts
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// waitForList fails the test unless all entries have the list of the readers within spreadLimit.
func (l *largeFleet) waitForList(t *testing.T) {
	t.Helper()
	waitForAll(t, l.members, spreadLimit, "list", func(m *member) bool { return m.opt.Targets.Snapshot().Position == l.list })
}

// runLargeFleet runs a test with a large fleet in which all members know each other.
func runLargeFleet(t *testing.T, test func(*largeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		l := newLargeFleet(t)
		defer func() {
			l.stop()
			for _, m := range l.members {
				m.stop()
			}
			time.Sleep(time.Minute) // until all calls have ended
		}()
		time.Sleep(8 * time.Second)
		waitForAll(t, l.members, 10*time.Second, "members", func(m *member) bool {
			entries, ranks := m.members()
			return len(entries) == largeEntries && len(ranks) == largeGroups*largeGroupSize
		})
		test(l)
	})
}

// phaseLength is the length of a phase of TestTrafficOfLargeFleet.
var phaseLength = flag.Duration("phase", 6*time.Second, "virtual time of a phase of TestTrafficOfLargeFleet")

// TestTrafficOfLargeFleet measures the messages of a large fleet in quiet times and under trouble, and guards against
// trouble after which entries differ, and against entries that fetch a change several times.
func TestTrafficOfLargeFleet(t *testing.T) {
	runLargeFleet(t, func(l *largeFleet) {
		l.phase(t, "quiet", *phaseLength, func() {})
		lists := l.phase(t, "list-changes", *phaseLength, func() {
			for range largeChanges {
				l.replaceList(largeTargets)
				time.Sleep(500 * time.Millisecond)
			}
		})
		l.phase(t, "store-outage", *phaseLength, func() {
			time.Sleep(2 * time.Second)
			l.replaceList(largeTargets - 150) // expired during the outage
			time.Sleep(2 * time.Second)
		})
		l.phase(t, "cut-16", *phaseLength, func() {
			l.n.isolate(l.members[largeEntries-16:]...)
			time.Sleep(5 * time.Second)
			l.n.isolate()
		})
		configs := l.phase(t, "config-storm", *phaseLength, func() {
			for version := range int64(largeChanges) {
				l.offerConfig(2 + version)
				time.Sleep(500 * time.Millisecond)
			}
		})
		l.waitForList(t)
		waitForAll(t, l.members, spreadLimit, "configuration", func(m *member) bool { return m.opt.Tables.Version() == 1+largeChanges })
		for what, counts := range map[string]map[string]*tally{"lists": lists, "configurations": configs} {
			if n := counts[methodState].calls; n > 1.2*largeChanges*largeEntries {
				t.Errorf("%s: %d requests for the state of others after %d changes at %d entries", what, n, largeChanges, largeEntries)
			}
		}
		for _, m := range l.members[1:] {
			if ids := m.opt.Targets.Snapshot().IDs; !slices.Equal(ids, l.members[0].opt.Targets.Snapshot().IDs) {
				t.Errorf("%s has %d targets", m.opt.Self.Name, len(ids))
			}
		}
	})
}

// isolate cuts the entries off from all others, and ends the cut of all others.
func (n *network) isolate(members ...*member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.isolated)
	for _, m := range members {
		n.isolated[m.opt.Self.Control] = true
	}
}
