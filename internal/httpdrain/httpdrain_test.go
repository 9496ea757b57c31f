package httpdrain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/httpdrain"
)

const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"

// caller is a connection to a server under test.
type caller struct {
	net.Conn
	answers *bufio.Reader
}

// answered reads one answer and reports whether it is complete.
func (c *caller) answered() bool {
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// server is a server under test with its listener.
type server struct {
	*http.Server
	listener *httpdrain.Listener
}

// slowListener accepts a connection only after a delay, as in a process that gets little processor time.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.Listener.Accept()
}

func startServer(t *testing.T) *server { return startSlowServer(t, 0) }

func startSlowServer(t *testing.T, acceptDelay time.Duration) *server {
	return startServerOn(t, slowListener{listen(t), acceptDelay})
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func startServerOn(t *testing.T, l net.Listener) *server {
	s := &server{Server: &http.Server{ReadHeaderTimeout: 300 * time.Millisecond, ConnState: connlimit.ConnState,
		ConnContext: connlimit.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "ok")
		})}}
	s.listener = httpdrain.New(l, s.Server)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(s.listener)
	}()
	t.Cleanup(func() { _ = s.Close(); <-done })
	return s
}

// dial opens a connection and makes one request on it, so that it is kept.
func (s *server) dial(t *testing.T) *caller {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	out := &caller{c, bufio.NewReader(c)}
	_, _ = io.WriteString(c, request)
	if !out.answered() {
		t.Fatal("the first request was not answered")
	}
	return out
}

// shutdown starts a shutdown and waits until the listener is closed. The channel receives the result.
func (s *server) shutdown(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.listener.Shutdown(ctx) }()
	for {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			return done
		}
		_ = c.Close()
	}
}

// TestBegunRequestIsAnswered guards against a shutdown that cuts off a request on a kept connection of which only a part
// has arrived, wherever the part ends, and that returns before the request has its answer.
func TestBegunRequestIsAnswered(t *testing.T) {
	for _, part := range []int{1, 4, 5, 20, len(request) - 6, len(request) - 1} {
		s := startServer(t)
		c := s.dial(t)
		_, _ = io.WriteString(c, request[:part])
		time.Sleep(10 * time.Millisecond) // the part has usually been read; the outcome must not depend on it
		done := s.shutdown(t.Context())
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(c, request[part:])
		if !c.answered() {
			t.Errorf("no answer to a request of which %d bytes had arrived", part)
		}
		if err := <-done; err != nil {
			t.Errorf("%d bytes: shutdown: %v", part, err)
		}
	}
}

// TestRequestInTheMomentOfShutdown guards against a shutdown that cuts off a request that has arrived and that the server
// has not begun to read.
func TestRequestInTheMomentOfShutdown(t *testing.T) {
	for range 200 {
		s := startServer(t)
		c := s.dial(t)
		_, _ = io.WriteString(c, request)
		done := s.shutdown(t.Context())
		if !c.answered() {
			t.Fatal("no answer to a request that was sent before the shutdown began")
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
}

// TestShutdownEnds guards against a shutdown that waits for kept connections without a request, or without end for the
// rest of a request.
func TestShutdownEnds(t *testing.T) {
	for name, c := range map[string]struct {
		begin string
		leave bool // the caller closes the connection
		limit time.Duration
		cut   bool // the shutdown ends with its context
	}{
		"nothing":          {"", false, 300 * time.Millisecond, false},
		"left in the head": {request[:20], true, 300 * time.Millisecond, false},
		"stalled head":     {request[:20], false, time.Second, false},
		"stalled body":     {request[:len(request)-1], false, 3 * time.Second, true},
		"malformed":        {"\x00\r\n\r\n", false, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t)
			caller := s.dial(t)
			_, _ = io.WriteString(caller, c.begin)
			if c.leave {
				_ = caller.Close()
			}
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			start := time.Now()
			err := <-s.shutdown(ctx)
			if d := time.Since(start); d > c.limit || (err != nil) != c.cut {
				t.Errorf("ended after %v with %v", d, err)
			}
		})
	}
}

// TestWaitingConnectionsAreServed guards against a shutdown that cuts off requests on connections that are established and
// that the server has not accepted yet, also if a busy machine takes long to accept them.
func TestWaitingConnectionsAreServed(t *testing.T) {
	for _, acceptDelay := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(acceptDelay.String(), func(t *testing.T) { checkWaitingConnections(t, acceptDelay) })
	}
}

func checkWaitingConnections(t *testing.T, acceptDelay time.Duration) {
	s := startSlowServer(t, acceptDelay)
	var callers []*caller
	for range 5 {
		c, err := net.Dial("tcp", s.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, request)
		callers = append(callers, &caller{c, bufio.NewReader(c)})
	}
	done := make(chan error, 1)
	go func() { done <- s.listener.Shutdown(t.Context()) }()
	for i, c := range callers {
		if !c.answered() {
			t.Errorf("no answer on connection %d", i)
		}
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestShutdownWithoutPlaces guards against a shutdown that goes on until it is cut off, since the listener has no place for another
// connection while the requests of all others run.
func TestShutdownWithoutPlaces(t *testing.T) {
	limit := connlimit.New(1)
	s := startServerOn(t, limit.Listener(listen(t)))
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	running, end := make(chan struct{}), make(chan struct{})
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		connlimit.SlotOf(r).RunUntilIdle()
		close(running)
		<-end
		handler.ServeHTTP(w, r)
	})
	_, _ = io.WriteString(c, request)
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	done, started := make(chan error, 1), time.Now()
	go func() { done <- s.listener.Shutdown(ctx) }()
	time.Sleep(100 * time.Millisecond)
	close(end)
	if !(&caller{c, bufio.NewReader(c)}).answered() {
		t.Error("the request that ran was not answered")
	}
	if err := <-done; err != nil || time.Since(started) > 2*time.Second {
		t.Errorf("ended after %v with %v", time.Since(started), err)
	}
}
