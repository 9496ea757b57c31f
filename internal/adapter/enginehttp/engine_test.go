package enginehttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/camphorbank/camphorbank/internal/port"
)

// TestMain guards against goroutines of connections and timers that outlive a stream.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedEngine is an engine that handles its n-th completion request with the n-th element of streams.
type scriptedEngine struct {
	t           *testing.T
	mu          sync.Mutex
	streams     []func(w http.ResponseWriter, r *http.Request, from int)
	resumedFrom []int
	canceled    chan string
}

func (s *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		s.canceled <- r.URL.Path
		return
	}
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		s.t.Error(err)
	}
	s.mu.Lock()
	n := len(s.resumedFrom)
	s.resumedFrom = append(s.resumedFrom, q.ResumeFrom)
	s.mu.Unlock()
	if n < len(s.streams) {
		s.streams[n](w, r, q.ResumeFrom)
	}
}

func sendTokens(w http.ResponseWriter, from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(w, "data: {\"text\":\"%d \",\"tokens\":1}\n\n", i)
	}
	_ = http.NewResponseController(w).Flush()
}

func sendWhole(w http.ResponseWriter, _ *http.Request, from int) {
	sendTokens(w, from, 5)
	fmt.Fprint(w, "data: {\"done\":true}\n\n")
}

func breakAfter(n int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, from int) {
		sendTokens(w, from, from+n)
		panic(http.ErrAbortHandler)
	}
}

// cutAfter breaks the connection within the event after n tokens.
func cutAfter(n int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, from int) {
		sendTokens(w, from, from+n)
		fmt.Fprint(w, "data: {\"text\":")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func stallAfter(n int) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, r *http.Request, from int) {
		sendTokens(w, from, from+n)
		<-r.Context().Done()
	}
}

// trickleAfter sends n tokens and then the filler now and then. It ends the stream as if it were complete if the client
// has not left by then.
func trickleAfter(n int, filler string) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, r *http.Request, from int) {
		sendTokens(w, from, from+n)
		for range 20 {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			fmt.Fprint(w, filler)
			_ = http.NewResponseController(w).Flush()
		}
		fmt.Fprint(w, "\ndata: {\"done\":true}\n\n")
	}
}

// sendLate sends a comment at once and the whole stream after a pause that is longer than the stall timeout.
func sendLate(w http.ResponseWriter, r *http.Request, from int) {
	fmt.Fprint(w, ": waiting\n\n")
	_ = http.NewResponseController(w).Flush()
	time.Sleep(400 * time.Millisecond)
	sendWhole(w, r, from)
}

func sendResponse(status int, body string) func(http.ResponseWriter, *http.Request, int) {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

// TestGenerate guards against text that is lost or repeated after a broken or stalled stream or for the spelling of its
// fields, a stalled stream that goes on because a byte arrives now and then, a stream that is cut before its first token is
// due, an unlimited number of resumes, an engine that sends without end, and a failed request that is not cancelled at the
// engine.
func TestGenerate(t *testing.T) {
	type streams = []func(http.ResponseWriter, *http.Request, int)
	cases := map[string]struct {
		streams     streams
		want        string
		resumedFrom string
		err         string // part of the error
		canceled    bool
	}{
		"whole":               {streams{sendWhole}, "0 1 2 3 4 ", "[0]", "", false},
		"broken":              {streams{breakAfter(2), breakAfter(1), sendWhole}, "0 1 2 3 4 ", "[0 2 3]", "", false},
		"cut in an event":     {streams{cutAfter(2), sendWhole}, "0 1 2 3 4 ", "[0 2]", "", false},
		"stalled":             {streams{stallAfter(2), sendWhole}, "0 1 2 3 4 ", "[0 2]", "", false},
		"no space in a field": {streams{sendResponse(200, "data:{\"text\":\"a\",\"tokens\":1}\n\ndata: {\"done\":true}\n\n")}, "a", "[0]", "", false},
		"comments only":       {streams{trickleAfter(2, ": alive\n\n"), sendWhole}, "0 1 2 3 4 ", "[0 2]", "", false},
		"blank lines only":    {streams{trickleAfter(2, "\r\n"), sendWhole}, "0 1 2 3 4 ", "[0 2]", "", false},
		"bytes of one line":   {streams{trickleAfter(2, " "), sendWhole}, "0 1 2 3 4 ", "[0 2]", "", false},
		"late first token":    {streams{sendLate}, "0 1 2 3 4 ", "[0]", "", false},
		"broken at once":      {streams{breakAfter(0), sendWhole}, "", "[0]", "broken", true},
		"broken for ever":     {streams{breakAfter(1), breakAfter(0), breakAfter(0), breakAfter(0), sendWhole}, "0 ", "[0 1 1 1]", "broken", true},
		"more than asked for": {streams{func(w http.ResponseWriter, _ *http.Request, _ int) { sendTokens(w, 0, 99) }}, "0 1 2 3 4 ", "[0]", "more tokens", true},
		"no token count":      {streams{sendResponse(200, "data: {\"text\":\"x\"}\n\n")}, "", "[0]", "without tokens", true},
		"busy":                {streams{sendResponse(503, "")}, "", "[0]", "status 503", true},
		"oversized event":     {streams{sendResponse(200, strings.Repeat("x", maxEventBytes+10))}, "", "[0]", "too long", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &scriptedEngine{t: t, streams: c.streams, canceled: make(chan string, 9)}
			server := httptest.NewServer(s)
			defer server.Close()
			cl := New(server.URL)
			cl.StallTimeout = 200 * time.Millisecond
			defer cl.http.CloseIdleConnections()
			var got strings.Builder
			err := cl.Generate(context.Background(), port.EngineRequest{ID: "id", MaxTokens: 5}, func(c port.Chunk) error { got.WriteString(c.Text); return nil })
			if got.String() != c.want || fmt.Sprint(s.resumedFrom) != c.resumedFrom || (err == nil) != (c.err == "") {
				t.Errorf("text %q, resumed from %v, error %v", got.String(), s.resumedFrom, err)
			}
			if err != nil && !strings.Contains(err.Error(), c.err) {
				t.Errorf("error %v, want %s", err, c.err)
			}
			if (len(s.canceled) > 0) != c.canceled {
				t.Errorf("%d cancel requests", len(s.canceled))
			}
		})
	}
}

