// Package store is a stand-in for the key-value store of the platform. It serves items with revisions, ranges in pages
// and watches. Tests can discard its history and make it unavailable in several ways.
package store

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key with its value and revision, as the store returns it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Mode selects how the store answers calls.
type Mode int

// Modes of the store.
const (
	Up              Mode = iota // calls are served
	Busy                        // 503 Service Unavailable
	TooManyRequests             // 429 Too Many Requests
	Reset                       // the connection is closed without a response
	Silent                      // no answer until the caller gives up
)

// HeaderEra is the header that states how often the store was restored from a copy.
const HeaderEra = "Store-Era"

// pageItems is the maximum number of items of a page. It is small so that tests read several pages.
const pageItems = 3

// Store is a key-value store with an HTTP server. It is safe for concurrent use.
type Store struct {
	Server *httptest.Server

	mu              sync.Mutex
	items           map[string]Item
	history         []Item
	revision        int64
	droppedRevision int64  // revision up to which the history was discarded
	era             string // value of the header HeaderEra; not sent if empty
	restorations    int
	mode            Mode
	afterFirstPage  func() // see AfterFirstPage
	calls           int
	changed         chan struct{}
}

// Start serves a store on loopback.
func Start() *Store {
	s := &Store{items: map[string]Item{}, changed: make(chan struct{})}
	s.Server = httptest.NewServer(s)
	return s
}

// Addr returns the address of the store.
func (s *Store) Addr() string { return strings.TrimPrefix(s.Server.URL, "http://") }

// Close closes all connections and stops the server.
func (s *Store) Close() {
	s.SetMode(Reset)
	s.Server.CloseClientConnections()
	s.Server.Close()
}

// Put sets the value of a key.
func (s *Store) Put(key, value string) { s.addItem(Item{Key: key, Value: []byte(value)}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.addItem(Item{Key: key, Deleted: true}) }

func (s *Store) addItem(i Item) {
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
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory discards the history and closes all connections, which interrupts the watches.
func (s *Store) DropHistory() {
	s.mu.Lock()
	s.droppedRevision, s.history = s.revision, nil
	s.mu.Unlock()
	s.Server.CloseClientConnections()
}

// DeleteUnseen removes a key so that no watch sees the change: it closes all connections, removes the key and discards the
// history, and serves no call in between.
func (s *Store) DeleteUnseen(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Server.CloseClientConnections()
	s.revision++
	delete(s.items, key)
	s.droppedRevision, s.history = s.revision, nil
}

// Copy is the content of a store at one time.
type Copy struct {
	items    map[string]Item
	revision int64
}

// Copy returns the present content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.items), s.revision}
}

// Restore replaces the content of the store by a copy. Revisions that were given out since are given out again. It closes
// all connections, which interrupts the watches.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	s.items, s.revision = maps.Clone(c.items), c.revision
	s.droppedRevision, s.history = c.revision, nil
	s.restorations++
	s.era = strconv.Itoa(s.restorations)
	s.wakeWatches()
	s.mu.Unlock()
	s.Server.CloseClientConnections()
}

// SetEra changes the value of the header HeaderEra. The header is not sent if the value is empty.
func (s *Store) SetEra(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = value
}

// SetMode changes how the store answers.
func (s *Store) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.wakeWatches()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP serves the HTTP interface of the store.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	w = &eraWriter{ResponseWriter: w, store: s}
	if !applyMode(w, r, mode) {
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/-/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// applyMode answers the call as the mode demands, or not at all. It reports whether the call is to be served.
func applyMode(w http.ResponseWriter, r *http.Request, mode Mode) bool {
	switch mode {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		panic(http.ErrAbortHandler)
	case Silent:
		<-r.Context().Done()
	}
	return mode == Up
}

// eraWriter adds the present era to each answer.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

func (w *eraWriter) WriteHeader(status int) {
	w.addEra()
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(p []byte) (int, error) {
	w.addEra()
	return w.ResponseWriter.Write(p)
}

func (w *eraWriter) addEra() {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	if w.store.era != "" {
		w.Header().Set(HeaderEra, w.store.era)
	}
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	i, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, i)
}

// AfterFirstPage calls f once, when the first page of a range of several pages has been read and not yet sent.
func (s *Store) AfterFirstPage(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterFirstPage = f
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	p := s.page(prefix, after)
	if p.HasMore && after == "" {
		s.mu.Lock()
		f := s.afterFirstPage
		s.afterFirstPage = nil
		s.mu.Unlock()
		if f != nil {
			f()
		}
	}
	writeJSON(w, p)
}

// page is one page of a range.
type page struct {
	Items   []Item `json:"items"`
	HasMore bool   `json:"has_more"`
	At      int64  `json:"at"`
}

func (s *Store) page(prefix, after string) page {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := page{HasMore: len(keys) > pageItems, At: s.revision}
	for _, k := range keys[:min(pageItems, len(keys))] {
		out.Items = append(out.Items, s.items[k])
	}
	return out
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, mode := s.changed, s.mode
		if mode == Up && (after < s.droppedRevision || after > s.revision) {
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
		if !applyMode(w, r, mode) {
			return
		}
		if len(events) > 0 || wait <= 0 {
			writeJSON(w, struct {
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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has closed the connection
}
