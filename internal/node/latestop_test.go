package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

const (
	// lateConfig has routes of each kind. Their time limit exceeds the grace period.
	lateConfig = `{"version":1,"routes":[
	{"name":"first","hostname":"h","prefix":"/first/","route_kind":"stream","timeout_ms":60000,"target_latency_ms":300,"service":"m"},
	{"name":"drafts","hostname":"h","prefix":"/drafts/","route_kind":"stream","timeout_ms":60000,"target_latency_ms":1000,"service":"m",
		"max_attempts":2,"stream_resumption":true},
	{"name":"mixed","hostname":"h","prefix":"/mixed/","route_kind":"stream","timeout_ms":60000,"target_latency_ms":1000,"service":"m",
		"max_attempts":2,"stream_resumption":true},
	{"name":"turns","hostname":"h","prefix":"/turns/","route_kind":"stream","timeout_ms":60000,"target_latency_ms":1000,"service":"m",
		"max_attempts":2,"stream_resumption":true},
	{"name":"fresh","hostname":"h","prefix":"/fresh/","route_kind":"stream","timeout_ms":60000,"target_latency_ms":1000,"service":"m",
		"max_attempts":2,"stream_resumption":true},
	{"name":"once","hostname":"h","prefix":"/once/","route_kind":"stream","timeout_ms":60000,"target_latency_ms":1000,"service":"m"},
	{"name":"safe","hostname":"h","prefix":"/safe/","route_kind":"safe","timeout_ms":60000,"target_latency_ms":300,"service":"m","max_attempts":2},
	{"name":"unsafe","hostname":"h","prefix":"/unsafe/","route_kind":"unsafe","timeout_ms":60000,"target_latency_ms":300,"service":"m"}],
	"services":[{"name":"m"}]}`
	// latePause is the pause before each event, and before the rest of a large answer.
	latePause = 20 * time.Millisecond
	// shortEvents and longEvents are the events of a stream that ends soon, and of one that outlasts the grace period.
	shortEvents, longEvents = 3, 250
	// firstEnd is the time from the start of a stop to the end of the streams that began before it. No new connections are
	// accepted any more then.
	firstEnd = stopGrace/2 + 200*time.Millisecond
	// largeBody is an answer that exceeds what the gateway reads before it passes an answer on.
	largeBody = 300 << 10
)

// lateBehaviour answers PATH/N with a stream of N events, and PATH/large-N with a large plain answer whose rest follows after N pauses.
// A stream of the route first begins at once and ends when release is closed.
func lateBehaviour(release <-chan struct{}) target.Behaviour {
	return func(c net.Conn, a target.Arrival) bool {
		if !strings.HasPrefix(a.URI, "/first/") {
			return answerLate(c, a)
		}
		event := "id: 1\ndata: a\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", target.HeaderID, a.Header.Get(target.HeaderID),
			target.HeaderStamp, 2*len(event), event)
		<-release
		_, err := io.WriteString(c, strings.Replace(event, "1", "2", 1))
		return err == nil
	}
}

func answerLate(c net.Conn, a target.Arrival) bool {
	last := a.URI[strings.LastIndex(a.URI, "/")+1:]
	pauses, isLarge := strings.CutPrefix(last, "large-")
	n, err := strconv.Atoi(pauses)
	if err != nil {
		return target.Answer(200, "ok")(c, a)
	}
	if !isLarge {
		return target.Stream(n, latePause, false)(c, a)
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n", target.HeaderID, a.Header.Get(target.HeaderID),
		target.HeaderStamp, largeBody+1)
	_, _ = io.WriteString(c, strings.Repeat("x", largeBody))
	time.Sleep(time.Duration(n) * latePause)
	_, err = io.WriteString(c, "x")
	return err == nil
}

// lateRequest is a request that is sent during a stop, on a connection that the entry has kept.
type lateRequest struct {
	name, path string
	wait       time.Duration // for which the caller waits; 0 if it does not say
	status     int           // that it must get; 0 if it may be refused or get any whole answer
	got        stopAnswer
}

