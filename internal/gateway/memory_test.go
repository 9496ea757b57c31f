package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// holdRequests returns a behaviour of a target that answers each request when release is closed, and a channel that receives a
// value for each request that has arrived.
func holdRequests() (b target.Behaviour, arrived chan struct{}, release chan struct{}) {
	arrived, release = make(chan struct{}, 100), make(chan struct{})
	return func(c net.Conn, a target.Arrival) bool {
		arrived <- struct{}{}
		<-release
		return target.Answer(200, "ok")(c, a)
	}, arrived, release
}

// TestBodiesHaveBoundedMemory guards against an entry that is killed because the bodies of its requests exceed the memory of its
// VM, and against one that refuses all accounts because one of them sends large bodies. A refusal must be true: no target
// gets the request.
func TestBodiesHaveBoundedMemory(t *testing.T) {
	const bodyBytes = 900
	for name, chunked := range map[string]bool{"with a length": false, "in chunks": true} {
		t.Run(name, func(t *testing.T) {
			hold, arrived, release := holdRequests()
			f := newFixture(t, hold, hold)
			f.setTimeLimit(soundLimit)
			config := f.gateway.Tables.Load().Config
			config.Version++
			config.Limits.BodyBytes = 10 * bodyBytes
			config.Accounts = append(config.Accounts, routetable.Account{Name: "other", Keys: []string{"k2"}})
			f.gateway.Tables.Offer(config)
			f.gateway.Bodies = membudget.New(20 * bodyBytes)
			send := func(key string) answer {
				req := f.request("POST", "/unsafe/x", strings.Repeat("a", bodyBytes), "Authorization", "Bearer "+key)
				if chunked {
					req.ContentLength, req.Body = -1, io.NopCloser(strings.NewReader(strings.Repeat("a", bodyBytes)))
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					return answer{err: err}
				}
				defer resp.Body.Close()
				body, err := io.ReadAll(resp.Body)
				return answer{resp.StatusCode, resp.Header, string(body), err}
			}
			var held sync.WaitGroup
			served := make(chan answer, 100)
			refused := answer{}
			for refused.status == 0 { // fill the account's share
				first := make(chan answer, 1)
				held.Go(func() {
					a := send("k1")
					first <- a
					served <- a
				})
				select {
				case refused = <-first:
				case <-arrived:
				}
			}
			if refused.status != 503 || refused.header.Get("Retry-After") == "" || !strings.Contains(refused.body, string(gateway.ReasonMemory)) {
				t.Errorf("beyond its share the account gets %+v, want 503 with Retry-After", refused)
			}
			held.Go(func() { served <- send("k2") })
			<-arrived // the other account's request has reached a target
			close(release)
			held.Wait()
			close(served)
			counts := map[int]int{}
			for a := range served {
				counts[a.status]++
			}
			if counts[200] != f.arrivals() || counts[503] != 1 || len(counts) != 2 {
				t.Errorf("answers by status %v, %d requests at targets", counts, f.arrivals())
			}
			if n := f.gateway.Bodies.Held(); n != 0 {
				t.Errorf("%d bytes are held after all requests have ended", n)
			}
		})
	}
}
