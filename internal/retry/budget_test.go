package retry

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetLimitsRetries guards against an outage that multiplies the load on the targets that still work: over any
// mix of requests and takes, the permitted retries stay within the share of the requests plus burstRetries.
func TestBudgetLimitsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		b := NewBudgets().Of("model")
		requests, allowed := 0, 0
		for _, take := range rapid.SliceOfN(rapid.Bool(), 1, 500).Draw(t, "steps") {
			if take {
				if b.Take() {
					allowed++
				}
				continue
			}
			b.CountRequest(share)
			requests++
		}
		if limit := float64(requests)*share + burstRetries; float64(allowed) > limit+1e-9 {
			t.Fatalf("%d retries for %d requests, limit %f", allowed, requests, limit)
		}
	})
}
