package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	discardlog "github.com/apex/log/handlers/discard"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/stream"
	"github.com/camphorbank/camphorbank/internal/ticket"
	"github.com/camphorbank/camphorbank/internal/wire"
)

func init() { log.SetHandler(discardlog.Default) }

// fakeTarget is a fleet of one target. The prompt or body of an attempt selects what the target does with it.
type fakeTarget struct {
	sendEnded chan struct{} // closed when an endless answer ends because a frame was not accepted
}

func (fakeTarget) Targets(_ wire.Kind, serves string) []wire.VM {
	if serves == "empty" {
		return nil
	}
	return []wire.VM{{Name: "t1", State: wire.StateLive}}
}

func (t fakeTarget) Send(ctx context.Context, _ string, a wire.Attempt, onFrame func(wire.Frame) error) error {
	f := wire.Frame{ID: a.ID, Incarnation: "t1.1"}
	text := func(s string) error {
		f.Kind, f.Text = wire.FrameText, s
		defer func() { f.Seq, f.Text = f.Seq+1, "" }()
		return onFrame(f)
	}
	switch behaviour := a.Prompt + a.Body; {
	case a.Incarnation == "":
		f.Kind, f.Reason = wire.FrameRefused, outcome.WrongIncarnation
		return onFrame(f)
	case behaviour == "refuse":
		f.Kind, f.Reason, f.RetryAfterMS = wire.FrameRefused, outcome.QueueFull, 2500
		return onFrame(f)
	case behaviour == "fail late":
		_ = text("some ")
		f.Kind, f.Reason = wire.FrameFailed, outcome.TargetFailed
		return onFrame(f)
	case behaviour == "endless":
		for ctx.Err() == nil {
			if err := text(strings.Repeat("x", 64<<10)); err != nil {
				close(t.sendEnded)
				return err
			}
		}
		return ctx.Err()
	default:
		_ = text(behaviour)
		f.Kind, f.Frames, f.Tokens, f.Status, f.TextHash = wire.FrameEnd, 1, 1, 418, stream.Hash(behaviour)
		return onFrame(f)
	}
}

func (fakeTarget) Resume(context.Context, string, wire.Resume, func(wire.Frame) error) error {
	return port.ErrUnknownAttempt
}

func (fakeTarget) Revoke(context.Context, string, wire.Revoke) (wire.RevokeReply, error) {
	return wire.RevokeReply{}, io.ErrUnexpectedEOF
}

func (fakeTarget) Incarnation(context.Context, string) (string, error) { return "t1.1", nil }

func newServer(t *testing.T, tg fakeTarget) *httptest.Server {
	t.Helper()
	return newServerWithin(t, tg, nil)
}

// newServerWithin returns a server like newServer with a bound on the memory for requests.
func newServerWithin(t *testing.T, tg fakeTarget, memory *membudget.Budget) *httptest.Server {
	t.Helper()
	doc := `revision = 1
preset_in_force = "p"
presets = [{name = "p", short_max_tokens = 10, short_reserved_share = 0.1, max_wait_short = "1s", max_wait_long = "1s",
  deadline_short = "5s", deadline_long = "30s", deadline_call = "5s", retry_share = 0.1, max_attempts = 3, long_open = true,
  rebalance_skew = 1.1, rebalance_interval = "60s", rebalance_horizon = "10m"}]
client_accounts = [{name = "a", key_sha256 = "` + keyHash + `", weight = 1, requests_per_second = 0.0, max_in_flight = 0}]
models = [{name = "m", version = "1", adapters = ["de"]}, {name = "empty", version = "1", adapters = []}]
services = [{name = "s", operations = [{name = "book", idempotent = false}]}]
`
	snap, err := config.Parse("test", []byte(doc))
	if err != nil {
		t.Fatal(err)
	}
	store := &config.Store{}
	store.Offer(snap)
	svc := &Service{Memory: memory, WriteTimeout: 300 * time.Millisecond, Config: store, Clock: port.SystemClock{}, Entry: entry.New(entry.Options{
		Fleet: tg, Sender: tg, Control: tg, Clock: port.SystemClock{}, Tickets: ticket.NewSealer([]byte("k")),
	})}
	srv := httptest.NewServer(svc.Handler())
	t.Cleanup(srv.Close)
	return srv
}

// keyHash is the SHA-256 of "demo-key".
const keyHash = "c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"

