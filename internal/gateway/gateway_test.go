package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// fixture is a gateway in front of two stand-in targets of one service.
type fixture struct {
	t       *testing.T
	first   *target.Target // in the gateway's data centre, so it gets the first request
	second  *target.Target
	server  *httptest.Server
	gateway *gateway.Gateway
	records chan gateway.Record
	begun   chan time.Time // when the gateway got each request
}

const routeTimeout = 1500 * time.Millisecond

func testConfig() routetable.Config {
	route := func(name string, kind routetable.Kind, attempts int, resumable bool) routetable.Route {
		return routetable.Route{Name: name, Host: "test.example", Prefix: "/" + name + "/", Kind: kind, Timeout: routeTimeout,
			Objective: 300 * time.Millisecond, MaxAttempts: attempts, Resumable: resumable,
			Backends: []routetable.Backend{{Service: "s", Weight: 1}}}
	}
	return routetable.Config{Version: 3, Routes: []routetable.Route{
		route("safe", routetable.KindSafe, 2, false), route("unsafe", routetable.KindUnsafe, 1, false),
		route("stream", routetable.KindStream, 2, true), route("once", routetable.KindStream, 2, false),
	}, Accounts: []routetable.Account{{Name: "acme", Keys: []string{"k1"}}}, Limits: routetable.Limits{BodyBytes: 1000}}
}

func newFixture(t *testing.T, first, second target.Behaviour) *fixture {
	f := &fixture{t: t, records: make(chan gateway.Record, 100), begun: make(chan time.Time, 1)}
	set := targetset.New()
	var list []targetset.Target
	for i, b := range []target.Behaviour{first, second} {
		tg, err := target.Start(b)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tg.Close)
		// The first target is in the data centre of the balancer, so that it is chosen first.
		list = append(list, targetset.Target{ID: []string{"i-1", "i-2"}[i], Service: "s", Addr: tg.Addr, Slots: 50,
			DataCentre: []string{"near", "far"}[i], Position: targetset.Position{Revision: 1}})
		if i == 0 {
			f.first = tg
		} else {
			f.second = tg
		}
	}
	set.Replace(targetset.Position{Revision: 1}, list, time.Now())
	tables := &routetable.Store{}
	tables.Offer(testConfig())
	f.gateway = &gateway.Gateway{
		HeaderTranslator: platform.HeaderTranslator{}, Tables: tables, Targets: set, Balance: balance.New("near", time.Now), Pool: upstream.NewPool(),
		Quarantine: quarantine.New(time.Now),
		Retries:    retry.NewFleetBudget(retry.Allowance{Share: 0.2, Slack: 50, Window: 10 * time.Second}, true, time.Now),
		Observe:    func(r *gateway.Record) { f.records <- *r },
	}
	f.server = httptest.NewServer(f.handler())
	t.Cleanup(f.server.Close)
	return f
}

// setTimeLimit changes the time limit of all routes.
func (f *fixture) setTimeLimit(limit time.Duration) {
	config := f.gateway.Tables.Load().Config
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout = limit
	}
	f.gateway.Tables.Offer(config)
}

// handler returns the gateway's handler, which notes in begun when it gets a request.
func (f *fixture) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case f.begun <- time.Now():
		default: // this test does not look at begun
		}
		f.gateway.ServeHTTP(w, r)
	})
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error // the body is incomplete
}

