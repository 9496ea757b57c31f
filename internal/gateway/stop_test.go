package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// stopLeft is the time that is left of a stop, too short for another attempt.
const stopLeft = 50 * time.Millisecond

// stopIn returns the times of a stop that ends after a time and is not drained before.
func stopIn(left time.Duration) gateway.StopTimes {
	end := time.Now().Add(left)
	return gateway.StopTimes{Drained: end, End: end}
}

// TestNoLateAttemptDuringStop guards against a retry or a continuation that starts when the process stops too soon for it, and
// against a caller that is not told what became of its request.
func TestNoLateAttemptDuringStop(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  target.Behaviour
		status int
		broken bool // the answer breaks off
	}{
		"retry after a reset":      {"/safe/x", target.Reset(), http.StatusBadGateway, false},
		"retry after a refusal":    {"/safe/x", target.RefuseNotRun(), http.StatusServiceUnavailable, false},
		"retry after a failure":    {"/safe/x", target.Answer(500, "failed"), http.StatusInternalServerError, false},
		"continuation":             {"/stream/x", target.Stream(3, time.Millisecond, true), http.StatusOK, true},
		"attempt that must be one": {"/unsafe/x", target.Reset(), http.StatusBadGateway, false},
	} {
		t.Run(name, func(t *testing.T) {
			stop := gateway.NewStop()
			begin := func(conn net.Conn, a target.Arrival) bool {
				stop.Begin(stopIn(stopLeft))
				return c.first(conn, a)
			}
			f := newFixture(t, begin, target.Answer(200, "second"))
			f.gateway.Stop = stop
			a := f.do("POST", c.path, "prompt")
			if a.status != c.status || c.broken != (a.err != nil) || len(f.second.Arrivals()) > 0 {
				t.Errorf("%+v, %d arrivals at the second target", a, len(f.second.Arrivals()))
			}
			if promised := a.header.Get("Retry-After") != ""; promised != (c.status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q with status %d", a.header.Get("Retry-After"), a.status)
			}
		})
	}
}

// TestStopRefusesWithoutTime guards against a request that waits or is sent to a target although the process stops too soon
// for it, and against the refusal of one whose own time limit passes before that.
func TestStopRefusesWithoutTime(t *testing.T) {
	for name, c := range map[string]struct {
		left   time.Duration
		limit  string // of the caller, in milliseconds
		status int
	}{
		"no time left":       {stopLeft, "1000", http.StatusServiceUnavailable},
		"enough time":        {time.Second, "1400", http.StatusOK},
		"shorter time limit": {250 * time.Millisecond, "200", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
			f.gateway.Stop = gateway.NewStop()
			f.gateway.Stop.Begin(stopIn(c.left))
			a := f.do("POST", "/unsafe/x", "prompt", "X-Camphorbank-Deadline-Ms", c.limit)
			if a.status != c.status || (a.status == http.StatusOK) != (f.arrivals() == 1) {
				t.Errorf("%+v, %d arrivals", a, f.arrivals())
			}
			if refused := strings.Contains(a.body, string(gateway.ReasonStopping)); refused != (c.status != http.StatusOK) {
				t.Errorf("answer %q", a.body)
			}
		})
	}
}

// TestRefusalNeedsNoBody guards against a refused caller that gets its answer only when its body ends, and keeps its
// connection as long as it sends a byte now and then.
func TestRefusalNeedsNoBody(t *testing.T) {
	f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
	c, err := net.Dial("tcp", limitedServer(t, f, routetable.Limits{}))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(rawCallerLimit))
	_, _ = io.WriteString(c, "POST /none/x HTTP/1.1\r\nHost: test.example\r\n"+target.HeaderID+": req-1\r\nContent-Length: 1000\r\n\r\n")
	ended := make(chan error, 1)
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(c, "x"); err != nil {
				ended <- err
				return
			}
		}
	}()
	start := time.Now()
	r := bufio.NewReader(c)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusNotFound {
		t.Fatalf("%+v, %v", resp, err)
	}
	<-ended
	if d := time.Since(start); d > 5*time.Second {
		t.Errorf("the connection ended after %v", d)
	}
}
