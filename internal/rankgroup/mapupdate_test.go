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

// TestRowChanges guards against rows that change in another way than planned.
func TestRowChanges(t *testing.T) {
	for _, c := range []struct{ before, after []int }{
		{[]int{1, 2, 3}, []int{1, 3, 300}}, {[]int{1, 2}, []int{1, 2, 0}}, {[]int{1, 2}, []int{2}}, {[]int{1, 2}, []int{2, 1}},
		{[]int{}, []int{7}}, {[]int{7}, []int{}}, {[]int{1, 2, 3}, []int{4, 5, 6}},
	} {
		base := [][][]int{{{9}, c.before}, {c.before, {9}}}
		next := [][][]int{{{9}, c.after}, {c.after, {9}}}
		got, err := decodeChanges(encodeChanges(base, next), base)
		if err != nil || !reflect.DeepEqual(got, next) {
			t.Errorf("%v became %v, want %v (error %v)", base, got, next, err)
		}
	}
}

// TestChangesOfEarlierRelease guards against a change of a map that fails, instead of being sent completely, while the
// processes of a group are of two releases.
func TestChangesOfEarlierRelease(t *testing.T) {
	known := [][][]int{{{0, 2}, {1}}}
	update, err := changedUpdate(1, known, [][][]int{{{0, 3}, {1}}})
	if err != nil {
		t.Fatal(err)
	}
	if rows, err := inflate(update.Data); err != nil || len(rows) > 0 {
		t.Errorf("an earlier release reads the rows %v (error %v), want none", rows, err)
	}
	update.Changes = nil
	if _, err := update.apply(func(int64) [][][]int { return known }); !errors.Is(err, errNoBaseMap) {
		t.Errorf("changes of an earlier release: error %v, want %v", err, errNoBaseMap)
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
			_, _ = MapUpdate{Data: data, Changes: data, Base: base}.apply(known)
		}
		_, _ = decodeChanges(data, known(1))
	})
}
