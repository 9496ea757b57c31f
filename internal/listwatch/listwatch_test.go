package listwatch_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

// follower runs a Watcher against a stand-in of the platform's store.
type follower struct {
	t       *testing.T
	store   *store.Store
	targets *targetset.Set
	tables  *routetable.Store
	mu      sync.Mutex
	events  []listwatch.EventKind
}

// startFollower starts a Watcher and waits until it has the list of five targets and the configuration.
func startFollower(t *testing.T) *follower {
	f := &follower{t: t, store: store.Start(), targets: targetset.New(), tables: &routetable.Store{}}
	t.Cleanup(f.store.Close)
	f.store.Put("op/config", `{"version":4,"routes":[],"services":[]}`)
	for i := range 5 { // more than one page
		f.store.Put(fmt.Sprintf("servers/i-%d", i), entryValue("ready"))
	}
	w := f.newWatcher(f.targets)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			f.targets.Expire(time.Now())
			time.Sleep(20 * time.Millisecond)
		}
	}()
	f.waitFor("the list", func() bool { return f.usableTargets() == 5 && f.tables.Version() == 4 })
	return f
}

// newWatcher returns a watcher that keeps a set up to date.
func (f *follower) newWatcher(targets *targetset.Set) *listwatch.Watcher {
	source := platform.NewStoreClient(f.store.Addr(), platform.NewTransport(time.Second))
	source.Evacuations = true
	return &listwatch.Watcher{Source: source, Targets: targets, Tables: f.tables,
		Notify: func(e listwatch.Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.events = append(f.events, e.Kind)
		}}
}

func entryValue(state string) string {
	return `{"service":"s","address":"127.0.0.1:1","zone":"a","version":"v","slots":2,"state":"` + state + `","born":7}`
}

// usableTargets returns the number of targets that may get new requests.
func (f *follower) usableTargets() int { return len(f.targets.Snapshot().ByService["s"]) }

// waitFor fails the test unless ok returns true within 5 s.
func (f *follower) waitFor(what string, ok func() bool) {
	f.t.Helper()
	f.waitForWithin(5*time.Second, what, ok)
}

// waitForWithin fails the test unless ok returns true within the limit.
func (f *follower) waitForWithin(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("no %s after %v", what, limit)
}

// notified reports whether the Watcher sent an event of the kind.
func (f *follower) notified(kind listwatch.EventKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.events, kind)
}

// TestChangesAreFollowed guards against draining targets, removed targets and new configurations that are missed, and
// against an older configuration that replaces a newer one.
func TestChangesAreFollowed(t *testing.T) {
	f := startFollower(t)
	f.store.Put("servers/i-0", entryValue("draining"))
	f.store.Delete("servers/i-1")
	f.store.Put("op/config", `{"version":9}`)
	f.store.Put("op/config", `{"version":6}`)
	f.waitFor("change", func() bool { return f.usableTargets() == 3 && f.tables.Version() == 9 })
}

// TestMalformedEntriesAreSkipped guards against malformed entries that are used as targets or prevent valid entries
// from being applied.
func TestMalformedEntriesAreSkipped(t *testing.T) {
	f := startFollower(t)
	for i, v := range []string{"{", `{"service":5}`, `{}`, entryValue("weird"), `[]`, "\xff"} {
		f.store.Put(fmt.Sprintf("servers/x-%d", i), v)
	}
	f.store.Put("servers/i-9", entryValue("ready"))
	f.waitFor("valid entry", func() bool { return f.usableTargets() == 6 })
	f.store.SetMode(store.Silent)
	f.store.Put("servers/x-7", "{")
	f.store.DropHistory()
	f.store.SetMode(store.Up)
	f.waitFor("second read of the list", func() bool { return f.notified(listwatch.EventMalformed) && f.usableTargets() == 6 })
}

// callsUpToFirstWatch is the number of calls up to and including the first watch: two pages of targets, the
// configuration and the watch.
const callsUpToFirstWatch = 4

// TestHistoryDropped guards against a target that stays in use because the store dropped the change that removed it.
func TestHistoryDropped(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	f.store.DeleteUnseen("servers/i-2")
	f.waitFor("removal", func() bool { return f.usableTargets() == 4 })
}

