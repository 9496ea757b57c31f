package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// The sizes of a large fleet, in one process.
const (
	testCentres          = 5
	testEntriesPerCentre = 12
	testEntries          = testCentres * testEntriesPerCentre
	// spreadLimit is the time in which a leave or a configuration must reach all entries. Deployments allow 2 s or more.
	spreadLimit = 2 * time.Second
)

// network carries calls between the members of a fleet without sockets.
type network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	members  map[string]*member // by control address
	lost     float64            // share of calls that are lost
	cutOff   string             // data centre that reaches no other one; empty for none
	isolated map[string]bool    // control addresses that reach no other one
	traffic  *traffic           // nil unless the messages are encoded and counted
}

var errLost = errors.New("the call was lost")

// endpoint is the end of the network at one member.
type endpoint struct {
	n    *network
	self Entry
}

// Call implements Caller. A lost call fails when its context ends.
func (p endpoint) Call(ctx context.Context, addr, method string, in, out any) error {
	p.n.mu.Lock()
	to := p.n.members[addr]
	lost := p.n.rng.Float64() < p.n.lost
	delay := time.Duration(1+p.n.rng.IntN(4)) * time.Millisecond
	if to != nil && to.opt.Self.DataCentre != p.self.DataCentre && (p.n.cutOff == to.opt.Self.DataCentre || p.n.cutOff == p.self.DataCentre) {
		lost = true
	}
	if p.n.isolated[addr] || p.n.isolated[p.self.Control] {
		lost = true
	}
	counter := p.n.traffic
	p.n.mu.Unlock()
	if lost {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(delay)
	if to == nil {
		return errLost
	}
	if counter != nil {
		return counter.carry(ctx, p.self, to, method, in, out)
	}
	var err error
	switch method {
	case methodExchange:
		*out.(*Heartbeat), err = to.serveExchange(ctx, in.(Heartbeat))
	case methodState:
		*out.(*StateReply), err = to.serveState(ctx, in.(StateRequest))
	}
	return err
}

// member is one entry of a large fleet.
type member struct {
	*Fleet
	stop context.CancelFunc

	mu         sync.Mutex
	inFlight   map[string]map[string]int // as reported by peers, by source
	reportedAt map[string]time.Time      // by source
	heartbeats int
	ranksSeq   map[string]int64 // by group
}

// reportGroup records which ranks of a group the member has, as package balance does.
func (m *member) reportGroup(s GroupState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(s.Ranks) > 0 {
		m.ranksSeq[s.Group] = s.RanksSeq
	}
	return m.ranksSeq[s.Group] == s.RanksSeq
}

// inFlightMaxAge is the age from which a report of requests in flight is ignored, as in package balance.
const inFlightMaxAge = 2 * time.Second

// total returns the requests in flight at a target from all entries, as this one sees them.
func (m *member) total(target string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1 // its own
	for source, counts := range m.inFlight {
		if time.Since(m.reportedAt[source]) < inFlightMaxAge {
			n += counts[target]
		}
	}
	return n
}

func (m *member) report(source string, counts map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight[source], m.reportedAt[source] = maps.Clone(counts), time.Now()
	m.heartbeats++
}

// start starts an entry that has one request in flight at the target t and finds the others through seeds.
func (n *network) start(index int) *member {
	return n.startIn(index, fmt.Sprint("dc-", index%testCentres))
}

// startIn is start for an entry in the given data centre.
func (n *network) startIn(index int, dataCentre string) *member {
	m := &member{inFlight: map[string]map[string]int{}, reportedAt: map[string]time.Time{}, ranksSeq: map[string]int64{}}
	targets, tables := targetset.New(), &routetable.Store{}
	targets.Replace(targetset.Position{Revision: 1}, []targetset.Target{{ID: "t", Service: "s", Slots: 1, Position: targetset.Position{Revision: 1}}}, time.Now())
	self := Entry{Name: fmt.Sprint("e-", index), Control: fmt.Sprint("c-", index), Started: 1, DataCentre: dataCentre}
	m.Fleet = New(Options{
		Self: self, Seeds: []string{"c-0", "c-1"}, Pool: endpoint{n, self}, Tables: tables, Targets: targets, Notify: func(Event) {},
		InFlight:       func() map[string]int { return map[string]int{"t": 1} },
		ReportInFlight: m.report, ReportGroup: m.reportGroup,
		ReadsPlatform: func() bool { return true }, Stopping: func() bool { return false },
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = func() {
		cancel()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.members, self.Control)
	}
	n.mu.Lock()
	n.members[self.Control] = m
	n.mu.Unlock()
	go m.Run(ctx)
	return m
}

// waitForAll fails the test unless ok returns true for all members within the limit.
func waitForAll(t *testing.T, members []*member, limit time.Duration, what string, ok func(*member) bool) {
	t.Helper()
	missing := len(members)
	for end := time.Now().Add(limit); missing > 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		missing = 0
		for _, m := range members {
			if !ok(m) {
				missing++
			}
		}
	}
	if missing > 0 {
		t.Errorf("%s: not at %d of %d entries after %v", what, missing, len(members), limit)
	}
}

// TestLargeFleet guards against a fleet whose entries all exchange heartbeats with each other, and against one that does
// not and therefore miscounts requests in flight, misses leaves or configurations, or does not notice that an entry has
// died or joined, or that a data centre was cut off and is back. Some calls are lost all the time.
func TestLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{rng: rand.New(rand.NewPCG(1, 1)), members: map[string]*member{}, lost: 0.02}
		var members []*member
		for i := range testEntries {
			members = append(members, n.start(i))
		}
		defer func() {
			for _, m := range members {
				m.stop()
			}
			time.Sleep(time.Minute) // until all calls have ended
		}()
		checkLive := func(what string, list []*member, want int, limit time.Duration) {
			t.Helper()
			waitForAll(t, list, limit, what, func(m *member) bool { live, _ := m.EntryCounts(); return live == want })
		}
		checkInFlight := func(what string, list []*member, want int) {
			t.Helper()
			waitForAll(t, list, 5*time.Second, what, func(m *member) bool { return m.total("t") == want })
		}
		checkLive("start", members, testEntries, 10*time.Second)
		checkInFlight("requests in flight", members, testEntries)
		checkHeartbeats(t, members)

		members[7].opt.Targets.Leave([]targetset.Leave{{Incarnation: targetset.Incarnation{ID: "t"}, Position: targetset.Position{Revision: 9}}})
		waitForAll(t, members, spreadLimit, "leave", func(m *member) bool { return len(m.opt.Targets.Snapshot().ByService["s"]) == 0 })
		members[21].opt.Tables.Offer(routetable.Config{Version: 5})
		waitForAll(t, members, spreadLimit, "configuration", func(m *member) bool { return m.opt.Tables.Version() == 5 })

		for _, dead := range []int{0, 7, 13} {
			members[dead].stop()
		}
		left := slices.Concat(members[1:7], members[8:13], members[14:])
		checkLive("death of entries", left, testEntries-3, 10*time.Second)
		checkInFlight("requests in flight of the dead", left, testEntries-3)
		members = append(members, n.start(testEntries))
		left = append(left, members[testEntries])
		checkLive("join", left, testEntries-2, 10*time.Second)
		checkInFlight("requests in flight after the join", left, testEntries-2)

		n.cut("dc-2")
		time.Sleep(6 * time.Second)
		n.cut("")
		left[0].opt.Tables.Offer(routetable.Config{Version: 6})
		waitForAll(t, left, contactRetryDelay+spreadLimit, "configuration after the cut", func(m *member) bool { return m.opt.Tables.Version() == 6 })
		checkLive("end of the cut", left, testEntries-2, 10*time.Second)
	})
}

// cut cuts a data centre off from the others. An empty name ends the cut.
func (n *network) cut(dataCentre string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutOff = dataCentre
}

// checkHeartbeats fails the test if the members receive more heartbeats than the size of their data centre explains: from
// its other entries, from their contacts, and from those whose contact they are.
func checkHeartbeats(t *testing.T, members []*member) {
	t.Helper()
	const span = 2 * time.Second
	count := func() (sum int) {
		for _, m := range members {
			m.mu.Lock()
			sum += m.heartbeats
			m.mu.Unlock()
		}
		return sum
	}
	before := count()
	time.Sleep(span)
	perEntry := float64(count()-before) / float64(len(members)) / span.Seconds()
	const partners = testEntriesPerCentre - 1 + 2*(testCentres-1)
	if limit := 1.2 * partners / members[0].interval().Seconds(); perEntry > limit {
		t.Errorf("an entry receives %.0f heartbeats a second, want at most %.0f", perEntry, limit)
	}
}
