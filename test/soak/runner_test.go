package soak_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// manner is how a target answers.
type manner int32

// Manners of targets.
const (
	sound     manner = iota
	full             // refuses, and says that the request did not run
	failing          // runs the request and answers 500
	resetting        // runs the request and resets the connection
	truncating
	extra // answers, and sends a second answer that belongs to no request
	slow
	manners
)

const (
	eventPause = 20 * time.Millisecond
	slowPause  = 300 * time.Millisecond
	maxEvents  = 25
	// callTime is the time after which a call to an engine that stays unanswered ends.
	callTime = 500 * time.Millisecond
)

// runner is one target behind a link that can fail.
type runner struct {
	id, service string
	world       *world
	target      *target.Target
	rank        *expertgroup.Rank // nil outside of the group
	link        *faultproxy.Link
	manner      atomic.Int32
	running     atomic.Int32
	listed      bool // and may be made to leave; guarded by the world's lock
	once        sync.Once
}

// join starts a target and puts it on the platform's list.
func (w *world) join(service string, rank *expertgroup.Rank) *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.named++
	r := &runner{id: fmt.Sprintf("i-%d", w.named), service: service, world: w, rank: rank, listed: true}
	var err error
	if r.target, err = target.Start(r.answer); err != nil {
		w.t.Fatal(err)
	}
	if r.link, err = faultproxy.New(r.target.Addr); err != nil {
		w.t.Fatal(err)
	}
	r.list("ready")
	w.runners = append(w.runners, r)
	return r
}

func (r *runner) list(state string) {
	r.world.store.Put("servers/"+r.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v","slots":%d,"state":%q,"born":1}`,
		r.service, r.link.Addr(), slots, state))
}

// leave tells through the platform's list that a target leaves, as draining or by taking it off.
func (w *world) leave(r *runner, announced bool) {
	if announced {
		r.list("draining")
	} else {
		w.store.Delete("servers/" + r.id)
	}
	w.ledger.locked(func() { w.ledger.leaves[r.id] = time.Now() })
}

func (r *runner) close() {
	r.once.Do(func() {
		r.target.Close()
		r.link.Close()
	})
}

// eventsOf is the length of the stream that answers a request.
func eventsOf(id string) int { return 5 + int(xxhash.Sum64String(id)%(maxEvents-5)) }

func bodyOf(id, body string) string { return "ran " + id + " " + body }

func eventOf(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// answer runs one request in the present manner.
func (r *runner) answer(c net.Conn, a target.Arrival) bool {
	if strings.HasPrefix(a.URI, "/-/") {
		return r.engine(c, a)
	}
	id := a.Header.Get(target.HeaderID)
	m := manner(r.manner.Load())
	resume, _ := strconv.Atoi(a.Header.Get("Last-Event-Id"))
	ms, _ := strconv.Atoi(a.Header.Get("X-Camphorbank-Deadline-Ms"))
	seen := run{Target: r.id, Service: r.service, At: time.Now(), Method: a.Method, URI: a.URI, Body: a.Body, ResumeAfter: resume,
		Account: a.Header.Get("X-Camphorbank-Tenant-Id"), Left: time.Duration(ms) * time.Millisecond}
	busy := r.running.Add(1)
	defer r.running.Add(-1)
	if seen.RefusedUnstarted = m == full || busy > 2*slots || r.rank != nil && !r.rank.Status().Open; seen.RefusedUnstarted {
		r.world.ledger.ran(id, seen)
		return target.Full()(c, a)
	}
	r.world.ledger.ran(id, seen)
	if m == slow {
		time.Sleep(slowPause)
	}
	switch {
	case m == failing:
		return target.Answer(http.StatusInternalServerError, "failed")(c, a)
	case m == resetting:
		return target.Reset()(c, a)
	case strings.HasPrefix(a.URI, "/draft/"):
		return r.stream(c, id, resume, m == truncating)
	case m == truncating:
		return r.write(c, id, len(bodyOf(id, a.Body))+1, bodyOf(id, a.Body)) && false
	}
	keep := r.write(c, id, len(bodyOf(id, a.Body)), bodyOf(id, a.Body))
	if m == extra {
		return r.write(c, "nobody", 5, "extra")
	}
	return keep
}

// engine serves a call to the engine itself.
func (r *runner) engine(c net.Conn, a target.Arrival) (keep bool) {
	if r.rank == nil {
		return target.Answer(http.StatusNotFound, "")(c, a)
	}
	ctx, stop := context.WithTimeout(context.Background(), callTime)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, a.Method, a.URI, strings.NewReader(a.Body))
	if err != nil {
		return false
	}
	defer func() {
		if recover() != nil {
			keep = false // the call stays unanswered
		}
	}()
	out := httptest.NewRecorder()
	r.rank.ServeHTTP(out, req)
	_, err = fmt.Fprintf(c, "HTTP/1.1 %d .\r\nContent-Length: %d\r\n\r\n%s", out.Code, out.Body.Len(), out.Body)
	return err == nil
}

func (r *runner) write(c net.Conn, id string, length int, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s",
		target.HeaderID, id, target.HeaderStamp, length, body)
	return err == nil
}

// stream sends the events after the one named, and breaks off in the middle of an event if told so.
func (r *runner) stream(c net.Conn, id string, after int, cut bool) bool {
	last := eventsOf(id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		target.HeaderID, id, target.HeaderStamp)
	for n := after + 1; n <= last; n++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventOf(id, n))
		if cut && n == after+(last-after)/2 {
			event = event[:len(event)-3]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