func (f *fixture) request(method, path, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, f.server.URL+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "test.example"
	req.Header.Set(target.HeaderID, "req-1")
	req.Header.Set("Authorization", "Bearer k1")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (f *fixture) do(method, path, body string, header ...string) answer {
	f.t.Helper()
	resp, err := http.DefaultClient.Do(f.request(method, path, body, header...))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

func (f *fixture) arrivals() int { return len(f.first.Arrivals()) + len(f.second.Arrivals()) }

// TestUnsafeIsSentOnce guards against sending a request twice that may run only once, and against an answer that
// promises that the request has not run after it was sent.
func TestUnsafeIsSentOnce(t *testing.T) {
	for name, b := range map[string]target.Behaviour{
		"reset":            target.Reset(),
		"answer cut":       target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\nContent-Length: 10\r\n\r\nab", false),
		"not an answer":    target.Raw("hello\r\n\r\n", false),
		"unmarked refusal": target.Answer(503, "busy"),
		"no signature":     target.Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true),
		"encoded":          target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderStamp+": s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", true),
		"other request":    target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": other\r\n"+target.HeaderStamp+": s\r\nContent-Length: 2\r\n\r\nok", true),
		"silent":           target.Silent(3 * time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, b, b)
			a := f.do("POST", "/unsafe/x", "book")
			if a.status != 502 && a.status != 504 {
				t.Errorf("status %d, want 502 or 504, which leave open whether the request has run", a.status)
			}
			if n := f.arrivals(); n != 1 {
				t.Errorf("%d arrivals, want 1", n)
			}
		})
	}
}

// TestRefusalIsImmediateWithRetryAfter guards against refusals that are delayed or lack a retry-after time.
func TestRefusalIsImmediateWithRetryAfter(t *testing.T) {
	f := newFixture(t, target.RefuseNotRun(), target.RefuseNotRun())
	start := time.Now()
	a := f.do("POST", "/unsafe/x", "book")
	if a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if d := time.Since(start); d > routeTimeout/4 {
		t.Errorf("refused after %v", d)
	}
	if n := f.arrivals(); n != 1 {
		t.Errorf("%d arrivals, want 1: the route allows one target", n)
	}
}

// TestRetryAfterOutlastsGroupForming guards against callers that retry while a group is still forming, and give up when
// they are refused for the second time. Callers honour a retry-after time of up to a third of their remaining time. Seen
// in incident inc-02b0: 87 callers got a retry-after time of 0.2 s.
func TestRetryAfterOutlastsGroupForming(t *testing.T) {
	f := newFixture(t, target.RefuseNotRun(), target.RefuseNotRun())
	a := f.do("POST", "/stream/x", "prompt")
	s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || s < 0.3 || s > routeTimeout.Seconds()/3 {
		t.Errorf("Retry-After is %q (%v), want 0.3 s to a third of the route's timeout", a.header.Get("Retry-After"), err)
	}
}

// TestFailureIsPassedOnUnchanged guards against an error answer of a target that is replaced, or that leads to another
// attempt.
func TestFailureIsPassedOnUnchanged(t *testing.T) {
	f := newFixture(t, target.Answer(500, "own"), target.Answer(500, "own"))
	a := f.do("POST", "/unsafe/x", "book")
	if a.status != 500 || a.body != "own" || a.header.Get(target.HeaderStamp) == "" || f.arrivals() != 1 {
		t.Errorf("%+v after %d arrivals", a, f.arrivals())
	}
}

// TestRetryAfterFailureTakesOneAllowance guards against a retry that is taken from the budget twice. If only one is left, the
// caller got 502 in place of the target's own failure or the answer of another target.
func TestRetryAfterFailureTakesOneAllowance(t *testing.T) {
	f := newFixture(t, target.Answer(500, "own"), target.Answer(200, "fine"))
	// Eight tenths of the slack can be used, which is one retry.
	f.gateway.Retries = retry.NewFleetBudget(retry.Allowance{Slack: 1.3, Window: time.Minute}, true, time.Now)
	if a := f.do("GET", "/safe/x", ""); a.status != 200 || a.body != "fine" {
		t.Errorf("with one retry left: %+v", a)
	}
	if a := f.do("GET", "/safe/x", ""); a.status != 500 || a.body != "own" {
		t.Errorf("with no retry left: %+v", a)
	}
}