// TestLateRequestIsNotCut guards against a request that a stopping process lets start when it may already be sent elsewhere, and that it
// cuts because its answer takes longer than those of its route did: a stream among short ones, the first one of its route, one that must
// run once, and plain requests with answers that are passed on as they arrive. Those that can be served must still be.
func TestLateRequestIsNotCut(t *testing.T) {
	release := make(chan struct{})
	st, tg := startPlatform(t, lateBehaviour(release))
	st.Put("op/config", lateConfig)
	st.Put("servers/i-1", `{"service":"m","address":"`+tg.Addr+`","zone":"a","version":"v","slots":900,"state":"ready","born":1}`)
	p := startEntryWithGrace(t, "e1", st.Addr(), stopGrace)
	p.until("readiness", p.ready)
	long := "/" + strconv.Itoa(longEvents)
	calls := []*lateRequest{
		{name: "stream unlike those before", path: "/drafts" + long},
		{name: "long stream of a mixed route", path: "/mixed" + long},
		{name: "long stream after another", path: "/turns" + long},
		{name: "first stream of a route", path: "/fresh" + long},
		{name: "stream that must run once", path: "/once" + long},
		{name: "event stream of a plain route", path: "/safe" + long},
		{name: "event stream of a plain route, once", path: "/unsafe" + long},
		{name: "large answer", path: "/safe/large-250"},
		{name: "large answer, once", path: "/unsafe/large-250"},
		{name: "short stream", path: "/drafts/3", status: http.StatusOK},
		{name: "short stream where one follows each long one", path: "/turns/3", status: http.StatusOK},
		{name: "short event stream of a plain route", path: "/safe/3", status: http.StatusOK},
		{name: "large answer that ends soon", path: "/unsafe/large-1", status: http.StatusOK},
		{name: "plain request", path: "/unsafe/x", status: http.StatusOK},
		{name: "caller that waits until the end at most", path: "/once/3", wait: 700 * time.Millisecond, status: http.StatusOK},
	}
	learnRunTimes(t, p)
	var callers sync.WaitGroup
	for _, c := range calls {
		caller := dialCaller(t, p)
		caller.send("/first/x", c.name+" first")
		caller.finish()
		callers.Go(func() {
			if a := caller.answer(); a.err != nil || a.closes {
				t.Errorf("%s: answer that began before the stop: %+v", c.name, a)
				return
			}
			c.got = caller.request(c.path, c.name, c.wait)
		})
	}
	for _, c := range calls {
		p.until("arrivals", func() bool { return arrivalsOf(tg, c.name+" first") == 1 })
	}
	begun := time.Now()
	p.stop()
	time.AfterFunc(firstEnd, func() { close(release) })
	callers.Wait()
	p.ended(begun)
	for _, c := range calls {
		ran := arrivalsOf(tg, c.name)
		switch {
		case c.got.err != nil, c.status != 0 && c.got.status != c.status:
			t.Errorf("%s: %+v, %d arrivals", c.name, shortened(c.got), ran)
		case c.got.status == http.StatusServiceUnavailable && (ran > 0 || c.got.retryAfter == ""):
			t.Errorf("%s: refused as not run, but %d arrivals, Retry-After %q", c.name, ran, c.got.retryAfter)
		}
		t.Logf("%s: status %d, %d arrivals", c.name, c.got.status, ran)
	}
}

// learnRunTimes lets the entry learn how long the requests of most routes take. Those of the route mixed are short but for one, and
// those of the route turns are long and short in turn on each connection.
func learnRunTimes(t *testing.T, p *entryProcess) {
	var callers sync.WaitGroup
	for i := range 20 {
		for _, path := range []string{"/drafts/3", "/mixed/3", "/once/3", "/safe/x", "/unsafe/x"} {
			callers.Go(func() { dialCaller(t, p).request(path, fmt.Sprint(path, i), 0) })
		}
	}
	callers.Go(func() { dialCaller(t, p).request("/mixed/80", "learn", 0) })
	for i := range 4 {
		callers.Go(func() {
			c := dialCaller(t, p)
			for _, path := range []string{"/turns/80", "/turns/3", "/turns/3"} {
				c.request(path, fmt.Sprint(path, i), 0)
			}
		})
	}
	callers.Wait()
}

// request sends a whole request with a short body and returns its answer.
func (c *stopCaller) request(path, id string, wait time.Duration) stopAnswer {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 1\r\n", path, target.HeaderID, id)
	if wait > 0 {
		head += fmt.Sprintf("X-Camphorbank-Deadline-Ms: %d\r\n", wait.Milliseconds())
	}
	_, _ = io.WriteString(c.conn, head+"\r\nx")
	return c.answer()
}

// shortened returns an answer with the begin of its body only.
func shortened(a stopAnswer) stopAnswer {
	a.body = a.body[:min(len(a.body), 80)]
	return a
}
