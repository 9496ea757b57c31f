package node_test

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

	"github.com/camphorbank/camphorbank/test/standin/target"
)

const (
	// stopGrace is the grace period of the stops in these tests.
	stopGrace = 4 * time.Second
	// stopRunTime is the time that the target needs for an answer.
	stopRunTime = 100 * time.Millisecond
	// stopWorkTime is the time that it needs for an answer on the route work, which states a shorter objective.
	stopWorkTime = 800 * time.Millisecond
	// stopConfig has routes with time limits below and above the grace period, in milliseconds.
	stopConfig = `{"version":1,"routes":[
	{"name":"brief","hostname":"h","prefix":"/brief/","route_kind":"unsafe",
		"timeout_ms":3000,"target_latency_ms":300,"service":"m"},
	{"name":"long","hostname":"h","prefix":"/long/","route_kind":"unsafe",
		"timeout_ms":60000,"target_latency_ms":300,"service":"m"},
	{"name":"safe","hostname":"h","prefix":"/safe/","route_kind":"safe",
		"timeout_ms":60000,"target_latency_ms":300,"service":"m","max_attempts":2},
	{"name":"desk","hostname":"h","prefix":"/desk/","route_kind":"unsafe",
		"timeout_ms":60000,"target_latency_ms":100,"service":"m"},
	{"name":"slow","hostname":"h","prefix":"/slow/","route_kind":"unsafe",
		"timeout_ms":60000,"target_latency_ms":300,"service":"m"},
	{"name":"events","hostname":"h","prefix":"/events/","route_kind":"stream",
		"timeout_ms":60000,"target_latency_ms":300,"service":"m"}],
	"services":[{"name":"m"}]}`
)

// startStoppable starts an entry in front of one target: it answers each request after stopRunTime, those of the
// route work after stopWorkTime, those of the route slow never, and those of the route events with a stream that outlasts the grace period.
func startStoppable(t *testing.T) (*entryProcess, *target.Target) {
	st, tg := startPlatform(t, func(c net.Conn, a target.Arrival) bool {
		switch {
		case strings.HasPrefix(a.URI, "/slow/"):
			return target.Silent(2*stopGrace)(c, a)
		case strings.HasPrefix(a.URI, "/events/"):
			return target.Stream(200, 50*time.Millisecond, false)(c, a)
		}
		if strings.HasPrefix(a.URI, "/desk/") {
			time.Sleep(stopWorkTime - stopRunTime)
		}
		time.Sleep(stopRunTime)
		return target.Answer(200, "ok")(c, a)
	})
	st.Put("op/config", stopConfig)
	st.Put("servers/i-1", `{"service":"m","address":"`+tg.Addr+`","zone":"a","version":"v","slots":900,"state":"ready","born":1}`)
	p := startEntryWithGrace(t, "e1", st.Addr(), stopGrace)
	p.until("readiness", p.ready)
	return p, tg
}

// stopCaller is a caller on a connection of its own.
type stopCaller struct {
	conn    net.Conn
	answers *bufio.Reader
}

func dialCaller(t *testing.T, p *entryProcess) *stopCaller {
	c := dialQuietly(p)
	if c == nil {
		t.Fatal("no connection")
	}
	t.Cleanup(func() { _ = c.conn.Close() })
	return c
}

// dialQuietly returns nil if the entry accepts no connection.
func dialQuietly(p *entryProcess) *stopCaller {
	c, err := net.Dial("tcp", p.settings.Listen.Callers)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(4 * stopGrace))
	return &stopCaller{c, bufio.NewReader(c)}
}

// send sends the head of a request and all but the last byte of its body.
func (c *stopCaller) send(path, id string) {
	_, _ = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 2\r\n\r\nx", path, target.HeaderID, id)
}

// finish sends the last byte of the body.
func (c *stopCaller) finish() { _, _ = io.WriteString(c.conn, "x") }

// stopAnswer is what a caller got.
type stopAnswer struct {
	status     int
	body       string
	retryAfter string
	closes     bool
	err        error // the answer is missing or incomplete
}

func (c *stopCaller) answer() stopAnswer {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return stopAnswer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return stopAnswer{resp.StatusCode, string(body), resp.Header.Get("Retry-After"), resp.Close, err}
}

// arrivalsOf returns how often a request has reached the target.
func arrivalsOf(tg *target.Target, id string) int {
	n := 0
	for _, a := range tg.Arrivals() {
		if a.Header.Get(target.HeaderID) == id {
			n++
		}
	}
	return n
}

// ended checks that the process ends on its own before its grace period is over.
func (p *entryProcess) ended(begun time.Time) {
	p.t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		if took := time.Since(begun); err != nil || took > stopGrace {
			p.t.Errorf("the process ended after %v with %v, want at most %v", took, err, stopGrace)
		}
	case <-time.After(time.Until(begun.Add(stopGrace))):
		p.t.Error("the process still runs at the end of its grace period")
	}
}

