package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// world is a gateway before two targets of one service.
type world struct {
	t       *testing.T
	first   *target.Target // the one that gets the first request
	second  *target.Target
	server  *httptest.Server
	gateway *gateway.Gateway
	records chan gateway.Record
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

func newWorld(t *testing.T, first, second target.Behaviour) *world {
	w := &world{t: t, records: make(chan gateway.Record, 100)}
	set := targetset.New()
	var list []targetset.Target
	for i, b := range []target.Behaviour{first, second} {
		tg, err := target.Start(b)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(tg.Close)
		// The first target is near, so that it is chosen first.
		list = append(list, targetset.Target{ID: []string{"i-1", "i-2"}[i], Service: "s", Addr: tg.Addr, Slots: 50,
			DataCentre: []string{"near", "far"}[i], Revision: 1})
		if i == 0 {
			w.first = tg
		} else {
			w.second = tg
		}
	}
	set.Replace(1, list, time.Now())
	tables := &routetable.Store{}
	tables.Offer(testConfig())
	w.gateway = &gateway.Gateway{
		Dialect: platform.Dialect{}, Tables: tables, Targets: set, Balance: balance.New("near", time.Now), Pool: upstream.NewPool(),
		Retries: retry.NewFleet(retry.Allowance{Share: 0.2, Slack: 50, Window: 10 * time.Second}, true, time.Now),
		Observe: func(r *gateway.Record) { w.records <- *r },
	}
	w.server = httptest.NewServer(w.gateway)
	t.Cleanup(w.server.Close)
	return w
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error // the body did not end as a whole one
}

func (w *world) request(method, path, body string, header ...string) *http.Request {
	req, err := http.NewRequest(method, w.server.URL+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	req.Host = "test.example"
	req.Header.Set(target.HeaderID, "req-1")
	req.Header.Set("Authorization", "Bearer k1")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

func (w *world) do(method, path, body string, header ...string) answer {
	w.t.Helper()
	resp, err := http.DefaultClient.Do(w.request(method, path, body, header...))
	if err != nil {
		w.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err}
}

func (w *world) arrivals() int { return len(w.first.Arrivals()) + len(w.second.Arrivals()) }

// TestUnsafeIsSentOnce guards against a second run of a request that may run once only, and against the promise "not run"
// after the request was sent.
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
			w := newWorld(t, b, b)
			a := w.do("POST", "/unsafe/x", "book")
			if a.status != 502 && a.status != 504 {
				t.Errorf("status %d, want one that promises nothing", a.status)
			}
			if n := w.arrivals(); n != 1 {
				t.Errorf("%d arrivals, want 1", n)
			}
		})
	}
}

// TestRefusalIsAtOnceAndTellsWhenToReturn guards against refusals that are held back or lack the time to come back.
func TestRefusalIsAtOnceAndTellsWhenToReturn(t *testing.T) {
	w := newWorld(t, target.Full(), target.Full())
	start := time.Now()
	a := w.do("POST", "/unsafe/x", "book")
	if a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", a.status, a.header.Get("Retry-After"))
	}
	if d := time.Since(start); d > routeTimeout/4 {
		t.Errorf("refused after %v", d)
	}
	if n := w.arrivals(); n != 1 {
		t.Errorf("%d arrivals, want 1: the route allows one target", n)
	}
}

// TestRefusedCallersComeBackLater guards against callers that come back while a group is still forming and are refused for
// the second and last time. Seen in incident inc-02b0: 87 callers were told 0.2 s.
func TestRefusedCallersComeBackLater(t *testing.T) {
	w := newWorld(t, target.Full(), target.Full())
	a := w.do("POST", "/stream/x", "prompt")
	s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil || s < 0.3 || s > routeTimeout.Seconds()/3 {
		t.Errorf("Retry-After is %q (%v), want a good part of the third of the time that callers honour", a.header.Get("Retry-After"), err)
	}
}

// TestFailureIsPassedOnUnchanged guards against a target's own failure that is replaced or repeated.
func TestFailureIsPassedOnUnchanged(t *testing.T) {
	w := newWorld(t, target.Answer(500, "own"), target.Answer(500, "own"))
	a := w.do("POST", "/unsafe/x", "book")
	if a.status != 500 || a.body != "own" || a.header.Get(target.HeaderStamp) == "" || w.arrivals() != 1 {
		t.Errorf("%+v after %d arrivals", a, w.arrivals())
	}
}

// TestSafeGoesToAnotherTarget guards against an idempotent request that is given up while another target could run it.
func TestSafeGoesToAnotherTarget(t *testing.T) {
	for name, b := range map[string]target.Behaviour{
		"failure": target.Answer(500, ""), "full": target.Full(), "reset": target.Reset(),
		"unframed and reset": func(c net.Conn, a target.Arrival) bool {
			target.Raw("HTTP/1.1 200 OK\r\n"+target.HeaderID+": ID\r\n"+target.HeaderStamp+": s\r\n\r\nhalf", true)(c, a)
			time.Sleep(50 * time.Millisecond)
			return target.Reset()(c, a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, b, target.Answer(200, "fine"))
			if a := w.do("GET", "/safe/x", ""); a.status != 200 || a.body != "fine" {
				t.Errorf("%+v", a)
			}
			if n := w.arrivals(); n != 2 {
				t.Errorf("%d arrivals, want 2", n)
			}
		})
	}
}

