package gateway

import (
	"strings"
	"testing"
)

// TestHeadMeter guards against heads whose short fields cost more than is accounted for, and against bodies that are counted
// as heads.
func TestHeadMeter(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n"
	want := int64(len(head) + 103*headerFieldBytes)
	for _, step := range []int{1, 3, 4096} {
		m, cost := headMeter{}, int64(0)
		for rest := head + "\r\nbody\r\n\r\n"; rest != ""; rest = rest[min(step, len(rest)):] {
			cost += m.add([]byte(rest[:min(step, len(rest))]))
		}
		if cost != want || !m.ended {
			t.Errorf("in steps of %d: cost %d, want %d", step, cost, want)
		}
	}
}
