package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// setGroup reports both targets as one group that takes requests or not.
func (f *fixture) setGroup(seq int64, open bool) {
	f.gateway.Balance.UpdateGroup(balance.GroupReport{Name: "g", Term: 1, Seq: seq, TakesRequests: open,
		Ranks: []balance.RankReport{{Engine: f.first.Addr}, {Engine: f.second.Addr}}})
}

// TestWaitingRequestsProveTheirParts guards against requests with a part that crashes engines, which wait at an entry
// without evidence while all groups are closed and reach engines together when one opens, and against sound requests that
// are refused for that.
func TestWaitingRequestsProveTheirParts(t *testing.T) {
	const (
		crashing  = 4  // requests with the part
		sound     = 20 // others
		timeLimit = 10 * time.Second
	)
	var now, most atomic.Int32
	behaviour := func(c net.Conn, a target.Arrival) bool {
		if !strings.Contains(a.Header.Get(promptHeader), crashingPart) {
			return target.Answer(200, "ok")(c, a)
		}
		if n := now.Add(1); n > most.Load() {
			most.Store(n)
		}
		time.Sleep(50 * time.Millisecond)
		now.Add(-1)
		return target.Answer(400, "")(c, a) // which shows nothing about the part
	}
	f := newFixture(t, behaviour, behaviour)
	f.setTimeLimit(timeLimit)
	f.gateway.Quarantine = quarantine.New((&testClock{time.Now()}).now) // no probe takes too long
	f.begun = make(chan time.Time, crashing+sound)
	f.setGroup(1, false)
	var ended sync.WaitGroup
	for n := range crashing + sound {
		prompt := fmt.Sprintf("aa01:40,%x:9,cc:1", 0xb000+n)
		if n < crashing {
			prompt = "aa01:40," + crashingPart + ":9,cc:1"
		}
		ended.Go(func() {
			id := fmt.Sprintf("r-%d", n)
			a := f.do("POST", "/safe/x", "prompt", target.HeaderID, id, "X-Camphorbank-Deadline-Ms", "8000", promptHeader, prompt)
			if n >= crashing && a.status != http.StatusOK {
				t.Errorf("sound request: status %d, %s", a.status, a.body)
			}
		})
	}
	for range crashing + sound {
		<-f.begun
	}
	f.setGroup(2, true)
	ended.Wait()
	if n := most.Load(); n != 1 {
		t.Errorf("%d requests with the part were at engines together, want 1", n)
	}
}