// TestEveryReplyStatesItsOutcome guards against a reply whose headers or body lack the outcome, request id or reason,
// in particular a reply to a request that never reaches the entry, and against messages that do not name the invalid
// field.
func TestEveryReplyStatesItsOutcome(t *testing.T) {
	srv := newServer(t, fakeTarget{})
	draft := func(rest string) string { return `{"model":"m","max_tokens":5,"prompt":` + rest + `}` }
	for _, c := range []struct {
		name, method, path, body     string
		status                       int
		outcome, reason, messagePart string
	}{
		{"draft", "POST", "/v1/drafts", draft(`"hello"`), 200, "completed", "", ""},
		{"call", "POST", "/v1/services/s/book", `{"body":"slot"}`, 200, "completed", "", ""},
		{"ticket", "POST", "/v1/tickets", `{"service":"s"}`, 200, "completed", "", ""},
		{"malformed", "POST", "/v1/drafts", `{"model":`, 400, "not-run", "invalid", "body"},
		{"empty body", "POST", "/v1/drafts", ``, 400, "not-run", "invalid", "body"},
		{"two values", "POST", "/v1/drafts", draft(`"x"`) + `{}`, 400, "not-run", "invalid", "body"},
		{"wrong type", "POST", "/v1/drafts", `{"model":"m","max_tokens":"5","prompt":"x"}`, 400, "not-run", "invalid", "max_tokens"},
		{"unknown field", "POST", "/v1/drafts", `{"deadline":5,"model":"m","max_tokens":5,"prompt":"x"}`, 400, "not-run", "invalid", "deadline"},
		{"missing field", "POST", "/v1/drafts", `{"model":"m","max_tokens":5}`, 400, "not-run", "invalid", "prompt"},
		{"out of range", "POST", "/v1/drafts/stream", `{"model":"m","max_tokens":0,"prompt":"x"}`, 400, "not-run", "invalid", "max_tokens"},
		{"too many bytes", "POST", "/v1/drafts", draft(`"` + strings.Repeat("é", 200<<10) + `"`), 400, "not-run", "invalid", "prompt"},
		{"oversized", "POST", "/v1/drafts", draft(`"` + strings.Repeat("x", maxBodyBytes) + `"`), 400, "not-run", "invalid", "body"},
		{"unknown path", "GET", "/nothing/here", "", 404, "not-run", "invalid", "no such path"},
		{"wrong method", "GET", "/v1/drafts", "", 405, "not-run", "invalid", "method"},
		{"unknown model", "POST", "/v1/drafts", `{"model":"n","max_tokens":5,"prompt":"x"}`, 404, "not-run", "unknown-model", "model"},
		{"unknown adapter", "POST", "/v1/drafts", `{"model":"m","adapter":"it","max_tokens":5,"prompt":"x"}`, 404, "not-run", "unknown-model", "adapter"},
		{"unknown service", "POST", "/v1/services/z/book", `{"body":""}`, 404, "not-run", "unknown-service", "service"},
		{"unknown operation", "POST", "/v1/services/s/z", `{"body":""}`, 404, "not-run", "unknown-service", "operation"},
		{"forged ticket", "POST", "/v1/services/s/book", `{"body":"","ticket":"AAAA"}`, 400, "not-run", "ticket-invalid", "ticket"},
		{"no target", "POST", "/v1/drafts/stream", `{"model":"empty","max_tokens":5,"prompt":"x"}`, 503, "not-run", "no-target", ""},
		{"refused", "POST", "/v1/drafts", draft(`"refuse"`), 503, "not-run", "queue-full", ""},
		{"may have run", "POST", "/v1/services/s/book", `{"body":"fail late"}`, 502, "unknown", "target-failed", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			res, body := send(t, srv, c.method, c.path, c.body, "demo-key")
			h := res.Header
			if res.StatusCode != c.status || h.Get(headerOutcome) != c.outcome || h.Get(headerReason) != c.reason || len(h.Get(headerRequestID)) != 32 {
				t.Fatalf("%s with headers %v", res.Status, h)
			}
			var b struct {
				Outcome     string `json:"outcome"`
				Reason      string `json:"reason"`
				RequestID   string `json:"request_id"`
				Message     string `json:"message"`
				RetryAfterS int    `json:"retry_after_s"`
			}
			if err := json.Unmarshal([]byte(body), &b); err != nil {
				t.Fatalf("body %q: %v", body, err)
			}
			if b.Outcome != c.outcome || b.Reason != c.reason || b.RequestID != h.Get(headerRequestID) || !strings.Contains(b.Message, c.messagePart) {
				t.Errorf("body %s", body)
			}
			if want := map[string]string{"queue-full": "3", "no-target": "1"}[c.reason]; h.Get("Retry-After") != want {
				t.Errorf("Retry-After %q, want %q", h.Get("Retry-After"), want)
			}
		})
	}
	if res, _ := send(t, srv, "POST", "/v1/drafts", draft(`"x"`), "other-key"); res.StatusCode != 401 || res.Header.Get(headerReason) != "unauthenticated" {
		t.Errorf("key of no client account: %s %v", res.Status, res.Header)
	}
}

