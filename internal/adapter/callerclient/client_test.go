package callerclient

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"pgregory.net/rapid"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
)

// TestEventsSurviveAnySegmentation guards against events that are lost, repeated or lack attributes when several events
// or parts of events arrive in one read.
func TestEventsSurviveAnySegmentation(t *testing.T) {
	var segments []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, s := range segments {
			fmt.Fprint(w, s)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer srv.Close()
	base, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "events")
		stream := ""
		for i := range n {
			text := strings.Repeat("x", rapid.SampledFrom([]int{0, 1, 50, 5000}).Draw(t, "size"))
			stream += fmt.Sprintf("data: {\"kind\":\"text\",\"request_id\":\"r\",\"seq\":%d,\"text\":%q}\n\n", i, text)
		}
		segments = nil
		for rest := stream; rest != ""; {
			size := min(len(rest), rapid.SampledFrom([]int{1, 7, 100, 4096, 100000}).Draw(t, "segment"))
			segments, rest = append(segments, rest[:size]), rest[size:]
			if len(segments) > 20 {
				segments, rest = append(segments, rest), ""
			}
		}
		res, err := New(base, srv.Client()).DraftStream()(t.Context(), &api.DraftStreamPayload{Model: "m", Prompt: "p", MaxTokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		events := res.(client.DraftStreamClientStream)
		defer events.Close()
		for i := range n {
			e, err := events.Recv(t.Context())
			if err != nil || e == nil || e.Seq != i || e.RequestID != "r" || e.Text == nil {
				t.Fatalf("event %d of %d: %+v, error %v", i, n, e, err)
			}
		}
	})
}

// TestStreamRefusal guards against a client that drops the outcome and reason of a refused stream.
func TestStreamRefusal(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range map[string]string{"Content-Type": "application/json", "Camphorbank-Outcome": "not-run",
			"Camphorbank-Reason": "queue-full", "Camphorbank-Request-Id": "r", "Retry-After": "2"} {
			w.Header().Set(name, value)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"name":"unavailable","outcome":"not-run","reason":"queue-full","message":"m","request_id":"r","retry_after_s":2}`)
	}))
	defer srv.Close()
	base, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	_, err = New(base, srv.Client()).DraftStream()(t.Context(), &api.DraftStreamPayload{Model: "m", Prompt: "p", MaxTokens: 1})
	var r *api.Refusal
	if !errors.As(err, &r) || r.Outcome != "not-run" || r.Reason != "queue-full" || r.RequestID != "r" || r.RetryAfterS == nil || *r.RetryAfterS != 2 {
		t.Errorf("error %v, refusal %+v", err, r)
	}
}