// TestTextIsBounded guards against an engine that sends text without end and states few tokens for it. The text is kept until
// its request has ended.
func TestTextIsBounded(t *testing.T) {
	event := "data: {\"text\":\"" + strings.Repeat("x", maxEventBytes/2) + "\",\"tokens\":1}\n\n"
	s := &scriptedEngine{t: t, canceled: make(chan string, 9)}
	s.streams = append(s.streams, func(w http.ResponseWriter, r *http.Request, _ int) {
		for r.Context().Err() == nil {
			fmt.Fprint(w, event)
		}
	})
	server := httptest.NewServer(s)
	defer server.Close()
	cl := New(server.URL)
	defer cl.http.CloseIdleConnections()
	size := 0
	err := cl.Generate(t.Context(), port.EngineRequest{ID: "id", MaxTokens: 1000}, func(c port.Chunk) error { size += len(c.Text); return nil })
	if !errors.Is(err, errTextTooLong) || size > maxTextBytes || len(s.canceled) != 1 {
		t.Errorf("%d bytes, error %v, %d cancel requests", size, err, len(s.canceled))
	}
}

// TestFailuresBeforeAndAfterTheFirstByte guards against reporting a request as not sent although a part of its response
// arrived, and against reporting one as sent although no connection to the engine was made.
func TestFailuresBeforeAndAfterTheFirstByte(t *testing.T) {
	var server *httptest.Server
	s := &scriptedEngine{t: t, canceled: make(chan string, 9)}
	s.streams = append(s.streams, func(w http.ResponseWriter, _ *http.Request, _ int) {
		sendTokens(w, 0, 1)
		_ = server.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	server = httptest.NewServer(s)
	defer server.Close()
	cl := New(server.URL)
	defer cl.http.CloseIdleConnections()
	discard := func(port.Chunk) error { return nil }
	var notSent *port.NotSentError
	if err := cl.Generate(context.Background(), port.EngineRequest{MaxTokens: 9}, discard); err == nil || errors.As(err, &notSent) {
		t.Errorf("after the first token: %v", err)
	}
	if err := cl.Generate(context.Background(), port.EngineRequest{MaxTokens: 9}, discard); !errors.As(err, &notSent) {
		t.Errorf("engine not reached: %v", err)
	}
}

// TestCancelWhenCallerLeaves guards against an engine that continues a stream after the caller's context has ended.
func TestCancelWhenCallerLeaves(t *testing.T) {
	s := &scriptedEngine{t: t, canceled: make(chan string, 9)}
	s.streams = append(s.streams, stallAfter(1))
	server := httptest.NewServer(s)
	defer server.Close()
	cl := New(server.URL)
	defer cl.http.CloseIdleConnections()
	ctx, cancel := context.WithCancel(context.Background())
	err := cl.Generate(ctx, port.EngineRequest{ID: "a/b", MaxTokens: 9}, func(port.Chunk) error { cancel(); return nil })
	if !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if path := <-s.canceled; path != "/v1/completions/a/b" {
		t.Errorf("cancelled %s", path)
	}
}
