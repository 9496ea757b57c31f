package localhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// TestSendTellsWhatWasSent guards against reporting an attempt as not sent although a local process may have received
// it, against sending an attempt twice, and against accepting an answer that is incomplete or too large.
func TestSendTellsWhatWasSent(t *testing.T) {
	var received atomic.Int64
	end := `{"id":{"request":"r","number":1},"seq":0,"kind":"end"}` + "\n"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received.Add(1)
		switch {
		case strings.Contains(string(body), "break"):
			panic(http.ErrAbortHandler)
		case strings.Contains(string(body), "half"):
			fmt.Fprint(w, end[:20])
		case strings.Contains(string(body), "large"):
			fmt.Fprint(w, `{"text":"`+strings.Repeat("x", maxFrameBytes+1)+`"}`)
		case strings.Contains(string(body), "unknown"):
			http.Error(w, "unknown attempt", http.StatusNotFound)
		case strings.Contains(string(body), "redirect"):
			http.Redirect(w, r, "/attempt", http.StatusTemporaryRedirect)
		default:
			fmt.Fprint(w, end)
		}
	}))
	defer srv.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	c := New(nil)
	for _, tc := range []struct {
		body         string
		addr         string
		ctx          context.Context
		wantReceived int64
		wantNotSent  bool
		wantErr      error
	}{
		{"good", "", nil, 1, false, nil},
		{"break", "", nil, 1, false, io.EOF}, // on a reused connection, where net/http could retry
		{"good", "", nil, 1, false, nil},
		{"half", "", nil, 1, false, io.ErrUnexpectedEOF},
		{"large", "", nil, 1, false, errFrameTooLarge},
		{"unknown", "", nil, 1, false, port.ErrUnknownAttempt},
		{"redirect", "", nil, 1, false, errUnexpectedStatus},
		{"good", closed.Addr().String(), nil, 0, true, nil},
		{"good", "", cancelled, 0, true, context.Canceled},
	} {
		before := received.Load()
		addr, ctx := tc.addr, tc.ctx
		if addr == "" {
			addr = srv.Listener.Addr().String()
		}
		if ctx == nil {
			ctx = t.Context()
		}
		err := c.Send(ctx, addr, wire.Attempt{Body: tc.body}, func(wire.Frame) error { return nil })
		var notSent *port.NotSentError
		if errors.As(err, &notSent) != tc.wantNotSent || !errors.Is(err, tc.wantErr) && !tc.wantNotSent {
			t.Errorf("%s: error %v", tc.body, err)
		}
		if got := received.Load() - before; got != tc.wantReceived {
			t.Errorf("%s: received %d times, want %d", tc.body, got, tc.wantReceived)
		}
	}
}
