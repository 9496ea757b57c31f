package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// eventPause is the pause between two events of a stream.
const eventPause = 100 * time.Millisecond

// run is one request that a runner has run.
type run struct {
	id, runner   string
	began, ended time.Time
	sentAll      bool // the runner has sent its whole answer
}

// runner is a sound stand-in for a server of a streaming service. A request's body states how many events it takes. A
// stream that may be resumed goes on after Last-Event-Id.
type runner struct {
	id, addr string
	rec      *record
	slots    chan struct{}

	mu   sync.Mutex
	runs map[string]*run // by request id
}

func startRunner(rec *record, id string, slots int) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, addr: l.Addr().String(), rec: rec, slots: make(chan struct{}, slots), runs: map[string]*run{}}
	server := &http.Server{Handler: r, IdleTimeout: 20 * time.Second}
	go func() { _ = server.Serve(l) }()
	return r, nil
}

// entry returns the value of the runner's key in the store.
func (r *runner) entry(service, zone, state string) []byte {
	v, _ := json.Marshal(map[string]any{"service": service, "address": r.addr, "zone": zone, "version": 1, "slots": cap(r.slots),
		"state": state, "cold_remaining_ms": 0, "sequence": 0, "born": r.rec.start.UnixMilli()})
	return v
}

func (r *runner) find(id string) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Camphorbank-Request-Id")
	w.Header().Set("X-Camphorbank-Request-Id", id)
	if want := q.Header.Get("X-Camphorbank-Target-Instance"); want != "" && want != r.id {
		w.Header().Set("X-Camphorbank-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-q.Context().Done():
		return
	}
	events, _ := strconv.Atoi(string(body))
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	x := &run{id: id, runner: r.id, began: time.Now()}
	r.mu.Lock()
	r.runs[id] = x
	r.mu.Unlock()
	w.Header().Set("X-Camphorbank-Server-Stamp", fmt.Sprintf("3e1b.07.5a2.%d.0.%s", events, id))
	w.Header().Set("Content-Type", "text/event-stream")
	whole := r.stream(w, q, events, first)
	r.mu.Lock()
	defer r.mu.Unlock()
	x.ended, x.sentAll = time.Now(), whole
}

// stream sends the events after the first ones. It reports whether it has sent all.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, events, first int) bool {
	flush := http.NewResponseController(w)
	for n := first + 1; n <= events; n++ {
		select {
		case <-time.After(eventPause):
		case <-q.Context().Done():
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, events); err != nil {
			return false
		}
		if err := flush.Flush(); err != nil {
			return false
		}
	}
	return true
}
