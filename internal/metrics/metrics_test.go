package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestHandlerServesHistogram guards against a histogram that counts a duration equal to a bucket's upper bound, or just
// above it, in the wrong bucket.
func TestHandlerServesHistogram(t *testing.T) {
	h := &Histogram{name: "test", buckets: RequestDuration.buckets}
	for _, d := range []time.Duration{120 * time.Millisecond, 121 * time.Millisecond, time.Minute} {
		h.Observe(d)
	}
	w := httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{"request_seconds{le=0.12} 1\n", "request_seconds{le=0.15} 2\n", "request_seconds{le=8} 2\n", "request_seconds{le=inf} 3\n"} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("metrics lack %q:\n%s", want, w.Body)
		}
	}
}

// TestHandlerServesMemory guards against a process whose memory grows without a trace in its metrics.
func TestHandlerServesMemory(t *testing.T) {
	w := httptest.NewRecorder()
	Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if !strings.Contains(w.Body.String(), "gauge{memory_bytes} ") || strings.Contains(w.Body.String(), "gauge{memory_bytes} 0\n") {
		t.Errorf("metrics lack the memory:\n%s", w.Body)
	}
}
