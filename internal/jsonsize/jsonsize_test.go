package jsonsize

import (
	"encoding/json"
	"errors"
	"runtime"
	"slices"
	"strings"
	"testing"
)

// large has the largest size that an object is charged for.
type large struct{ Fields [256 / 16]string }

func list(element string) string { return "[" + strings.Repeat(element+",", 50_000) + element + "]" }

// TestDecodedBytesIsBound guards against values that take more memory than their texts are charged for.
func TestDecodedBytesIsBound(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		into any
	}{
		"structs":        {list(`{}`), &[]large{}},
		"pointers":       {list(`{}`), &[]*large{}},
		"slices":         {list(`[]`), &[][]int{}},
		"numbers":        {list(`0`), &[]int64{}},
		"empty strings":  {list(`""`), &[]string{}},
		"strings":        {list(`"{[:,\"{[:,"`), &[]string{}},
		"maps":           {list(`{}`), &[]map[string]int{}},
		"members":        {list(`{"a":0}`), &[]map[string]int{}},
		"values by type": {list(`{"a":[0,{}]}`), new(any)},
		"long string":    {`"` + strings.Repeat("a", 1<<20) + `"`, new(string)},
	} {
		t.Run(name, func(t *testing.T) {
			before := heapBytes()
			if err := json.Unmarshal([]byte(c.text), c.into); err != nil {
				t.Fatal(err)
			}
			taken := heapBytes() - before
			if bound := DecodedBytes([]byte(c.text)); taken > bound {
				t.Errorf("%d bytes are taken, %d charged, for a text of %d", taken, bound, len(c.text))
			}
			runtime.KeepAlive(c.into)
		})
	}
}

// heapBytes returns the bytes in use on the heap.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestMeterTakesPieces guards against an estimate that depends on the pieces in which a text arrives.
func TestMeterTakesPieces(t *testing.T) {
	const text = `{"a\\":["\"{[:,",0,{}],"b":"\\\""}`
	want := DecodedBytes([]byte(text)) - int64(len(text)/textSlack)
	for n := 1; n < textSlack; n++ {
		var m Meter
		got := int64(0)
		for piece := range slices.Chunk([]byte(text), n) {
			got = m.Add(piece)
		}
		if got != want {
			t.Errorf("pieces of %d bytes: %d bytes, want %d", n, got, want)
		}
	}
}

// TestUnmarshalRefuses guards against a value above the limit that is decoded, and against strings that count as structure.
func TestUnmarshalRefuses(t *testing.T) {
	var out []large
	if err := Unmarshal([]byte(list(`{}`)), 1<<20, &out); !errors.Is(err, ErrTooLarge) || out != nil {
		t.Errorf("error %v, %d elements", err, len(out))
	}
	var text []string
	if err := Unmarshal([]byte(`["\\","\"{{{{","`+strings.Repeat("{", 1000)+`"]`), 2000, &text); err != nil || len(text) != 3 {
		t.Errorf("error %v, %d strings", err, len(text))
	}
	for _, broken := range []string{"", `"`, `"\`, `"a\"`, `{"a`, "[,"} {
		if err := Unmarshal([]byte(broken), 1<<20, &text); err == nil || errors.Is(err, ErrTooLarge) {
			t.Errorf("%q: error %v", broken, err)
		}
	}
}