// TestTooManyChanges guards against a process that never follows the platform again after an outage, since the changes meanwhile
// take more than one answer may hold.
func TestTooManyChanges(t *testing.T) {
	const changes, configBytes = 8, 900 << 10 // in all over 8 MB, encoded in base64
	f := startFollower(t)
	f.store.SetMode(store.Silent)
	f.store.Server.CloseClientConnections()
	for i := range changes {
		f.store.Put("op/config", fmt.Sprintf(`{"version":%d%s}`, 10+i, strings.Repeat(" ", configBytes)))
	}
	f.store.Delete("servers/i-0")
	f.store.SetMode(store.Up)
	f.waitForWithin(lateListTime+targetset.ReregistrationTime+time.Second, "list after the outage", func() bool { return f.usableTargets() == 4 && f.tables.Version() == 9+changes })
	f.store.Delete("servers/i-1")
	f.waitFor("change after that", func() bool { return f.usableTargets() == 3 })
}

// TestChangesBetweenPages guards against changes that are lost because they are made while the list is read page by page:
// of a target that has been read, of one that has not, and of a new one. The store may also drop these changes before the
// watch after the list asks for them.
func TestChangesBetweenPages(t *testing.T) {
	for name, dropped := range map[string]bool{"kept": false, "dropped": true} {
		t.Run(name, func(t *testing.T) {
			f := startFollower(t)
			f.store.AfterFirstPage(func() {
				f.store.Put("servers/i-0", entryValue("draining"))
				f.store.Delete("servers/i-1")
				f.store.Delete("servers/i-4")
				f.store.Put("servers/i-00", entryValue("ready")) // belongs to the page that has been read
				f.store.Put("servers/i-9", entryValue("ready"))
				if dropped {
					f.store.DropHistory()
				}
			})
			f.store.DeleteUnseen("servers/none") // makes the watcher read the list again
			f.waitForWithin(silentWatchTime+targetset.ReregistrationTime+time.Second, "changes", func() bool {
				var ids []string
				for _, t := range f.targets.Snapshot().ByService["s"] {
					ids = append(ids, t.ID)
				}
				return slices.Equal(ids, []string{"i-00", "i-2", "i-3", "i-9"})
			})
		})
	}
}

// lateListTime is the longest time until the list is read if the changes are not collected in time, by the constants of the watcher and
// of its source: three watches of 0.7 s, a delay of 0.8 s after each, and the reading.
const lateListTime = 3*(700+800)*time.Millisecond + 1500*time.Millisecond

// silentWatchTime is the longest time from the start of a watch that a silent store does not answer to the next call, by
// which the outage is noticed.
const silentWatchTime = 3300 * time.Millisecond

// TestHistoryDroppedWhileSilent guards against a target that stays in use because the store cut the connection of the watch,
// dropped the change that removed the target, and was silent when the watch was sent again. The HTTP client sends it again
// by itself if its connection has carried earlier calls, so that the outage is noticed when the watch times out.
func TestHistoryDroppedWhileSilent(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	f.store.SetMode(store.Silent)
	f.store.DeleteUnseen("servers/i-2")
	f.waitFor("second watch", func() bool { return f.store.Calls() > callsUpToFirstWatch })
	f.store.SetMode(store.Up)
	f.waitForWithin(silentWatchTime+targetset.ReregistrationTime+time.Second, "removal", func() bool { return f.usableTargets() == 4 })
}

// TestWatchOfSilentStoreTimesOut guards against a watch that a silent store never answers and that the watcher still
// waits for when the store answers again. The watch times out 3.2 s after its start, and the removed target stays in
// use for ReregistrationTime after that.
func TestWatchOfSilentStoreTimesOut(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	f.store.SetMode(store.Silent)
	f.store.Delete("servers/i-2")
	time.Sleep(100 * time.Millisecond)
	f.store.SetMode(store.Up)
	f.waitForWithin(3200*time.Millisecond+targetset.ReregistrationTime+time.Second, "removal", func() bool { return f.usableTargets() == 4 })
}

