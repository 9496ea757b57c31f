package decision

import "sync"

// Ring is a ring buffer of the latest records. It is safe for concurrent use. A nil Ring keeps nothing.
type Ring struct {
	mu      sync.Mutex
	records []Record
	next    int            // index of the oldest record once the ring is full
	byID    map[string]int // index of the latest record of each request id
}

// NewRing returns a ring of at most size records. size must be positive.
func NewRing(size int) *Ring {
	return &Ring{records: make([]Record, 0, size), byID: make(map[string]int, size)}
}

// Add adds a record and drops the oldest one if the ring is full.
func (r *Ring) Add(rec Record) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) < cap(r.records) {
		r.records = append(r.records, rec)
		r.byID[rec.RequestID] = len(r.records) - 1
		return
	}
	if old := r.records[r.next].RequestID; r.byID[old] == r.next {
		delete(r.byID, old)
	}
	r.records[r.next] = rec
	r.byID[rec.RequestID] = r.next
	r.next = (r.next + 1) % len(r.records)
}

// Find returns the latest record of the request, and reports whether there is one.
func (r *Ring) Find(requestID string) (Record, bool) {
	if r == nil {
		return Record{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.byID[requestID]
	if !ok {
		return Record{}, false
	}
	return r.records[i], true
}
