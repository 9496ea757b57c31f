package fleet

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/jsonsize"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// newTestFleet returns a Fleet of the entry at the given control address, which knows no other entries.
func newTestFleet(control string) *Fleet {
	return New(Options{Self: Entry{Name: control, Control: control}, Tables: &routetable.Store{}, Targets: targetset.New(),
		Notify: func(Event) {}})
}

// recordHeartbeat records a heartbeat from the entry at the given control address.
func (f *Fleet) recordHeartbeat(control string, reading bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.learnEntry(Entry{Name: control, Control: control, Started: 1}, now)
	e.lastHeard, e.readsPlatform = now, reading
	f.updateLiveness(e, now)
}

// TestSomeEntriesAlwaysRead guards against a fleet in which no entry reads the platform because the former readers are
// unreachable or cannot reach it, and against one in which all entries read it.
func TestSomeEntriesAlwaysRead(t *testing.T) {
	now := time.Now()
	f := newTestFleet("c50")
	for i := range maxPlatformReaders {
		f.recordHeartbeat(fmt.Sprintf("c1%d", i), true, now)
		f.recordHeartbeat(fmt.Sprintf("c9%d", i), true, now)
	}
	if !f.EnoughReaders() {
		t.Error("the entry reads the platform though enough others do")
	}
	f.recordHeartbeat("c10", false, now)
	if f.EnoughReaders() {
		t.Error("the entry does not read the platform though one of the readers cannot reach it")
	}
	f.recordHeartbeat("c10", true, now)
	f.mu.Lock()
	f.updateLiveness(f.entries["c11"], now.Add(2*livenessTimeout))
	f.mu.Unlock()
	if f.EnoughReaders() {
		t.Error("the entry does not read the platform though one of the readers is unreachable")
	}
}

// TestInFlightNeedsOneList guards against requests in flight that are attributed to the wrong targets because the
// sender and the receiver of a heartbeat have different target lists.
func TestInFlightNeedsOneList(t *testing.T) {
	set := targetset.New()
	list := func(revision int64, ids ...string) *targetset.Snapshot {
		var targets []targetset.Target
		for _, id := range ids {
			targets = append(targets, targetset.Target{ID: id, Service: "s", Position: targetset.Position{Revision: 1}})
		}
		set.Replace(targetset.Position{Revision: revision}, targets, time.Now())
		return set.Snapshot()
	}
	a := list(3, "x", "y", "z")
	heartbeat := Heartbeat{List: a.Position, InFlight: encodeInFlight(a, map[string]int{"y": 2, "z": 999})}
	got, ok := decodeInFlight(a, heartbeat)
	if !ok || got["x"] != 0 || got["y"] != 2 || got["z"] != maxEncodedInFlight {
		t.Errorf("decoded counts %v, ok %v", got, ok)
	}
	if _, ok := decodeInFlight(list(4, "x", "y"), heartbeat); ok {
		t.Error("counts that refer to another target list are used")
	}
}

// TestRankReplyIsSentOnce guards against sending all members to every rank each second, which would make up most of
// the bytes of a large fleet, and against a rank that misses a change of the members.
func TestRankReplyIsSentOnce(t *testing.T) {
	f := newTestFleet("c1")
	client := &RankClient{}
	register := func(self Rank) RankReply {
		reply, err := f.serveRank(t.Context(), RankRequest{Rank: self, Have: client.lastReply.Digest})
		if err != nil {
			t.Fatal(err)
		}
		client.recordReply("c1", reply)
		return reply
	}
	first := Rank{Name: "r0", Control: "k0", Group: "g", Size: 2}
	register(first)
	if again := register(first); len(again.Entries)+len(again.Ranks) > 0 || len(client.lastReply.Ranks) != 1 {
		t.Errorf("reply %v, kept %v", again, client.lastReply)
	}
	second, err := f.serveRank(t.Context(), RankRequest{Rank: Rank{Name: "r1", Control: "k1", Group: "g", Rank: 1, Size: 2}})
	if err != nil || len(second.Ranks) != 2 {
		t.Fatal(second, err)
	}
	if register(first); len(client.lastReply.Ranks) != 2 {
		t.Errorf("the rank knows %v", client.lastReply.Ranks)
	}
}

// TestStateIsSmall guards against configurations that are sent to each entry uncompressed, and against a compressed
// state that is decoded wrongly or without a size limit.
func TestStateIsSmall(t *testing.T) {
	c := routetable.Config{Version: 7}
	for i := range 1400 {
		c.Routes = append(c.Routes, routetable.Route{Name: fmt.Sprint("r-", i), Host: fmt.Sprintf("h%d.example", i), Prefix: "/p/",
			Kind: routetable.KindSafe, Timeout: time.Second, Backends: []routetable.Backend{{Service: "s", Weight: 1}}})
	}
	packed, err := pack(State{Config: &c, List: targetset.Position{Revision: 3}})
	if err != nil {
		t.Fatal(err)
	}
	if len(packed.Packed) > 40_000 {
		t.Errorf("%d bytes for %d routes", len(packed.Packed), len(c.Routes))
	}
	got, err := unpack(packed)
	if err != nil || got.List != (targetset.Position{Revision: 3}) || !reflect.DeepEqual(got.Config.Routes, c.Routes) {
		t.Errorf("%v: the decoded state differs", err)
	}
	if _, err := unpack(StateReply{Packed: packed.Packed[:100]}); err == nil {
		t.Error("a truncated state is accepted")
	}
	var bomb bytes.Buffer
	w, _ := flate.NewWriter(&bomb, flate.BestCompression)
	_, _ = w.Write(make([]byte, maxStateBytes+1))
	_ = w.Close()
	if _, err := unpack(StateReply{Packed: bomb.Bytes()}); !errors.Is(err, errStateTooLarge) {
		t.Errorf("a state above the size limit: %v", err)
	}
	bomb.Reset()
	w.Reset(&bomb)
	_, _ = io.WriteString(w, `{"t":[`+strings.Repeat("{},", maxStateBytes/4)+`{}]}`)
	_ = w.Close()
	if _, err := unpack(StateReply{Packed: bomb.Bytes()}); !errors.Is(err, jsonsize.ErrTooLarge) {
		t.Errorf("a state of many empty targets: %v", err)
	}
}

// TestHeartbeatsOfLargeFleet guards against a large fleet that exchanges heartbeats as often as a small one, so that
// their bytes grow with the square of the number of entries.
func TestHeartbeatsOfLargeFleet(t *testing.T) {
	for entries, want := range map[int]time.Duration{5: minExchangeInterval, 22: 22 * exchangeIntervalPerEntry, 100: maxExchangeInterval} {
		f := newTestFleet("c")
		for n := 1; n < entries; n++ {
			f.recordHeartbeat(fmt.Sprint("c", n), false, time.Now())
		}
		if got := f.interval(); got != want {
			t.Errorf("%d entries: %v, want %v", entries, got, want)
		}
	}
}
