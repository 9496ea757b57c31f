package promptcache

// Event is an engine's report that it has stored a prefix in its cache or evicted it.
type Event struct {
	Seq    int // increases by one with each event of the engine
	Stored bool
	Prefix Prefix // Tokens is not needed for an evicted prefix
}

// Observe applies cache events of an engine in their order. Events may arrive late or be lost. After a gap in their
// sequence, what is known from events alone is dropped, since the lost ones may have been evictions.
func (t *Tracker[E]) Observe(id E, events []Event) {
	e := t.engineOf(id)
	for _, ev := range events {
		if ev.Seq <= e.eventSeq {
			continue
		}
		if ev.Seq != e.eventSeq+1 && e.eventSeq > 0 {
			t.dropHinted(e)
		}
		e.eventSeq = ev.Seq
		h := e.find(t.holders[ev.Prefix.Hash])
		switch {
		case ev.Stored && h == nil:
			t.add(e, ev.Prefix).hinted = true
		case !ev.Stored && h != nil && h.inFlight == 0:
			t.drop(h)
		}
	}
}

// dropHinted drops the holdings that are known from events only.
func (t *Tracker[E]) dropHinted(e *engine[E]) {
	next := e.recency.Front()
	for el := next; el != nil; el = next {
		next = el.Next()
		if h := el.Value.(*holding[E]); h.hinted {
			t.drop(h)
		}
	}
}
