package rankgroup

import (
	"testing"
	"time"
)

// TestStepClock guards against a switch that holds the group although the next step begins too soon to arm all ranks.
func TestStepClock(t *testing.T) {
	const stepTime, readInterval = 80 * time.Millisecond, 20 * time.Millisecond
	start := time.Unix(0, 0)
	var c stepClock
	if d := c.untilNext(start); d != 0 {
		t.Errorf("without readings: %v until the next step, want 0", d)
	}
	for at := time.Duration(0); at < 4*time.Second; at += readInterval {
		now := start.Add(at)
		c.observe(int64(at/stepTime), now, now)
		if at < 2*time.Second {
			continue // the duration of a step is still rough
		}
		left := stepTime - at%stepTime
		if d := c.untilNext(now); d > left || d < left-readInterval {
			t.Errorf("%v after the start: %v until the next step, want %v or up to %v less", at, d, left, readInterval)
		}
	}
}

// TestStepClockOfOtherEpoch guards against a step time that spans two epochs of a group.
func TestStepClockOfOtherEpoch(t *testing.T) {
	var c stepClock
	now := time.Unix(0, 0)
	for _, step := range []int64{7, 8, 0} {
		now = now.Add(time.Second)
		c.observe(step, now, now)
	}
	if d := c.untilNext(now); d != 0 {
		t.Errorf("after the first reading of an epoch: %v until the next step, want 0", d)
	}
}