// TestOutageKeepsTargets guards against targets that are dropped because the store cannot be reached, and against
// targets whose entries expired during the outage and that are dropped before they could register again.
func TestOutageKeepsTargets(t *testing.T) {
	for _, mode := range []store.Mode{store.Busy, store.TooManyRequests, store.Reset, store.Silent} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			f := startFollower(t)
			f.store.SetMode(mode)
			f.store.Server.CloseClientConnections()
			f.waitFor("event of the lost connection", func() bool { return f.notified(listwatch.EventLost) })
			for i := range 5 {
				f.store.Delete(fmt.Sprintf("servers/i-%d", i))
			}
			f.store.SetMode(store.Up)
			f.waitFor("event of the regained connection", func() bool { return f.notified(listwatch.EventRegained) })
			time.Sleep(200 * time.Millisecond)
			if n := f.usableTargets(); n != 5 {
				t.Errorf("%d targets in use while the entries may come back, want 5", n)
			}
			f.store.Put("servers/i-0", entryValue("ready"))
			time.Sleep(targetset.ReregistrationTime)
			f.waitFor("expiry of the others", func() bool { return f.usableTargets() == 1 })
		})
	}
}

// TestStoreRestoredFromCopy guards against a process that goes on with revisions of a store that was restored from an
// older copy: it would miss changes that have revisions which it has already seen, take up the older configuration, and
// use targets that have left since the copy.
func TestStoreRestoredFromCopy(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	for round := range 2 { // the store is restored twice from the same copy
		older := f.store.Copy()
		f.store.Put("servers/i-0", entryValue("draining"))
		f.store.Put("op/config", fmt.Sprintf(`{"version":%d}`, 10+round))
		f.waitFor("changes", func() bool { return f.usableTargets() == 4 && f.tables.Version() == int64(10+round) })
		f.store.Restore(older)
		for range 5 { // the store gives out the revisions of the lost changes again
			f.store.Put("servers/i-1", entryValue("ready"))
		}
		f.store.Put("servers/i-2", entryValue("draining"))
		f.waitFor("change after the restoration", func() bool { return f.usableTargets() == 3 })
		if v := f.tables.Version(); v != int64(10+round) {
			t.Errorf("round %d: configuration %d in force, want %d", round, v, 10+round)
		}
		if !f.notified(listwatch.EventNewEra) {
			t.Error("the restoration was not reported")
		}
		f.store.Put("servers/i-0", entryValue("ready"))
		f.store.Put("servers/i-2", entryValue("ready"))
		f.waitFor("targets that register again", func() bool { return f.usableTargets() == 5 })
	}
}

// TestRestoredWithoutWatch guards against a watch that the restored store answers instead of refusing it, because the
// revision that it starts from has been given out again meanwhile.
func TestRestoredWithoutWatch(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	older := f.store.Copy()
	f.store.Put("op/config", `{"version":11}`)
	f.waitFor("configuration", func() bool { return f.tables.Version() == 11 })
	f.store.SetMode(store.Silent)
	f.store.Restore(older)
	f.store.Put("servers/i-3", entryValue("draining"))
	f.store.Put("servers/i-4", entryValue("ready"))
	f.store.SetMode(store.Up)
	f.waitFor("change that the watch does not contain", func() bool { return f.usableTargets() == 4 })
}

// TestOddEras guards against a process that follows a store whose era has gone down, or that stops following one that
// states no era or a malformed one.
func TestOddEras(t *testing.T) {
	f := startFollower(t)
	f.store.SetEra("3")
	f.store.Put("servers/i-0", entryValue("draining"))
	f.waitFor("change in era 3", func() bool { return f.usableTargets() == 4 && f.targets.Snapshot().Era == 3 })
	f.store.SetEra("none")
	f.store.Put("servers/i-1", entryValue("draining"))
	f.waitFor("change in a malformed era", func() bool { return f.usableTargets() == 3 && f.notified(listwatch.EventBadEra) })
	f.store.SetEra("")
	f.store.Put("servers/i-2", entryValue("draining"))
	f.waitFor("change without an era", func() bool { return f.usableTargets() == 2 })
	f.store.SetEra("2")
	f.store.Put("servers/i-3", entryValue("draining"))
	f.waitFor("report of the earlier era", func() bool { return f.notified(listwatch.EventOldEra) })
	if n := f.usableTargets(); n != 2 {
		t.Errorf("%d targets in use, want the 2 of era 3", n)
	}
}
