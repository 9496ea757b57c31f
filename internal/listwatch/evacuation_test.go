package listwatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

const evacuationKey = "op/evacuate/a" // of the data centre of all targets

// waitForEvacuation waits until the evacuation is in force or has ended.
func (f *follower) waitForEvacuation(what string, inForce bool) {
	f.t.Helper()
	want := 5
	if inForce {
		want = 0
	}
	f.waitForWithin(silentWatchTime+time.Second, what, func() bool { return f.usableTargets() == want })
}

// TestEvacuationIsFollowed guards against an evacuation that is not put in force or not ended: while the store answers, without
// the history of the change, and after an outage.
func TestEvacuationIsFollowed(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	f.store.Put(evacuationKey, `{}`)
	f.waitForEvacuation("evacuation", true)
	f.store.Delete(evacuationKey)
	f.waitForEvacuation("end", false)

	f.store.Put(evacuationKey, `{}`)
	f.store.DropHistory()
	f.waitForEvacuation("evacuation without history", true)
	f.store.DeleteUnseen(evacuationKey)
	f.waitForEvacuation("end without history", false)
}

// TestEvacuationInOutage guards against an evacuation that ends because the store is unavailable, and against changes during
// the outage that are missed after it.
func TestEvacuationInOutage(t *testing.T) {
	for _, mode := range []store.Mode{store.Busy, store.TooManyRequests, store.Reset, store.Silent} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			t.Parallel()
			f := startFollower(t)
			f.store.Put(evacuationKey, `{}`)
			f.waitForEvacuation("evacuation", true)
			f.store.SetMode(mode)
			f.store.Server.CloseClientConnections()
			f.waitFor("event of the lost connection", func() bool { return f.notified("list-lost") })
			if n := f.usableTargets(); n > 0 {
				t.Errorf("%d targets in use during the outage", n)
			}
			f.store.Delete(evacuationKey)
			f.store.SetMode(store.Up)
			f.waitForEvacuation("end", false)
			f.store.SetMode(mode)
			f.store.Server.CloseClientConnections()
			f.store.Put(evacuationKey, `{}`)
			f.store.SetMode(store.Up)
			f.waitForEvacuation("evacuation that was set during the outage", true)
		})
	}
}

// TestEvacuationMissingInCopy guards against requests to an evacuated data centre after the store was restored from a copy that
// is older than the evacuation, and against an evacuation whose end is missed in the new era.
func TestEvacuationMissingInCopy(t *testing.T) {
	f := startFollower(t)
	f.waitFor("first watch", func() bool { return f.store.Calls() >= callsUpToFirstWatch })
	older := f.store.Copy()
	f.store.Put(evacuationKey, `{}`)
	f.waitForEvacuation("evacuation", true)
	f.store.Restore(older)
	f.waitFor("restoration", func() bool { return f.targets.Snapshot().Era == 1 })
	if n := f.usableTargets(); n > 0 {
		t.Errorf("%d targets in use", n)
	}
	f.store.Put(evacuationKey, `{}`)
	f.store.Delete(evacuationKey)
	f.waitForEvacuation("end", false)
}

// TestStartDuringEvacuation guards against a process that has just started and uses the targets before it knows of the
// evacuation.
func TestStartDuringEvacuation(t *testing.T) {
	f := startFollower(t)
	f.store.Put(evacuationKey, `{}`)
	f.waitForEvacuation("evacuation", true)
	started := targetset.New()
	used := make(chan int, 100)
	ctx := t.Context()
	go f.newWatcher(started).Run(ctx)
	go func() {
		for ctx.Err() == nil && !started.Snapshot().Known() {
			time.Sleep(time.Millisecond)
		}
		used <- len(started.Snapshot().ByService["s"])
	}()
	if n := <-used; n > 0 {
		t.Errorf("%d targets in use with the first list", n)
	}
}