// TestExtraAnswerIsDropped guards against bytes after an answer that are taken for the next one.
func TestExtraAnswerIsDropped(t *testing.T) {
	one := "HTTP/1.1 200 OK\r\n" + target.HeaderID + ": ID\r\n" + target.HeaderStamp + ": s\r\nContent-Length: 2\r\n\r\n"
	late := func(c net.Conn, a target.Arrival) bool {
		target.Raw(one+"ok", true)(c, a)
		time.Sleep(30 * time.Millisecond)
		return target.Raw(one+"no", true)(c, a)
	}
	for name, b := range map[string]target.Behaviour{"at once": target.Raw(one+"ok"+one+"no", true), "later": late} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, b, b)
			for range 4 {
				if a := w.do("GET", "/safe/x", ""); a.body != "ok" {
					t.Errorf("%+v", a)
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
}

// TestStreamGoesOnAtAnotherTarget guards against events that are lost, doubled or cut when a target breaks off in the
// middle of an event.
func TestStreamGoesOnAtAnotherTarget(t *testing.T) {
	w := newWorld(t, target.Stream(3, 5*time.Millisecond, true), target.Stream(6, 5*time.Millisecond, false))
	a := w.do("POST", "/stream/x", "prompt")
	want := ""
	for _, i := range []string{"1", "2", "3", "4", "5", "6"} {
		want += "id: " + i + "\ndata: e" + i + "\n\n"
	}
	if a.err != nil || a.body != want {
		t.Errorf("%v %q", a.err, a.body)
	}
	if got := w.second.Arrivals()[0].Header.Get("Last-Event-Id"); got != "3" {
		t.Errorf("resumed after event %q, want 3", got)
	}
}

// TestBrokenStreamDoesNotLookWhole guards against a stream that cannot be resumed and yet ends as if it were complete.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	w := newWorld(t, target.Stream(3, time.Millisecond, true), target.Stream(6, time.Millisecond, false))
	if a := w.do("POST", "/once/x", "prompt"); a.err == nil {
		t.Errorf("the answer %q ended as a whole one", a.body)
	}
	if n := w.arrivals(); n != 1 {
		t.Errorf("%d arrivals, want 1", n)
	}
}

// TestCallerLeaves guards against work that goes on at a target after its caller has left.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t, target.Stream(100, 20*time.Millisecond, false), target.Stream(100, 20*time.Millisecond, false))
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := http.DefaultClient.Do(w.request("POST", "/stream/x", "prompt").WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	end := time.Now().Add(500 * time.Millisecond)
	for {
		select {
		case r := <-w.records:
			if r.Outcome != gateway.OutcomeLeft {
				t.Errorf("outcome %s", r.Outcome)
			}
			return
		case <-time.After(time.Until(end)):
			t.Fatal("the target was still at work half a second after the caller left")
		}
	}
}

// TestTimeout guards against an answer that comes long after the route's time, and against targets that are handed more
// time than is left.
func TestTimeout(t *testing.T) {
	w := newWorld(t, target.Silent(5*time.Second), target.Silent(5*time.Second))
	start := time.Now()
	a := w.do("POST", "/unsafe/x", "book", "X-Camphorbank-Deadline-Ms", "400")
	if d := time.Since(start); a.status != 504 || d < 350*time.Millisecond || d > 700*time.Millisecond {
		t.Errorf("status %d after %v", a.status, d)
	}
	if got := w.first.Arrivals()[0].Header.Get("X-Camphorbank-Deadline-Ms"); len(got) != 3 || got > "400" {
		t.Errorf("the target was handed %s ms", got)
	}
}

// TestForwardedRequest guards against requests that are changed on the way, and against headers that a caller may not set.
func TestForwardedRequest(t *testing.T) {
	w := newWorld(t, target.Answer(200, ""), target.Answer(200, ""))
	w.do("POST", "/unsafe/a%2Fb/../c?x=%20&y", "body", "X-Camphorbank-Tenant-Id", "evil", "X-Camphorbank-Target-Instance", "evil",
		"Connection", "X-Hop", "X-Hop", "1", "X-Own", "kept", "X-Camphorbank-Request-Priority", "0")
	got := w.first.Arrivals()[0]
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

// TestRejections guards against wrong answers to requests that the configuration does not allow, and against such
// requests reaching a target.
func TestRejections(t *testing.T) {
	w := newWorld(t, target.Answer(200, ""), target.Answer(200, ""))
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
		if a := w.do("POST", c.path, c.body, c.header...); a.status != c.want {
			t.Errorf("%s: status %d, want %d", name, a.status, c.want)
		}
	}
	w.gateway.Tables = &routetable.Store{}
	if a := w.do("POST", "/other/x", ""); a.status != 503 || a.header.Get("Retry-After") == "" {
		t.Errorf("without configuration: %+v", a)
	}
	if n := w.arrivals(); n != 0 {
		t.Errorf("%d requests reached a target", n)
	}
}

// TestConnectionsAreReused guards against a new connection for each request, which targets count.
func TestConnectionsAreReused(t *testing.T) {
	w := newWorld(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
	for range 20 {
		w.do("POST", "/unsafe/x", "book")
	}
	if n := w.gateway.Pool.Dials(); n > 2 {
		t.Errorf("%d connections for 20 requests", n)
	}
}
