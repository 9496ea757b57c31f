package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

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

// TestStalledBodyMakesRoom guards against a body that holds memory although it does not arrive any more, while other requests
// are refused. It must be refused truthfully: no target gets it.
func TestStalledBodyMakesRoom(t *testing.T) {
	const limit, stalledBytes, wholeBytes = 256 << 10, 120_000, 100_000
	f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
	f.gateway.Bodies = membudget.New(limit)
	addr := limitedServer(t, f, routetable.Limits{BodyBytes: limit})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	request := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", validHead, n) }
	if _, err := io.WriteString(c, request(stalledBytes)+strings.Repeat("a", stalledBytes-1)); err != nil {
		t.Fatal(err)
	}
	for f.gateway.Bodies.Held() < stalledBytes {
		time.Sleep(time.Millisecond)
	}
	answers := map[int]int{}
	for end := time.Now().Add(soundLimit); answers[200] == 0 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		status, _ := sendRaw(t, addr, request(wholeBytes)+strings.Repeat("a", wholeBytes), true)
		answers[status]++
	}
	if answers[200] != 1 || answers[503] == 0 || len(answers) != 2 {
		t.Errorf("answers by status %v, want 503 until the other body counts as stalled and then 200", answers)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != 503 || !strings.Contains(string(body), string(gateway.ReasonStalled)) || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("the stalled body gets %d %q %v", resp.StatusCode, body, resp.Header)
	}
	if f.arrivals() != 1 {
		t.Errorf("%d requests reached targets", f.arrivals())
	}
	if n := f.gateway.Bodies.Held(); n != 0 {
		t.Errorf("%d bytes are held at the end", n)
	}
}

// TestAnswerWithoutMemory guards against answers that are lost or changed because there is no memory to buffer them.
func TestAnswerWithoutMemory(t *testing.T) {
	answer := strings.Repeat("a", 100_000)
	f := newFixture(t, target.Answer(200, answer), target.Answer(200, answer))
	f.gateway.Bodies = membudget.New(10_000)
	const otherBytes = 7_000 // leaves room for the head of one request
	other := f.gateway.Bodies.Lease("other")
	other.Grow(otherBytes)
	defer other.Release()
	addr := limitedServer(t, f, routetable.Limits{})
	for range 3 {
		for f.gateway.Bodies.Held() > otherBytes { // the request before may still end
			time.Sleep(time.Millisecond)
		}
		if status, body := sendRaw(t, addr, validHead+"Content-Length: 0\r\n\r\n", true); status != 200 || body != answer {
			t.Errorf("status %d with %d bytes", status, len(body))
		}
	}
}
