package enginemodel

import (
	"strings"
	"testing"
)

// TestPrefixCache guards against a cache that holds more blocks or events than its limits, that finds evicted prefixes,
// or that doesn't leave out the events which an engine publishes late or loses.
func TestPrefixCache(t *testing.T) {
	c := NewPrefixCache(4, 2)
	a, b := "aabbcc", "xxyy"
	for _, step := range []struct {
		prompt string
		cached int
	}{{a, 0}, {a, 6}, {"aabbzz", 4}, {b, 0}, {"aabb", 0}, {b, 4}} {
		if got := c.Lookup(step.prompt); got != step.cached {
			t.Errorf("%s: %d bytes cached, want %d", step.prompt, got, step.cached)
		}
	}
	all, published := c.Events(0, 0, 0), c.Events(0, 2, 3)
	if len(c.byHash) != 4 || len(all) != c.seq || len(published) != len(all)-2-(len(all)-2)/3 {
		t.Errorf("%d blocks; %d of %d events; %d events without the late and the lost ones", len(c.byHash), len(all), c.seq, len(published))
	}
	c.Lookup(strings.Repeat("q", 2*4*maxKeptEvents))
	if len(c.events) > 2*maxKeptEvents {
		t.Errorf("%d events are kept, which is too many", len(c.events))
	}
}
