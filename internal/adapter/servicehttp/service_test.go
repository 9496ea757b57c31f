package servicehttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
)

// TestCallRunsOnce guards against a booking that the HTTP client retries by itself, against a response that the client
// alters, and against a failure that is reported as not sent after the service was reached.
func TestCallRunsOnce(t *testing.T) {
	cases := map[string]struct {
		serve   http.HandlerFunc
		status  int
		retry   time.Duration
		wantErr bool
	}{
		"whole": {func(http.ResponseWriter, *http.Request) {}, 200, 0, false},
		"busy": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(503)
		}, 503, 7 * time.Second, false},
		"redirect": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
		}, http.StatusTemporaryRedirect, 0, false},
		"reply lost":     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, 0, true},
		"reply cut":      {func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "9") }, 0, 0, true},
		"reply too long": {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, maxBodyBytes+1)) }, 0, 0, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var arrivals atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				arrivals.Add(1)
				body, _ := io.ReadAll(r.Body)
				if string(body) != "slot" || r.URL.Path != "/reserve" || r.Header.Get("Idempotency-Key") != "" {
					t.Errorf("received %q at %s with %v", body, r.URL.Path, r.Header)
				}
				c.serve(w, r)
			}))
			defer server.Close()
			cl := New(server.URL)
			for n := int64(1); n <= 3; n++ {
				res, err := cl.Call(context.Background(), "reserve", "slot")
				var notSent *port.NotSentError
				if (err != nil) != c.wantErr || errors.As(err, &notSent) || res.Status != c.status || res.RetryAfter != c.retry {
					t.Errorf("call %d: %+v, %v", n, res, err)
				}
				if arrivals.Load() != n {
					t.Fatalf("%d arrivals for %d calls", arrivals.Load(), n)
				}
			}
		})
	}
}

// TestUnframedResponseOfACrashedService guards against a part of a response that is taken for all of it, since the operating
// system closes the connection of a crashed service in order; and against a sound response without a length that is dropped.
func TestUnframedResponseOfACrashedService(t *testing.T) {
	for name, crashes := range map[string]bool{"crashed": true, "alive": false} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbooked")
				if crashes {
					_ = l.Close()
				}
			}()
			res, err := New("http://"+l.Addr().String()).Call(t.Context(), "reserve", "slot")
			var notSent *port.NotSentError
			if (err != nil) != crashes || errors.As(err, &notSent) || !crashes && res.Body != "booked" {
				t.Errorf("%+v, %v", res, err)
			}
		})
	}
}

// TestServiceNotReached guards against a call that is not reported as not sent although no connection was made. Its
// outcome would become unknown where it is certain that nothing ran.
func TestServiceNotReached(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := New(server.URL).Call(context.Background(), "reserve", "slot")
	var notSent *port.NotSentError
	if !errors.As(err, &notSent) || !strings.Contains(err.Error(), "not sent") {
		t.Error(err)
	}
}
