package targetset

import (
	"slices"
	"testing"
	"time"
)

// in returns a target in a data centre.
func in(dataCentre, id string) Target {
	t := target(id, 1, 1, false)
	t.DataCentre = dataCentre
	return t
}

// twoCentres returns a set that has read one target in each of the data centres x and y, with the evacuations given.
func twoCentres(evacuations ...Evacuation) *Set {
	s := New()
	s.Replace(at(5), []Target{in("x", "a"), in("y", "b")}, time.Now(), evacuations...)
	return s
}

// evacuated returns the names of the evacuated data centres, and fails the test if the targets in use differ from them.
func evacuated(t *testing.T, s *Set) (out []string) {
	t.Helper()
	for _, e := range s.Snapshot().Evacuations {
		out = append(out, e.DataCentre)
	}
	for id, target := range s.Snapshot().ByID {
		set := slices.Contains(out, target.DataCentre)
		if used(s, id) == set || s.MaySend(target) == set {
			t.Errorf("%s: used %v, may send %v, evacuated %v", id, used(s, id), s.MaySend(target), out)
		}
	}
	return out
}

func start(dataCentre string, revision int64) EvacuationChange {
	return EvacuationChange{DataCentre: dataCentre, Position: at(revision)}
}

func end(dataCentre string, revision int64) EvacuationChange {
	return EvacuationChange{DataCentre: dataCentre, Position: at(revision), Ended: true}
}

// TestEvacuationFollowsOperator guards against requests to an evacuated data centre, and against targets that stay out of use
// after an evacuation has ended: of one data centre, of several in quick succession, of all.
func TestEvacuationFollowsOperator(t *testing.T) {
	for name, c := range map[string]struct {
		read    []Evacuation
		changes []EvacuationChange
		want    []string
	}{
		"read with the list":        {[]Evacuation{{"x", at(4)}}, nil, []string{"x"}},
		"set":                       {nil, []EvacuationChange{start("x", 6)}, []string{"x"}},
		"of all":                    {nil, []EvacuationChange{start("x", 6), start("y", 7)}, []string{"x", "y"}},
		"ended":                     {[]Evacuation{{"x", at(4)}}, []EvacuationChange{end("x", 6)}, nil},
		"moved to another":          {[]Evacuation{{"x", at(4)}}, []EvacuationChange{end("x", 6), start("y", 7)}, []string{"y"}},
		"set and ended together":    {nil, []EvacuationChange{start("x", 6), end("x", 7)}, nil},
		"ended and set together":    {[]Evacuation{{"x", at(4)}}, []EvacuationChange{end("x", 6), start("x", 7)}, []string{"x"}},
		"set twice, ended once":     {nil, []EvacuationChange{start("x", 6), start("x", 7), end("x", 8)}, nil},
		"start before the list":     {nil, []EvacuationChange{start("x", 5)}, nil},
		"end of an earlier one":     {[]Evacuation{{"x", at(8)}}, []EvacuationChange{start("x", 6), end("x", 7)}, []string{"x"}},
		"of a data centre unlisted": {nil, []EvacuationChange{start("z", 6)}, []string{"z"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := twoCentres(c.read...)
			s.Apply(at(9), nil, time.Now(), c.changes...)
			if got := evacuated(t, s); !slices.Equal(got, c.want) {
				t.Errorf("evacuated: %v, want %v", got, c.want)
			}
		})
	}
}

// TestOlderListKeepsEvacuations guards against an older list, such as one of a peer or of an answer that was delayed, that ends
// an evacuation or brings one back.
func TestOlderListKeepsEvacuations(t *testing.T) {
	list := []Target{in("x", "a"), in("y", "b")}
	s := twoCentres(Evacuation{"x", at(8)}) // read shortly after the list
	s.Replace(at(7), list, time.Now())
	if got := evacuated(t, s); !slices.Equal(got, []string{"x"}) {
		t.Errorf("after a list from before the evacuation: %v", got)
	}
	s.Apply(at(10), nil, time.Now(), end("x", 9))
	s.Replace(at(8), list, time.Now(), Evacuation{"x", at(8)})
	if got := evacuated(t, s); len(got) > 0 {
		t.Errorf("after a list from before the end: %v", got)
	}
	s.Replace(at(11), list, time.Now(), Evacuation{"y", at(11)})
	s.Replace(at(12), list, time.Now())
	if got := evacuated(t, s); len(got) > 0 {
		t.Errorf("after a list without evacuations: %v", got)
	}
}

