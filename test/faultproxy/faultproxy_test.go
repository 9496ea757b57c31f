package faultproxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// echoServer records the bodies that arrive and answers each request with its own body.
type echoServer struct {
	mu     sync.Mutex
	bodies []string
}

func (s *echoServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.bodies = append(s.bodies, string(body))
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (s *echoServer) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.bodies {
		if b == body {
			n++
		}
	}
	return n
}

func startEcho(t *testing.T) (*echoServer, *Link, func(body string) error) {
	t.Helper()
	s := &echoServer{}
	ts := httptest.NewServer(s)
	l, err := New(ts.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	t.Cleanup(func() { client.CloseIdleConnections(); l.Close(); ts.Close() })
	return s, l, func(body string) error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr(), io.NopCloser(strings.NewReader(body)))
		if err != nil {
			return err
		}
		res, err := client.Do(req)
		if err != nil {
			return err
		}
		defer res.Body.Close()
		got, err := io.ReadAll(res.Body)
		if err == nil && string(got) != body {
			t.Errorf("response %q to %q", got, body)
		}
		return err
	}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met", what)
		}
	}
}

// TestEachFault guards against a fault that is not injected as named, in which case tests that rely on it would pass
// without testing anything.
func TestEachFault(t *testing.T) {
	for _, c := range []struct {
		name      string
		injection Injection
		fails     bool
		arrivals  int // how often the request arrives at the server in the end
	}{
		{"pass", Injection{}, false, 1},
		{"cut request", Injection{Fault: CutRequest, Bytes: 10}, true, 0},
		{"cut response", Injection{Fault: CutResponse, Bytes: 10}, true, 1},
		{"delay", Injection{Fault: Delay, Wait: 10 * time.Millisecond}, false, 1},
		{"late", Injection{Fault: Redeliver, Wait: 50 * time.Millisecond}, true, 1},
		{"repeat", Injection{Fault: Duplicate, Wait: 10 * time.Millisecond}, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l, post := startEcho(t)
			if err := post("first"); err != nil { // so that the fault affects the second request of the connection
				t.Fatal(err)
			}
			l.SetPlan(func(int) Injection { return c.injection })
			err := post("body")
			if (err != nil) != c.fails {
				t.Errorf("error %v, want an error: %v", err, c.fails)
			}
			eventually(t, c.name, func() bool { return s.count("body") == c.arrivals })
			if s.count("first") != 1 {
				t.Error("the request before the fault was repeated")
			}
			if got := l.Counts()[c.injection.Fault]; got < 1 {
				t.Errorf("fault counted %d times", got)
			}
		})
	}
}

// TestHoldAndPartition guards against the loss of held bytes, and against bytes that cross a partition.
func TestHoldAndPartition(t *testing.T) {
	s, l, post := startEcho(t)
	l.Hold()
	if post("held") == nil {
		t.Error("a response arrived while the link was held")
	}
	if s.count("held") != 0 {
		t.Error("bytes passed a held link")
	}
	l.Heal()
	eventually(t, "late delivery", func() bool { return s.count("held") == 1 })
	l.HoldResponses()
	if post("one way") == nil {
		t.Error("a response arrived over a link that holds responses")
	}
	if s.count("one way") != 1 {
		t.Error("a request did not arrive over a link that holds only responses")
	}
	l.Heal()
	l.Partition()
	if post("lost") == nil {
		t.Error("a response arrived over a partitioned link")
	}
	l.Heal()
	if err := post("after"); err != nil {
		t.Fatal(err)
	}
	if s.count("lost") != 0 {
		t.Error("bytes crossed a partitioned link")
	}
}

// TestSeededPlan guards against a plan that differs between runs with the same seed.
func TestSeededPlan(t *testing.T) {
	r := Rates{CutRequest: 0.1, CutResponse: 0.1, Delay: 0.2, Redeliver: 0.1, Duplicate: 0.2, MaxBytes: 100, MaxWait: time.Second}
	a, b := Seeded(7, r), Seeded(7, r)
	counts := map[Fault]int{}
	for n := range 1000 {
		if a(n) != b(n) {
			t.Fatalf("request %d: %v and %v", n, a(n), b(n))
		}
		counts[a(n).Fault]++
	}
	if len(counts) != int(faults) {
		t.Errorf("faults of 1000 requests: %v", counts)
	}
}