// TestIdempotentRequestIsRetriedElsewhere guards against giving up an idempotent request while another target could run
// it.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	for name, b := range map[string]target.Behaviour{
		"failure": target.Answer(500, ""), "full": target.RefuseNotRun(), "reset": target.Reset(),
		"unframed and reset": func(c net.Conn, a target.Arrival) bool {
			target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\n\r\nhalf", true)(c, a)
			time.Sleep(50 * time.Millisecond)
			return target.Reset()(c, a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, b, target.Answer(200, "fine"))
			if a := f.do("GET", "/safe/x", ""); a.status != 200 || a.body != "fine" {
				t.Errorf("%+v", a)
			}
			if n := f.arrivals(); n != 2 {
				t.Errorf("%d arrivals, want 2", n)
			}
		})
	}
}

// TestExtraAnswerIsDropped guards against surplus bytes after an answer that are taken for the answer to the next
// request.
func TestExtraAnswerIsDropped(t *testing.T) {
	one := "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\nContent-Length: 2\r\n\r\n"
	for name, b := range map[string]target.Behaviour{
		"at once": target.Raw(one+"ok"+one+"no", true), "later": target.Raw(one+"ok", true),
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan net.Conn, 4) // of the target, after it has answered
			f := newFixture(t, func(c net.Conn, a target.Arrival) bool {
				open := b(c, a)
				conns <- c
				return open
			}, target.Reset())
			dialled := f.recordDials()
			for n := range 4 {
				if a := f.do("GET", "/safe/x", ""); a.body != "ok" {
					t.Errorf("%+v", a)
				}
				c := <-conns
				if name != "later" {
					continue
				}
				// All requests have the same id, so that only the time shows to which one an answer belongs. The connection
				// is idle until the surplus answer has arrived.
				if !awaitCondition(func() bool { return f.gateway.Pool.Idle(f.first.Addr) }, time.Second) {
					t.Fatal("the connection is not kept")
				}
				target.Raw(one+"no", true)(c, target.Arrival{Header: http.Header{target.HeaderID: {"req-1"}}})
				if !awaitCondition(func() bool { return hasUnread(t, dialled()) }, time.Second) {
					t.Fatal("the surplus answer has not arrived")
				}
				if got := len(f.first.Arrivals()); got != n+1 {
					t.Errorf("%d requests reached the target, want %d", got, n+1)
				}
			}
		})
	}
}

// recordDials returns a function that returns the gateway's last connection to a target.
func (f *fixture) recordDials() func() net.Conn {
	var last atomic.Pointer[net.Conn]
	dial := f.gateway.Pool.Dial
	f.gateway.Pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		last.Store(&c)
		return c, err
	}
	return func() net.Conn { return *last.Load() }
}

// hasUnread reports whether bytes have arrived on an open connection that have not been read.
func hasUnread(t *testing.T, c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	if err := raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		t.Fatal(err)
	}
	return n > 0
}

// TestStreamResumesAtAnotherTarget guards against events that are lost, duplicated or truncated when a target's stream
// ends in the middle of an event.
func TestStreamResumesAtAnotherTarget(t *testing.T) {
	f := newFixture(t, target.Stream(3, 5*time.Millisecond, true), target.Stream(6, 5*time.Millisecond, false))
	a := f.do("POST", "/stream/x", "prompt")
	want := ""
	for _, i := range []string{"1", "2", "3", "4", "5", "6"} {
		want += "id: " + i + "\ndata: e" + i + "\n\n"
	}
	if a.err != nil || a.body != want {
		t.Errorf("%v %q", a.err, a.body)
	}
	if got := f.second.Arrivals()[0].Header.Get("Last-Event-Id"); got != "3" {
		t.Errorf("resumed after event %q, want 3", got)
	}
}

// TestBrokenStreamIsReportedToCaller guards against a broken stream that cannot be resumed and ends as if it were
// complete.
func TestBrokenStreamIsReportedToCaller(t *testing.T) {
	f := newFixture(t, target.Stream(3, time.Millisecond, true), target.Stream(6, time.Millisecond, false))
	if a := f.do("POST", "/once/x", "prompt"); a.err == nil {
		t.Errorf("the answer %q ended as if it were complete", a.body)
	}
	if n := f.arrivals(); n != 1 {
		t.Errorf("%d arrivals, want 1", n)
	}
}

