package node_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

const (
	// loadCallers is the number of callers that send requests during the stop, each on connections that it keeps.
	loadCallers = 200
	// loadPause is the longest pause of a caller between an answer and its next request.
	loadPause = 300 * time.Millisecond
	// loadOpens is the time for which callers open connections after the stop has begun. The platform opens none once the
	// entry has not been ready for two of its checks.
	loadOpens = 1500 * time.Millisecond
)

// lateCall is a request that was not served.
type lateCall struct {
	sent time.Duration // after the start of the stop
	got  stopAnswer
}

// TestStopUnderLoad guards against a planned stop under load that cuts off requests without an answer: those on connections
// that were just accepted and those that the target has run.
func TestStopUnderLoad(t *testing.T) {
	p, tg := startStoppable(t)
	var callers sync.WaitGroup
	var mu sync.Mutex
	counts, unserved := map[int]int{}, map[string]lateCall{}
	stopAt := time.Now().Add(500 * time.Millisecond)
	for n := range loadCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(n)))
			for i := 0; time.Now().Before(stopAt.Add(loadOpens)); i++ {
				c := dialQuietly(p)
				if c == nil {
					return // the listener is closed
				}
				for closes := false; !closes; i++ {
					time.Sleep(time.Duration(random.Int64N(int64(loadPause))))
					id := fmt.Sprintf("%d-%d", n, i)
					sent := time.Now()
					c.send("/long/x", id)
					c.finish()
					a := c.answer()
					closes = a.closes || a.err != nil
					mu.Lock()
					counts[a.status]++
					if a.status != 200 {
						unserved[id] = lateCall{sent.Sub(stopAt), a}
					}
					mu.Unlock()
				}
				_ = c.conn.Close()
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	p.stop()
	callers.Wait()
	p.ended(stopAt)
	ran := map[string]bool{}
	for _, a := range tg.Arrivals() {
		ran[a.Header.Get(target.HeaderID)] = true
	}
	for id, c := range unserved {
		if c.got.err != nil || ran[id] {
			t.Errorf("%s: sent %v after the start of the stop: %+v, reached the target: %v", id, c.sent, c.got, ran[id])
		}
	}
	t.Logf("answers by status: %v", counts)
}
