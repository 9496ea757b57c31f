package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func (p *platform) get(handler http.HandlerFunc, url string) (int, string) {
	w := httptest.NewRecorder()
	handler(w, httptest.NewRequest(http.MethodGet, url, nil))
	return w.Code, w.Body.String()
}

func newPlatform(callsPerSecond float64) *platform {
	p := &platform{configs: newPublishedValues(), vms: newPublishedValues(), faults: map[string]faults{}, changed: make(chan struct{})}
	p.setRateLimit(callsPerSecond)
	p.configs.add("", 1, []byte("one"))
	return p
}

// TestRateLimit guards against a stand-in that serves more calls than the platform does, or that does not deduct
// waiting watches from the rate limit.
func TestRateLimit(t *testing.T) {
	p := newPlatform(100) // with a burst of 10 calls
	refused := 0
	for range 30 {
		if code, _ := p.get(p.serveConfig, "/config"); code == http.StatusTooManyRequests {
			refused++
		}
	}
	if refused < 10 || p.currentCounts().Refused != refused {
		t.Errorf("%d of 30 calls at once refused, %d counted", refused, p.currentCounts().Refused)
	}
	p.addWaiting(100)
	p.get(p.serveConfig, "/config")
	if p.limiter.Limit() > 0 {
		t.Errorf("%v calls a second left beside 100 waiting watches", p.limiter.Limit())
	}
}

// TestFaults guards against faults of the stand-in that have no effect or affect the wrong reader. The tests of the
// configuration rely on them.
func TestFaults(t *testing.T) {
	p := newPlatform(2000)
	p.configs.add("", 2, []byte("two"))
	p.configs.add("b", 2, []byte("other two"))
	for _, c := range []struct {
		faults faults
		reader string
		code   int
		body   string
	}{
		{faults{}, "a", http.StatusOK, "two"},
		{faults{}, "b", http.StatusOK, "other two"},
		{faults{ServedRevision: 1}, "a", http.StatusOK, "one"},
		{faults{Down: true}, "a", http.StatusServiceUnavailable, "down\n"},
	} {
		p.faults[""] = c.faults
		if code, body := p.get(p.serveConfig, "/config?reader="+c.reader); code != c.code || body != c.body {
			t.Errorf("%+v: %d %q", c, code, body)
		}
	}
	p.vms.add("", 0, []byte("[1]"))
	first := time.Now()
	for !time.Now().After(first) {
		continue // the two lists need different publication times
	}
	p.vms.add("", 0, []byte("[2]"))
	if v := p.vms.newestAt("", first); string(v.body) != "[1]" {
		t.Errorf("list as it was earlier: %s", v.body)
	}
}