// TestCallerDisconnects guards against a target that continues to work on a request after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, target.Stream(100, 20*time.Millisecond, false), target.Stream(100, 20*time.Millisecond, false))
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := http.DefaultClient.Do(f.request("POST", "/stream/x", "prompt").WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	end := time.Now().Add(500 * time.Millisecond)
	for {
		select {
		case r := <-f.records:
			if r.Outcome != gateway.OutcomeLeft {
				t.Errorf("outcome %s", r.Outcome)
			}
			return
		case <-time.After(time.Until(end)):
			t.Fatal("the request had not ended half a second after the caller disconnected")
		}
	}
}

// TestTimeout guards against an answer long after the time limit of the request, and against stating a longer time to a
// target than the one that is left.
func TestTimeout(t *testing.T) {
	f := newFixture(t, target.Silent(5*time.Second), target.Silent(5*time.Second))
	start := time.Now()
	a := f.do("POST", "/unsafe/x", "book", "X-Camphorbank-Deadline-Ms", "400")
	if d := time.Since(start); a.status != 504 || d < 350*time.Millisecond || d > 700*time.Millisecond {
		t.Errorf("status %d after %v", a.status, d)
	}
	if got := f.first.Arrivals()[0].Header.Get("X-Camphorbank-Deadline-Ms"); len(got) != 3 || got > "400" {
		t.Errorf("the target got a time limit of %s ms", got)
	}
}

// TestForwardedRequest guards against changes to forwarded requests, and against forwarding headers that a caller may
// not set.
func TestForwardedRequest(t *testing.T) {
	f := newFixture(t, target.Answer(200, ""), target.Answer(200, ""))
	f.do("POST", "/unsafe/a%2Fb/../c?x=%20&y", "body", "X-Camphorbank-Tenant-Id", "evil", "X-Camphorbank-Target-Instance", "evil",
		"Connection", "X-Hop", "X-Hop", "1", "X-Own", "kept", "X-Camphorbank-Request-Priority", "0")
	got := f.first.Arrivals()[0]
	if got.URI != "/unsafe/a%2Fb/../c?x=%20&y" || got.Body != "body" || got.Host != "test.example" {
		t.Errorf("%+v", got)
	}
	for name, want := range map[string]string{
		"Authorization": "", "X-Camphorbank-Tenant-Id": "acme", "X-Camphorbank-Target-Instance": "i-1", "X-Hop": "", "X-Own": "kept",
		target.HeaderID: "req-1",
	} {
		if v := got.Header.Get(name); v != want {
			t.Errorf("%s is %q, want %q", name, v, want)
		}
	}
}

// TestRejections guards against wrong answers to requests that the configuration does not allow, and against forwarding
// them.
func TestRejections(t *testing.T) {
	f := newFixture(t, target.Answer(200, ""), target.Answer(200, ""))
	for name, c := range map[string]struct {
		path, body string
		header     []string
		want       int
	}{
		"unknown key": {"/safe/x", "", []string{"Authorization", "Bearer nope"}, 401},
		"no route":    {"/other/x", "", nil, 404},
		"prefix only": {"/safe", "", nil, 404},
		"too large":   {"/unsafe/x", strings.Repeat("x", 1001), nil, 413},
		"no id":       {"/unsafe/x", "", []string{target.HeaderID, ""}, 400},
	} {
		if a := f.do("POST", c.path, c.body, c.header...); a.status != c.want {
			t.Errorf("%s: status %d, want %d", name, a.status, c.want)
		}
	}
	f.gateway.Tables = &routetable.Store{}
	if a := f.do("POST", "/other/x", ""); a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("without configuration: %+v", a)
	}
	if n := f.arrivals(); n != 0 {
		t.Errorf("%d requests reached a target", n)
	}
}

// TestConnectionsAreReused guards against a new connection for each request. Targets count the connections that are
// opened to them.
func TestConnectionsAreReused(t *testing.T) {
	f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
	for range 20 {
		f.do("POST", "/unsafe/x", "book")
	}
	if n := f.gateway.Pool.Dials(); n > 2 {
		t.Errorf("%d connections for 20 requests", n)
	}
}
