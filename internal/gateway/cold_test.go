package gateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/coldstart"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// limitCold makes the gateway the only entry of a deployment whose targets may get requestsPerSecond when they are cold.
func (f *fixture) limitCold(requestsPerSecond float64) {
	config := f.gateway.Tables.Load().Config
	config.Version++
	config.Services = []routetable.Service{{Name: "s", ColdRate: requestsPerSecond, ColdStart: time.Second}}
	f.gateway.Tables.Offer(config)
	longAgo := time.Now().Add(-time.Minute)
	f.gateway.Balance.Cold = coldstart.New(coldstart.Bounds{Overshoot: 2}, true, longAgo)
	f.gateway.Balance.Cold.SetFleet(coldstart.Fleet{Known: 1, Reachable: 1}, longAgo)
	f.gateway.Balance.Cold.SetFleet(coldstart.Fleet{Known: 1, Reachable: 1}, time.Now().Add(time.Minute))
}

// TestAnswerSaysCold guards against a target that says in an answer that it is cold, and gets requests at the rate of a warm
// one until the list says so.
func TestAnswerSaysCold(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\nX-Camphorbank-Cold-Ms: 60000\r\n"
	f := newFixture(t, target.Raw(head+"Content-Length: 2\r\n\r\nok", true), target.Answer(200, "ok"))
	f.limitCold(2)
	start := time.Now()
	for range 3 {
		if a := f.do("GET", "/safe/x", ""); a.status != 200 {
			t.Errorf("status %d", a.status)
		}
	}
	if n, seconds := len(f.first.Arrivals()), int(time.Since(start).Seconds()); n > 1+seconds {
		t.Errorf("%d requests reached the cold target within %d s", n, seconds+1)
	}
}

// TestColdLimitDuringConnect guards against a request that is sent after its connection opened late, although other
// requests have used up the limit of the target meanwhile.
func TestColdLimitDuringConnect(t *testing.T) {
	for name, used := range map[string]bool{"limit used up": true, "limit free": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Answer(200, "first"), target.Answer(200, "second"))
			f.limitCold(1)
			dial := f.gateway.Pool.Dial
			f.gateway.Pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr == f.first.Addr {
					time.Sleep(60 * time.Millisecond)
					list := f.gateway.Targets.Snapshot().ByService["s"]
					if rates := f.gateway.Balance.Cold.Rates(f.gateway.Tables.Load().Service("s"), list, time.Now()); used {
						rates.Take(list[0], time.Now())
					}
				}
				return dial(ctx, network, addr)
			}
			a := f.do("POST", "/unsafe/x", "book")
			if reached := len(f.first.Arrivals()) > 0; a.status != 200 || reached == used {
				t.Errorf("%+v, first target reached: %v", a, reached)
			}
			if r := <-f.records; used && r.Attempts[0].Result != "cold-limit" {
				t.Errorf("attempts %+v", r.Attempts)
			}
		})
	}
}
