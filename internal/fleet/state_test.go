package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// slowPeers answers requests for state with a configuration after a time.
type slowPeers struct {
	calls   atomic.Int64
	delay   time.Duration
	version int64
}

func (p *slowPeers) Call(ctx context.Context, _, _ string, _, out any) error {
	p.calls.Add(1)
	select {
	case <-time.After(p.delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	reply, err := pack(State{Config: &routetable.Config{Version: p.version}})
	*out.(*StateReply) = reply
	return err
}

// stateFleet returns a Fleet whose peers answer as p does.
func stateFleet(p Caller) *Fleet {
	return New(Options{Self: Entry{Name: "c", Control: "c"}, Tables: &routetable.Store{}, Targets: targetset.New(), Pool: p,
		ReportInFlight: func(string, map[string]int) {}, Notify: func(Event) {}})
}

// hear passes the heartbeats of n peers that state a configuration version.
func hear(f *Fleet, n int, version int64) {
	var heartbeats []Heartbeat
	for i := range n {
		h := Heartbeat{From: Entry{Name: fmt.Sprint("p", i), Control: fmt.Sprint("p", i), Started: 1}, Config: version}
		f.recordSender(h, time.Now())
		heartbeats = append(heartbeats, h)
	}
	for _, h := range heartbeats {
		h.Members = f.memberHash()
		go f.handleState(context.Background(), h)
	}
}

// TestChangeIsFetchedOnce guards against an entry that fetches the same change from each peer that states it, and
// against one that waits for a peer that does not answer.
func TestChangeIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPeers{delay: 50 * time.Millisecond, version: 5}
		f := stateFleet(p)
		hear(f, 20, 5)
		time.Sleep(time.Second)
		if n := p.calls.Load(); n != 1 || f.opt.Tables.Version() != 5 {
			t.Errorf("%d calls for one change, version %d", n, f.opt.Tables.Version())
		}
	})
	synctest.Test(t, func(t *testing.T) {
		p := &slowPeers{delay: time.Hour, version: 5}
		f := stateFleet(p)
		hear(f, 1, 5)
		time.Sleep(fetchPatience)
		synctest.Wait()
		p.delay = time.Millisecond
		hear(f, 1, 5)
		time.Sleep(10 * time.Millisecond)
		if f.opt.Tables.Version() != 5 {
			t.Error("the change was not fetched from a second peer after the first one did not answer")
		}
		time.Sleep(callTimeout)
	})
}

// TestNewerChangeIsFetchedAtOnce guards against an entry that misses a change because it is fetching an earlier one.
func TestNewerChangeIsFetchedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &slowPeers{delay: 50 * time.Millisecond, version: 6}
		f := stateFleet(p)
		hear(f, 1, 5)
		synctest.Wait()
		hear(f, 1, 6)
		synctest.Wait()
		if n := p.calls.Load(); n != 2 {
			t.Errorf("%d calls for two changes", n)
		}
		time.Sleep(time.Second)
	})
}

// TestStateIsEncodedOnce guards against a state that is encoded for each entry that asks for it, and against one that is
// sent after a part of it has changed.
func TestStateIsEncodedOnce(t *testing.T) {
	f := stateFleet(unreachable{})
	f.opt.Targets.Replace(targetset.Position{Revision: 3}, []targetset.Target{{ID: "x", Service: "s"}}, time.Now())
	f.opt.Tables.Offer(routetable.Config{Version: 1})
	ask := func() StateReply {
		t.Helper()
		reply, err := f.serveState(t.Context(), StateRequest{Members: true})
		if err != nil {
			t.Fatal(err)
		}
		return reply
	}
	first, second := ask(), ask()
	if &first.Packed[0] != &second.Packed[0] {
		t.Error("the same state was encoded twice")
	}
	f.opt.Tables.Offer(routetable.Config{Version: 2})
	f.learnRank(testRank(0), time.Now())
	f.opt.Targets.Replace(targetset.Position{Revision: 4}, []targetset.Target{{ID: "y", Service: "s"}}, time.Now())
	got, err := unpack(ask())
	if err != nil || got.Config.Version != 2 || len(got.Ranks) != 1 || len(got.Targets) != 1 || got.Targets[0].ID != "y" || got.List.Revision != 4 {
		t.Errorf("%v: sent %+v", err, got)
	}
}
