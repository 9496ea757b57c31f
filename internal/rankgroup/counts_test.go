package rankgroup

import (
	"math"
	"testing"
)

// TestCountEncoding guards against an encoding that biases the counts.
func TestCountEncoding(t *testing.T) {
	before := []int64{10, 10, 10, 0, 0, 0}
	now := []int64{1010, 110, 13, 0, 7, 0}
	sum := make([]float64, len(now))
	const ranks = 4000
	for range ranks {
		got, err := decodeCounts(encodeGrowth(now, before, 2), 2, 3)
		if err != nil {
			t.Fatal(err)
		}
		for i, n := range got {
			sum[i] += n / ranks
		}
	}
	for i := range now {
		want := float64(now[i] - before[i])
		if math.Abs(sum[i]-want) > 0.02*want+3 {
			t.Errorf("count %d is %.1f on average, want %.1f", i, sum[i], want)
		}
	}
	if got := encodeGrowth([]int64{1, 2}, []int64{1, 3}, 1); got != nil {
		t.Error("counts that went down were encoded")
	}
}

// FuzzCounts guards against counts that crash the decoder, or that it decodes to another number of counts.
func FuzzCounts(f *testing.F) {
	f.Add(encodeCounts([]float64{1, 2, 3, 4, 5, 6, 7, 8}, 2))
	f.Add([]byte{0, 0, 0, 0, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		if got, err := decodeCounts(data, 2, 4); err == nil && len(got) != 8 {
			t.Errorf("%d counts", len(got))
		}
	})
}
