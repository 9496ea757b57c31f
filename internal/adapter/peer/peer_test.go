package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

type echoMessage struct{ Text string }

func startServer(t *testing.T, configure ...func(*Server)) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer()
	for _, f := range configure {
		f(s)
	}
	s.Handle("echo", TypedHandler(func(_ context.Context, in echoMessage) (echoMessage, error) { return in, nil }))
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Serve(context.Background(), l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close(); <-done })
	return s, l.Addr().String()
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for limit := time.Now().Add(10 * time.Second); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal(what)
		}
	}
}

func (s *Server) openConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// TestPool guards against a pool that opens a connection for every call, leaves unused connections open, or keeps using
// a connection that the peer closed.
func TestPool(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	s, addr := startServer(t)
	p := &Pool{IdleTimeout: 20 * time.Millisecond}
	t.Cleanup(p.Close)
	ctx := context.Background()
	call := func() error {
		var out echoMessage
		err := p.Call(ctx, addr, "echo", echoMessage{"a"}, &out)
		if err == nil && out.Text != "a" {
			t.Errorf("echo %q", out.Text)
		}
		return err
	}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			if err := call(); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := s.openConns(); n > 1 {
		t.Errorf("%d connections for concurrent calls to one peer", n)
	}
	waitFor(t, "unused connection stays open", func() bool { return s.openConns() == 0 })
	p.IdleTimeout = time.Hour
	if err := call(); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	waitFor(t, "no call succeeds after the peer closed the connection", func() bool { return call() == nil })
}

// TestPoolUnreachable guards against a call to a closed port that succeeds, and a call that outlives its context.
func TestPoolUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	p := &Pool{}
	t.Cleanup(p.Close)
	if err := p.Call(context.Background(), addr, "echo", echoMessage{}, &echoMessage{}); err == nil {
		t.Fatal("call to a closed port succeeded")
	}
	if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := p.Call(ctx, l.Addr().String(), "echo", echoMessage{}, &echoMessage{}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("call to a silent peer: %v", err)
	}
}

// TestMessageBound guards against a server that reads an endless message of a peer.
func TestMessageBound(t *testing.T) {
	_, addr := startServer(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"Text":"`)); err != nil {
		t.Fatal(err)
	}
	chunk, sent := []byte(strings.Repeat("x", 64<<10)), 0
	for sent < 64*maxMessageBytes {
		n, err := c.Write(chunk)
		if sent += n; err != nil {
			return
		}
	}
	t.Errorf("the server read %d bytes of one message", sent)
}

// TestBoundHoldsForEachMessage guards against a limit that applies to the connection instead of each message.
func TestBoundHoldsForEachMessage(t *testing.T) {
	_, addr := startServer(t)
	p := &Pool{}
	t.Cleanup(p.Close)
	in := echoMessage{strings.Repeat("y", maxMessageBytes*3/4)}
	for range 2 {
		var out echoMessage
		if err := p.Call(context.Background(), addr, "echo", in, &out); err != nil || out != in {
			t.Fatalf("large message: %v, %d bytes back", err, len(out.Text))
		}
	}
}

// FuzzServer guards against a panic on malformed messages.
func FuzzServer(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"Text":5}}`))
	f.Add([]byte(`{"method":null,"id":{}}[1,2]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		a, b := net.Pipe()
		s := NewServer()
		s.Handle("echo", TypedHandler(func(_ context.Context, in echoMessage) (json.RawMessage, error) { return json.Marshal(in) }))
		s.accept(context.Background(), b)
		go func() { _, _ = a.Write(raw); _ = a.Close() }()
		_, _ = a.Read(make([]byte, 64))
		waitFor(t, "connection stays open", func() bool { return s.openConns() == 0 })
	})
}
