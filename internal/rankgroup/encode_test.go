package rankgroup

import (
	"math"
	"reflect"
	"testing"
)

// TestMapEncoding guards against ranks that load another map than the planned one because its encoding changes it.
func TestMapEncoding(t *testing.T) {
	for _, m := range [][][][]int{{{{0, 2}, {1, 300}}, {{}, {5}}}, {{{7}}}} {
		data, err := encodeMap(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeMap(data)
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%v became %v (%v)", m, got, err)
		}
	}
}

// TestCountEncoding guards against an encoding that biases the counts.
func TestCountEncoding(t *testing.T) {
	before := []int64{10, 10, 10, 0, 0, 0}
	now := []int64{1010, 110, 13, 0, 7, 0}
	sum := make([]float64, len(now))
	const ranks = 4000
	for range ranks {
		got, err := decodeCounts(encodeCounts(now, before, 2), 2, 3)
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
	if got := encodeCounts([]int64{1, 2}, []int64{1, 3}, 1); got != nil {
		t.Error("counts that went down were encoded")
	}
}

// FuzzDecode guards against messages that crash the decoders.
func FuzzDecode(f *testing.F) {
	data, err := encodeMap([][][]int{{{0, 2}, {1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0, 0, 0, 0, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeMap(data)
		if got, err := decodeCounts(data, 2, 4); err == nil && len(got) != 8 {
			t.Errorf("%d counts", len(got))
		}
	})
}
