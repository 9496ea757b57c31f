// Package store is a stand-in for the platform's store: items with revisions, ranges in pages, watches, a history that
// can be dropped, and outages.
package store

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is one entry as the store shows it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Mode is how the store answers.
type Mode int

// Modes.
const (
	Up     Mode = iota
	Busy        // 503
	Many        // 429
	Reset       // connections are reset
	Silent      // no answer
)

// pageItems is the size of a page, small so that tests need several.
const pageItems = 3

// Store is one store. It is safe for concurrent use.
type Store struct {
	Server *httptest.Server

	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision int64
	dropped  int64 // revision up to which history is gone
	mode     Mode
	calls    int
	changed  chan struct{}
}

// Start serves a store on loopback.
func Start() *Store {
	s := &Store{items: map[string]Item{}, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	return s
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return strings.TrimPrefix(s.Server.URL, "http://") }

// Close ends the store.
func (s *Store) Close() {
	s.SetMode(Reset)
	s.Server.CloseClientConnections()
	s.Server.Close()
}

// Put writes an item.
func (s *Store) Put(key, value string) { s.write(Item{Key: key, Value: []byte(value)}) }

// Delete removes an item.
func (s *Store) Delete(key string) { s.write(Item{Key: key, Deleted: true}) }

func (s *Store) write(i Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory discards all history and cuts the watches.
func (s *Store) DropHistory() {
	s.mu.Lock()
	s.dropped, s.history = s.revision, nil
	s.mu.Unlock()
	s.Server.CloseClientConnections()
}

// SetMode changes how the store answers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements the store's interface.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	if !up(w, r, mode) {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-key":
		s.key(w, q.Get("key"))
	case "/-/kv-range":
		s.page(w, q.Get("prefix"), q.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func up(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Many:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
	}
	return mode == Up
}

func (s *Store) key(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	write(w, i)
}

func (s *Store) page(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := struct {
		Items   []Item `json:"items"`
		HasMore bool   `json:"has_more"`
		At      int64  `json:"at"`
	}{HasMore: len(keys) > pageItems, At: s.revision}
	for _, k := range keys[:min(pageItems, len(keys))] {
		out.Items = append(out.Items, s.items[k])
	}
	write(w, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, mode := s.changed, s.mode
		if mode == Up && after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []Item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at := s.revision
		s.mu.Unlock()
		if !up(w, r, mode) {
			return
		}
		if len(events) > 0 || wait <= 0 {
			write(w, struct {
				Events []Item `json:"events"`
				At     int64  `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that left needs no answer
}