// TestBodyEndsDuringStop guards against a request that is passed on to a target and then cut off since its body ends late in
// the grace period, one that is refused although there is time for it, and one that is told not-run and ran.
func TestBodyEndsDuringStop(t *testing.T) {
	p, tg := startStoppable(t)
	type call struct {
		*stopCaller
		id, path string
		kept     bool          // the connection has carried a request
		at       time.Duration // end of the body after the start of the stop
		got      stopAnswer
	}
	var calls []*call
	for _, path := range []string{"/brief/x", "/long/x", "/safe/x"} {
		for _, percent := range []int{0, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95} {
			for _, kept := range []bool{false, true} {
				c := &call{path: path, kept: kept, at: time.Duration(percent) * stopGrace / 100}
				c.id = fmt.Sprintf("%s-%d-%v", path[1:4], percent, kept)
				if path == "/brief/x" && c.at > 1200*time.Millisecond {
					continue // its time limit would have passed
				}
				calls = append(calls, c)
			}
		}
	}
	for _, c := range calls {
		if !c.kept {
			continue
		}
		c.stopCaller = dialCaller(t, p)
		c.send("/safe/x", c.id+"-first")
		c.finish()
		if a := c.answer(); a.status != 200 {
			t.Fatalf("before the stop: %+v", a)
		}
	}
	for _, c := range calls {
		if !c.kept {
			c.stopCaller = dialCaller(t, p)
		}
		c.send(c.path, c.id)
	}
	var callers sync.WaitGroup
	begun := time.Now()
	p.stop()
	for _, c := range calls {
		callers.Go(func() { c.got = c.answer() })
		callers.Go(func() {
			time.Sleep(time.Until(begun.Add(c.at)))
			c.finish()
		})
	}
	callers.Wait()
	p.ended(begun)
	for _, c := range calls {
		ran := arrivalsOf(tg, c.id)
		switch {
		case c.got.err != nil:
			t.Errorf("%s: body ended after %v of %v: %v, %d arrivals", c.id, c.at, stopGrace, c.got.err, ran)
		case c.got.status == 200 && ran == 1 && c.at <= stopGrace*9/10:
		case c.got.status == 503 && ran == 0 && c.got.retryAfter != "" && strings.Contains(c.got.body, "stopping") && c.at >= stopGrace*6/10:
		default:
			t.Errorf("%s: body ended after %v of %v: %+v, %d arrivals", c.id, c.at, stopGrace, c.got, ran)
		}
	}
}

// TestStopLearnsTimeOfRoute guards against a request that is passed on late in the grace period although the requests of its
// route usually take longer than what is left.
func TestStopLearnsTimeOfRoute(t *testing.T) {
	p, tg := startStoppable(t)
	var callers sync.WaitGroup
	for i := range 10 {
		callers.Go(func() {
			c := dialCaller(t, p)
			c.send("/desk/x", fmt.Sprint("before-", i))
			c.finish()
			if a := c.answer(); a.status != 200 {
				t.Errorf("before the stop: %+v", a)
			}
		})
	}
	callers.Wait()
	begun := time.Now()
	p.stop()
	for percent := range 20 {
		callers.Go(func() {
			id := fmt.Sprint("late-", percent*5)
			at := begun.Add(time.Duration(percent) * stopGrace / 20)
			c := dialCaller(t, p)
			c.send("/desk/x", id)
			time.Sleep(time.Until(at))
			c.finish()
			a := c.answer()
			ran := arrivalsOf(tg, id)
			if a.err != nil || (a.status != 200 || ran != 1) && (a.status != 503 || ran != 0) {
				t.Errorf("%s: %+v, %d arrivals", id, a, ran)
			}
		})
	}
	callers.Wait()
	p.ended(begun)
}

// TestOutcomeAtEndOfStop guards against a request that a target still runs at the end of the grace period and whose caller is
// cut off without an answer, and a stream that is cut off without a visible break or looks complete.
func TestOutcomeAtEndOfStop(t *testing.T) {
	p, tg := startStoppable(t)
	running, stream, stalled := dialCaller(t, p), dialCaller(t, p), dialCaller(t, p)
	running.send("/slow/x", "running")
	running.finish()
	stream.send("/events/x", "stream")
	stream.finish()
	stalled.send("/long/x", "stalled")
	p.until("arrivals", func() bool { return len(tg.Arrivals()) == 2 })
	begun := time.Now()
	p.stop()
	if a := running.answer(); a.err != nil || a.status != http.StatusBadGateway || !strings.Contains(a.body, "stopping") {
		t.Errorf("request that runs at the end: %+v", a)
	}
	if a := stream.answer(); a.err == nil || a.status != 200 || strings.Count(a.body, "id:") < 40 {
		t.Errorf("stream that outlasts the grace period: %+v", a)
	}
	if a := stalled.answer(); a.err != nil || a.status != http.StatusServiceUnavailable || arrivalsOf(tg, "stalled") != 0 {
		t.Errorf("request whose body does not end: %+v", a)
	}
	p.ended(begun)
}
