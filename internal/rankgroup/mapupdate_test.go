package rankgroup

import (
	"errors"
	"reflect"
	"testing"
)

// TestMapEncoding guards against ranks that load another map than the planned one because its encoding changes it.
func TestMapEncoding(t *testing.T) {
	for _, m := range [][][][]int{{{{0, 2}, {1, 300}}, {{}, {5}}}, {{{7}}}} {
		update, err := completeUpdate(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := update.apply(func(int64) [][][]int { return nil })
		if err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%v became %v (%v)", m, got, err)
		}
	}
}

// TestMapChanges guards against ranks that apply changes to another map than the one that they were made for.
func TestMapChanges(t *testing.T) {
	base := [][][]int{{{0, 2}, {1, 3}}, {{0, 1}, {2, 3}}}
	next := [][][]int{{{0, 2}, {1, 0}}, {{0, 1}, {3, 1}}}
	update, err := changedUpdate(4, base, next)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		known [][][]int
		want  error
	}{
		"the same map": {base, nil},
		"another map":  {[][][]int{{{0, 2}, {1, 3}}, {{1, 0}, {2, 3}}}, errNoBaseMap},
		"no map":       {nil, errNoBaseMap},
		"a small map":  {[][][]int{{{0, 2}}}, errMalformedMap},
	} {
		got, err := update.apply(func(int64) [][][]int { return c.known })
		if !errors.Is(err, c.want) || err == nil && !reflect.DeepEqual(got, next) {
			t.Errorf("%s: got %v, error %v, want %v", name, got, err, c.want)
		}
	}
	if base[0][1][1] != 3 {
		t.Error("the base map was changed")
	}
}

// FuzzMapUpdate guards against updates that crash the decoder.
func FuzzMapUpdate(f *testing.F) {
	update, err := completeUpdate([][][]int{{{0, 2}, {1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(update.Data)
	f.Add([]byte{0, 0, 0, 0, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		known := func(int64) [][][]int { return [][][]int{{{0, 2}, {1}}} }
		for _, base := range []int64{completeMap, 1} {
			_, _ = MapUpdate{Data: data, Base: base}.apply(known)
		}
	})
}
