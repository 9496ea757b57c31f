package reqbody_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/reqbody"
)

const maxBytes = 1 << 20

// serve starts a server whose handler answers with the length of the body, or with the error of reading it. It returns its address.
func serve(t *testing.T, b reqbody.Bounds) string {
	t.Helper()
	b.Bytes = maxBytes
	b.Refuse = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	s := httptest.NewServer(reqbody.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}), b))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// post sends a head that states a length, and then a body. It returns a function that returns the status and the body of the
// answer.
func post(t *testing.T, addr string, length int, body string) (answer func() (int, string)) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
	}()
	return func() (int, string) {
		t.Helper()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(text)
	}
}

// TestBodyWithoutMemoryIsRefused guards against a request that runs, or whose body is kept, although others have used up the memory,
// and against memory that is not given back.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	const limit, size = 400 << 10, 100 << 10
	memory := membudget.New(limit)
	addr := serve(t, reqbody.Bounds{Memory: memory, Time: 5 * time.Second})
	other := memory.Lease("other")
	if !other.Grow(limit / 2) {
		t.Fatal("no memory for the other request")
	}
	if status, _ := post(t, addr, size, strings.Repeat("a", size))(); status != http.StatusServiceUnavailable {
		t.Errorf("status %d without memory, want 503", status)
	}
	if held := memory.Held(); held != limit/2 {
		t.Errorf("%d bytes are held after the refusal, want %d", held, limit/2)
	}
	other.Release()
	if status, got := post(t, addr, size, strings.Repeat("a", size))(); status != http.StatusOK || got != fmt.Sprint(size) {
		t.Errorf("status %d and %s with memory, want 200 and %d", status, got, size)
	}
}

// TestStalledBodyGivesItsMemoryBack guards against a client that sends half of a body and keeps others from being served.
func TestStalledBodyGivesItsMemoryBack(t *testing.T) {
	const size = 200 << 10
	memory := membudget.New(300 << 10)
	addr := serve(t, reqbody.Bounds{Memory: memory, Time: time.Minute})
	stalled := post(t, addr, size, strings.Repeat("a", size/2))
	time.Sleep(1500 * time.Millisecond)
	if status, _ := post(t, addr, size/4, strings.Repeat("a", size/4))(); status != http.StatusOK {
		t.Errorf("status %d beside a stalled body, want 200", status)
	}
	if status, _ := stalled(); status != http.StatusServiceUnavailable {
		t.Errorf("the stalled request is answered with %d, want 503", status)
	}
}

// TestBodyThatDoesNotArrive guards against a handler that takes a part of a body for all of it, and against a connection that
// stays after that.
func TestBodyThatDoesNotArrive(t *testing.T) {
	addr := serve(t, reqbody.Bounds{Time: 100 * time.Millisecond})
	started := time.Now()
	if status, text := post(t, addr, 100, "half")(); status != http.StatusBadRequest || !strings.Contains(text, "timeout") {
		t.Errorf("status %d and %q for half a body, want 400 and the timeout", status, text)
	}
	if took := time.Since(started); took > 2*time.Second {
		t.Errorf("answered after %v", took)
	}
}

// TestLongBodyIsCutAfterItsLimit guards against a body over the limit that looks like one within it.
func TestLongBodyIsCutAfterItsLimit(t *testing.T) {
	addr := serve(t, reqbody.Bounds{Time: 5 * time.Second})
	if _, got := post(t, addr, 3*maxBytes, strings.Repeat("a", 3*maxBytes))(); got != fmt.Sprint(maxBytes+1) {
		t.Errorf("the handler got %s bytes, want %d", got, maxBytes+1)
	}
}

// TestRunningRequestKeepsItsConnection guards against a request that is cut off for a new connection, and against an idle
// connection that is kept from being closed, on a listener with TLS.
func TestRunningRequestKeepsItsConnection(t *testing.T) {
	limit := connlimit.New(1)
	reasons := make(chan connlimit.Reason, 100)
	limit.Closed = func(r connlimit.Reason) { reasons <- r }
	begun, end := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(reqbody.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-end
	}), reqbody.Bounds{Bytes: maxBytes, Time: time.Second}))
	s.Listener = limit.Listener(s.Listener)
	s.Config.ConnState, s.Config.ConnContext = connlimit.ConnState, connlimit.ConnContext
	s.StartTLS()
	t.Cleanup(s.Close)
	client := s.Client()
	client.Timeout = 5 * time.Second
	answered := make(chan error, 1)
	go func() {
		resp, err := client.Post(s.URL, "text/plain", strings.NewReader("a"))
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			err = resp.Body.Close()
		}
		answered <- err
	}()
	<-begun
	time.Sleep(300 * time.Millisecond) // the grace time of new requests
	dial := func() error {
		c, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", s.Listener.Addr().String(), client.Transport.(*http.Transport).TLSClientConfig)
		if err == nil {
			_ = c.Close()
		}
		return err
	}
	if err := dial(); err == nil || <-reasons != connlimit.ReasonRefused {
		t.Error("a second connection is admitted while the request runs")
	}
	close(end)
	if err := <-answered; err != nil {
		t.Errorf("the request that ran: %v", err)
	}
	time.Sleep(300 * time.Millisecond) // the server learns that the connection is idle after the client has its answer
	if err := dial(); err != nil {
		t.Errorf("no new connection while the only one is idle: %v", err)
	} else if r := <-reasons; r != connlimit.ReasonIdle {
		t.Errorf("the idle connection was closed as %s", r)
	}
}

// TestNoAnswerOnClosedConnection guards against an empty answer with status 200 to a request whose connection has been chosen to be
// closed before it ran.
func TestNoAnswerOnClosedConnection(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := connlimit.New(1).Listener(inner).Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	r := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(connlimit.ConnContext(t.Context(), c))
	defer func() {
		if reason := recover(); reason != http.ErrAbortHandler {
			t.Errorf("the handler ended with %v, want %v", reason, http.ErrAbortHandler)
		}
	}()
	reqbody.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request runs") }), reqbody.Bounds{}).
		ServeHTTP(httptest.NewRecorder(), r)
}
