package integration

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/standin"
)

// maxNewWorkTime is how long a target may still get new work after it begins to leave. The design allows a few seconds.
const maxNewWorkTime = 5 * time.Second

// backgroundLoad sends short drafts, and bookings if the fleet has desks, through the entries until it is stopped,
// and records which target completed each request.
type backgroundLoad struct {
	fleet *fleet
	stop  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup

	mu          sync.Mutex
	completedAt []string // target of each completed request, in order
	failed      []callerResult
}

func startLoad(t *testing.T, f *fleet, perEntry int) *backgroundLoad {
	l := &backgroundLoad{fleet: f, stop: make(chan struct{})}
	t.Cleanup(func() { l.finish() })
	for _, n := range f.entries {
		for w := range perEntry {
			l.wg.Go(func() { l.send(n, w) })
		}
	}
	return l
}

func (l *backgroundLoad) send(n *localfleet.Node, worker int) {
	hasDesks := slices.ContainsFunc(l.fleet.targets, func(n *localfleet.Node) bool { return n.VM.Kind == wire.KindCall })
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		what := fmt.Sprintf("%s %d %d", n.Name, worker, i)
		var got callerResult
		if hasDesks && i%2 == 0 {
			got = call(n.Callers, "reserve", what, "", 5*time.Second)
		} else {
			got = draft(n.Callers, what, 10)
		}
		l.mu.Lock()
		if got.outcome == outcome.Completed {
			l.completedAt = append(l.completedAt, got.target)
		} else {
			l.failed = append(l.failed, got)
		}
		l.mu.Unlock()
		if got.outcome != outcome.Completed {
			time.Sleep(10 * time.Millisecond) // a refused caller waits before its next request
		}
	}
}

// avoided reports whether the last n completed requests all ran at other targets.
func (l *backgroundLoad) avoided(target string, n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.completedAt) >= n && !slices.Contains(l.completedAt[len(l.completedAt)-n:], target)
}

func (l *backgroundLoad) completed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.completedAt)
}

// finish stops the load, waits for its last requests and returns the results of those that were not completed.
func (l *backgroundLoad) finish() []callerResult {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
	return l.failed
}

// streams returns how many streams the engine of a node has started.
func streams(t *testing.T, n *localfleet.Node) int {
	t.Helper()
	var s standin.EngineStats
	check(t, localfleet.GetJSON(n.TargetURL+"/admin/stats", &s))
	return s.Streams
}

// listWithLeaving returns the VM list with one VM marked as leaving.
func (f *fleet) listWithLeaving(name string) []wire.VM {
	vms := slices.Clone(f.VMs)
	for i := range vms {
		if vms[i].Name == name {
			vms[i].State = wire.StateLeaving
		}
	}
	return vms
}

// TestLeavingTargetGetsNoNewWork guards against work for a leaving target when entries see an old VM list for long,
// when an entry is suspended before the leave and resumed after it, and when the local process is suspended during the
// leave.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name                        string
		staleEntries                bool // the VM list of the entries shows the target as live
		suspendEntry, suspendTarget bool
	}{
		{"stale list at the entries", true, false, false},
		{"entry frozen over the leave", true, true, false},
		{"local process frozen over the leave", true, false, true},
		{"stale list at the target", false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, true, 2, engines(3, "-step", "1ms"))
			leaving := f.targets[0]
			readers := append(slices.Clone(f.targets), f.entries...)
			for _, n := range readers { // give each reader a VM list that is changed separately
				check(t, f.PublishVMsFor(n.VM.Name, f.VMs))
			}
			l := startLoad(t, f, 6)
			check(t, localfleet.WaitFor("work at the target", func() bool { return streams(t, leaving) > 20 }))
			suspended := f.entries[:0:0]
			if c.suspendEntry {
				suspended = append(suspended, f.entries[1])
			}
			if c.suspendTarget {
				suspended = append(suspended, leaving)
			}
			for _, n := range suspended {
				check(t, n.Suspend())
			}
			for _, n := range readers {
				if isEntry := n.VM.Role == wire.RoleEntry; isEntry != c.staleEntries {
					check(t, f.PublishVMsFor(n.VM.Name, f.listWithLeaving(leaving.VM.Name)))
				}
			}
			if len(suspended) > 0 {
				before := l.completed()
				check(t, localfleet.WaitFor("work at other targets meanwhile", func() bool { return l.completed() > before+50 }))
			}
			for _, n := range suspended {
				check(t, n.Resume())
			}
			left := time.Now()
			check(t, localfleet.WaitFor("no work at the leaving target", func() bool { return l.avoided(leaving.VM.Name, 100) }))
			if d := time.Since(left); d > maxNewWorkTime {
				t.Errorf("the target got work for %s after the leave", d)
			}
			before, done := streams(t, leaving), l.completed()
			check(t, localfleet.WaitFor("further work", func() bool { return l.completed() > done+300 }))
			if after := streams(t, leaving); after != before {
				t.Errorf("%d requests ran at the target after it had left", after-before)
			}
			failed := l.finish()
			t.Logf("%d drafts completed, %d not", l.completed(), len(failed))
			if len(failed)*10 > l.completed() {
				t.Errorf("%d drafts failed and %d completed, first failure %+v", len(failed), l.completed(), failed[0])
			}
		})
	}
}

// TestPlannedStopCutsNothingOff guards against requests in flight that are cut off when an entry and local processes of
// an engine and a desk are asked to stop under load, and against a process that does not exit after that.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	f := startFleet(t, false, 2, engines(2, "-step", "10ms", "-slots", "32"), desks(2, "-took", "100ms"))
	const long, tokens = 8, 250
	var started atomic.Int64
	var open sync.WaitGroup
	for i := range long {
		open.Go(func() {
			prompt := fmt.Sprintf("long %d", i)
			var once sync.Once
			got := draftStream(f.entries[i%2].Callers, prompt, tokens, func() { once.Do(func() { started.Add(1) }) })
			if want := strings.Join(standin.Words("wording", prompt, tokens), ""); got.outcome != outcome.Completed || got.text != want {
				t.Errorf("stream %d: told %q %s, %d of %d bytes, %v", i, got.outcome, got.reason, len(got.text), len(want), got.err)
			}
		})
	}
	check(t, localfleet.WaitFor("open streams", func() bool { return started.Load() == long }))
	l := startLoad(t, &fleet{entries: f.entries[1:], targets: f.targets}, 8)
	check(t, localfleet.WaitFor("load", func() bool { return l.completed() > 50 }))
	stopped := []*localfleet.Node{f.entries[0], f.targets[0], f.targets[2]}
	for _, n := range stopped {
		check(t, n.Signal(syscall.SIGTERM))
	}
	check(t, localfleet.WaitFor("the entry refuses connections", func() bool {
		c, err := net.Dial("tcp", f.entries[0].Callers)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}))
	open.Wait()
	check(t, localfleet.Terminate(stopped...))
	for _, n := range stopped {
		if n.ExitCode() != 0 {
			t.Errorf("%s exited with %d", n.Name, n.ExitCode())
		}
	}
	done := l.completed()
	check(t, localfleet.WaitFor("work at the remaining targets", func() bool { return l.completed() > done+50 }))
	for _, got := range l.finish() {
		t.Errorf("a request sent during the stop was told %+v", got)
	}
}