func send(t *testing.T, srv *httptest.Server, method, path, body, key string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(raw)
}

// TestStreamStatesItsOutcome guards against a stream whose headers lack the request id, and against one whose last
// event and trailers lack the outcome.
func TestStreamStatesItsOutcome(t *testing.T) {
	srv := newServer(t, fakeTarget{})
	for prompt, want := range map[string]struct{ outcome, reason, kinds string }{
		"hello":     {"completed", "", "text end"},
		"fail late": {"unknown", "target-failed", "text error"},
	} {
		res, body := send(t, srv, "POST", "/v1/drafts/stream", `{"model":"m","max_tokens":5,"prompt":"`+prompt+`"}`, "demo-key")
		var kinds []string
		var last map[string]any
		for _, line := range strings.Split(body, "\n") {
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				last = nil
				if err := json.Unmarshal([]byte(data), &last); err != nil {
					t.Fatal(err)
				}
				kinds = append(kinds, last["kind"].(string))
			}
		}
		id := res.Header.Get(headerRequestID)
		if len(id) != 32 || last["request_id"] != id || last["outcome"] != want.outcome || strings.Join(kinds, " ") != want.kinds {
			t.Errorf("%s: id %q, events %v, last %v", prompt, id, kinds, last)
		}
		if res.Trailer.Get(headerOutcome) != want.outcome || res.Trailer.Get(headerReason) != want.reason {
			t.Errorf("%s: trailers %v", prompt, res.Trailer)
		}
	}
}

// TestCallerDisconnectEndsStream guards against a stream that continues, and a target that keeps generating, after
// the caller has closed its connection or has stopped reading.
func TestCallerDisconnectEndsStream(t *testing.T) {
	for _, disconnects := range []bool{true, false} {
		tg := fakeTarget{sendEnded: make(chan struct{})}
		srv := newServer(t, tg)
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		body := `{"model":"m","max_tokens":5,"prompt":"endless"}`
		fmt.Fprintf(conn, "POST /v1/drafts/stream HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-key\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if disconnects {
			conn.Close()
		}
		select {
		case <-tg.sendEnded:
		case <-time.After(20 * time.Second):
			t.Fatalf("the stream did not end; caller closed its connection: %v", disconnects)
		}
	}
}

// TestOutcomeWithoutMemory guards against a call that may have run with its ticket before, and is answered as not run since its body
// was not read.
func TestOutcomeWithoutMemory(t *testing.T) {
	const size = 64 << 10
	memory := membudget.New(2 * size)
	if !memory.Lease("other").Grow(size) {
		t.Fatal("no memory for the other request")
	}
	srv := newServerWithin(t, fakeTarget{}, memory)
	body := `{"body":"` + strings.Repeat("x", size) + `"}`
	for path, want := range map[string]struct {
		status  int
		outcome string
	}{"/v1/drafts": {503, "not-run"}, "/v1/drafts/stream": {503, "not-run"}, "/v1/services/s/book": {502, "unknown"}} {
		res, _ := send(t, srv, "POST", path, body, "demo-key")
		h := res.Header
		if res.StatusCode != want.status || h.Get(headerOutcome) != want.outcome || h.Get(headerReason) != "memory-used-up" || h.Get("Retry-After") != "1" {
			t.Errorf("%s: %s with headers %v", path, res.Status, h)
		}
	}
	if res, _ := send(t, srv, "POST", "/v1/drafts", `{"model":"m","max_tokens":5,"prompt":"x"}`, "demo-key"); res.StatusCode != 200 {
		t.Errorf("a small request: %s", res.Status)
	}
}
