package listwatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

type follower struct {
	t       *testing.T
	store   *store.Store
	targets *targetset.Set
	tables  *routetable.Store
	mu      sync.Mutex
	events  []listwatch.EventKind
}

func follow(t *testing.T) *follower {
	f := &follower{t: t, store: store.Start(), targets: targetset.New(), tables: &routetable.Store{}}
	t.Cleanup(f.store.Close)
	f.store.Put("op/config", `{"version":4,"routes":[],"services":[]}`)
	for i := range 5 { // more than a page
		f.store.Put(fmt.Sprintf("servers/i-%d", i), entry("ready"))
	}
	w := &listwatch.Watcher{Source: platform.NewStore(f.store.Addr(), &http.Transport{}), Targets: f.targets, Tables: f.tables,
		Notify: func(e listwatch.Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.events = append(f.events, e.Kind)
		}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go w.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			f.targets.Expire(time.Now())
			time.Sleep(20 * time.Millisecond)
		}
	}()
	f.until("the list", func() bool { return f.usable() == 5 && f.tables.Version() == 4 })
	return f
}

func entry(state string) string {
	return `{"service":"s","address":"127.0.0.1:1","zone":"a","version":"v","slots":2,"state":"` + state + `","born":7}`
}

func (f *follower) usable() int { return len(f.targets.Snapshot().ByService["s"]) }

func (f *follower) until(what string, ok func() bool) {
	f.t.Helper()
	f.within(5*time.Second, what, ok)
}

func (f *follower) within(limit time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("no %s after %v", what, limit)
}

func (f *follower) saw(kind listwatch.EventKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.events, kind)
}

// TestChangesAreFollowed guards against leaves and configurations that are missed, and against older configurations that
// replace newer ones.
func TestChangesAreFollowed(t *testing.T) {
	f := follow(t)
	f.store.Put("servers/i-0", entry("draining"))
	f.store.Delete("servers/i-1")
	f.store.Put("op/config", `{"version":9}`)
	f.store.Put("op/config", `{"version":6}`)
	f.until("change", func() bool { return f.usable() == 3 && f.tables.Version() == 9 })
}

// TestMalformedEntriesNameNoTarget guards against entries of other writers that are used or hide the sound ones.
func TestMalformedEntriesNameNoTarget(t *testing.T) {
	f := follow(t)
	for i, v := range []string{"{", `{"service":5}`, `{}`, entry("weird"), `[]`, "\xff"} {
		f.store.Put(fmt.Sprintf("servers/x-%d", i), v)
	}
	f.store.Put("servers/i-9", entry("ready"))
	f.until("sound entry", func() bool { return f.usable() == 6 })
	f.store.SetMode(store.Silent)
	f.store.Put("servers/x-7", "{")
	f.store.DropHistory()
	f.store.SetMode(store.Up)
	f.until("list read anew", func() bool { return f.saw(listwatch.EventMalformed) && f.usable() == 6 })
}

// callsOfFirstWatch is the number of calls up to the first watch: two pages of targets and the configuration come before.
const callsOfFirstWatch = 4

// TestHistoryDropped guards against a target that leaves while the history is dropped and stays in use.
func TestHistoryDropped(t *testing.T) {
	f := follow(t)
	f.until("first watch", func() bool { return f.store.Calls() >= callsOfFirstWatch })
	f.store.SetMode(store.Silent)
	f.store.Delete("servers/i-2")
	f.store.DropHistory()
	f.store.SetMode(store.Up)
	f.until("removal", func() bool { return f.usable() == 4 })
}

// TestWatchOfSilentStore guards against a watch that a silent store never answers and that is waited for after the store
// is back. It is given up 3.2 s after its start, and the entry that is missing then may come back for
// ReregistrationTime.
func TestWatchOfSilentStore(t *testing.T) {
	f := follow(t)
	f.until("first watch", func() bool { return f.store.Calls() >= callsOfFirstWatch })
	f.store.SetMode(store.Silent)
	f.store.Delete("servers/i-2")
	time.Sleep(100 * time.Millisecond)
	f.store.SetMode(store.Up)
	f.within(3200*time.Millisecond+targetset.ReregistrationTime+time.Second, "removal", func() bool { return f.usable() == 4 })
}

// TestOutageKeepsTargets guards against targets that are dropped because the store is away, and against lapsed entries
// that take the targets away before they could register again.
func TestOutageKeepsTargets(t *testing.T) {
	for _, mode := range []store.Mode{store.Busy, store.Many, store.Reset, store.Silent} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			f := follow(t)
			f.store.SetMode(mode)
			f.store.Server.CloseClientConnections()
			f.until("loss", func() bool { return f.saw(listwatch.EventLost) })
			for i := range 5 {
				f.store.Delete(fmt.Sprintf("servers/i-%d", i))
			}
			f.store.SetMode(store.Up)
			f.until("return", func() bool { return f.saw(listwatch.EventRegained) })
			time.Sleep(200 * time.Millisecond)
			if n := f.usable(); n != 5 {
				t.Errorf("%d targets in use while the entries may come back, want 5", n)
			}
			f.store.Put("servers/i-0", entry("ready"))
			time.Sleep(targetset.ReregistrationTime)
			f.until("expiry of the others", func() bool { return f.usable() == 1 })
		})
	}
}