// TestEvacuationSurvivesRestoration guards against requests to an evacuated data centre after the platform's list was restored
// from a copy without the evacuation, and against one that the operator does not set again and that never ends.
func TestEvacuationSurvivesRestoration(t *testing.T) {
	now := time.Now()
	list := []Target{inEra(in("x", "a"), 1), inEra(in("y", "b"), 1)}
	restored := func() *Set {
		s := twoCentres(Evacuation{"x", at(4)})
		s.Replace(Position{1, 3}, list, now)
		if got := evacuated(t, s); !slices.Equal(got, []string{"x"}) {
			t.Errorf("after the restoration: %v", got)
		}
		return s
	}
	lapsed := now.Add(evacuationRewriteTime)
	t.Run("set again and ended", func(t *testing.T) {
		s := restored()
		s.Apply(Position{1, 4}, nil, now, EvacuationChange{"x", Position{1, 4}, false})
		s.Expire(lapsed)
		if got := evacuated(t, s); !slices.Equal(got, []string{"x"}) {
			t.Errorf("set again: %v", got)
		}
		s.Apply(Position{1, 5}, nil, now, EvacuationChange{"x", Position{1, 5}, true})
		if got := evacuated(t, s); len(got) > 0 {
			t.Errorf("ended: %v", got)
		}
	})
	t.Run("ended at once", func(t *testing.T) {
		s := restored()
		s.Apply(Position{1, 4}, nil, now, EvacuationChange{"x", Position{1, 4}, true})
		if got := evacuated(t, s); len(got) > 0 {
			t.Errorf("ended: %v", got)
		}
	})
	t.Run("not set again", func(t *testing.T) {
		s, peer := restored(), restored()
		waits := s.Snapshot().Evacuations
		s.Expire(lapsed)
		if got := evacuated(t, s); len(got) > 0 {
			t.Errorf("after the time for it: %v", got)
		}
		s.Replace(Position{1, 6}, list, lapsed, waits...) // from a peer that learned of the restoration later
		if got := evacuated(t, s); len(got) > 0 {
			t.Errorf("set by a peer that still waits: %v", got)
		}
		peer.Replace(Position{1, 6}, list, lapsed.Add(-time.Second))
		if got := evacuated(t, peer); !slices.Equal(got, []string{"x"}) {
			t.Errorf("ended by a peer that no longer waits: %v", got)
		}
	})
	t.Run("in the copy", func(t *testing.T) {
		s := twoCentres()
		s.Replace(Position{1, 3}, list, now, Evacuation{"x", Position{1, 2}})
		s.Expire(lapsed)
		if got := evacuated(t, s); !slices.Equal(got, []string{"x"}) {
			t.Errorf("evacuated: %v", got)
		}
	})
}

// TestEvacuationEvents guards against changes that operators do not learn of.
func TestEvacuationEvents(t *testing.T) {
	s := New()
	var got []EvacuationEvent
	s.Notify = func(e EvacuationEvent) { got = append(got, e) }
	s.Replace(at(5), []Target{in("x", "a"), in("y", "b")}, time.Now())
	s.Apply(at(7), nil, time.Now(), start("x", 6), start("x", 7))
	s.Apply(at(8), nil, time.Now(), end("x", 8))
	want := []EvacuationEvent{{EvacuationSet, "x", at(5), 1}, {EvacuationEnded, "x", at(7), 1}}
	if !slices.Equal(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}
