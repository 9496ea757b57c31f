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

// server counts the bodies that arrive and answers each with itself.
type server struct {
	mu   sync.Mutex
	seen []string
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.seen = append(s.seen, string(body))
	s.mu.Unlock()
	_, _ = w.Write(body)
}

func (s *server) count(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, b := range s.seen {
		if b == body {
			n++
		}
	}
	return n
}

func start(t *testing.T) (*server, *Link, func(body string) error) {
	t.Helper()
	s := &server{}
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
	for limit := time.Now().Add(10 * time.Second); !cond(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%s: condition not met", what)
		}
	}
}

// TestFaults guards against a fault that does not happen as named, which would make the tests that use it pass for nothing.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fate  Fate
		fails bool
		runs  int // copies that arrive in the end
	}{
		{"pass", Fate{}, false, 1},
		{"cut request", Fate{Fault: CutRequest, Bytes: 10}, true, 0},
		{"cut response", Fate{Fault: CutResponse, Bytes: 10}, true, 1},
		{"delay", Fate{Fault: Delay, Wait: 10 * time.Millisecond}, false, 1},
		{"late", Fate{Fault: Late, Wait: 50 * time.Millisecond}, true, 1},
		{"repeat", Fate{Fault: Repeat, Wait: 10 * time.Millisecond}, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, l, post := start(t)
			if err := post("first"); err != nil { // the fault then hits the second request of the connection
				t.Fatal(err)
			}
			l.SetPlan(func(int) Fate { return c.fate })
			err := post("body")
			if (err != nil) != c.fails {
				t.Errorf("error %v, want a failure: %v", err, c.fails)
			}
			eventually(t, c.name, func() bool { return s.count("body") == c.runs })
			if s.count("first") != 1 {
				t.Error("the request before the fault was repeated")
			}
			if got := l.Counts()[c.fate.Fault]; got < 1 {
				t.Errorf("fault counted %d times", got)
			}
		})
	}
}

// TestGate guards against held bytes that are lost, and against bytes that cross a partition.
func TestGate(t *testing.T) {
	s, l, post := start(t)
	l.Hold()
	if post("held") == nil {
		t.Error("a response came while the link was held")
	}
	if s.count("held") != 0 {
		t.Error("bytes passed a held link")
	}
	l.Heal()
	eventually(t, "late delivery", func() bool { return s.count("held") == 1 })
	l.HoldBack()
	if post("one way") == nil {
		t.Error("a response came over a link that is cut one way")
	}
	if s.count("one way") != 1 {
		t.Error("a request did not arrive over a link that is cut the other way")
	}
	l.Heal()
	l.Partition()
	if post("lost") == nil {
		t.Error("a response came over a partition")
	}
	l.Heal()
	if err := post("after"); err != nil {
		t.Fatal(err)
	}
	if s.count("lost") != 0 {
		t.Error("bytes crossed a partition")
	}
}

// TestSeededPlan guards against a plan that differs between runs with the same seed.
func TestSeededPlan(t *testing.T) {
	r := Rates{CutRequest: 0.1, CutResponse: 0.1, Delay: 0.2, Late: 0.1, Repeat: 0.2, MaxBytes: 100, MaxWait: time.Second}
	a, b := Seeded(7, r), Seeded(7, r)
	kinds := map[Fault]int{}
	for n := range 1000 {
		if a(n) != b(n) {
			t.Fatalf("request %d: %v and %v", n, a(n), b(n))
		}
		kinds[a(n).Fault]++
	}
	if len(kinds) != int(faults) {
		t.Errorf("faults of 1000 requests: %v", kinds)
	}
}
