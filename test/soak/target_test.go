package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/standin/endless"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// answerMode selects how a target answers requests.
type answerMode int32

// Answer modes of targets.
const (
	sound       answerMode = iota // executes the request and answers correctly
	refusing                      // refuses the request and states that it was not executed
	failing                       // executes the request and answers 500
	resetting                     // executes the request and resets the connection
	truncating                    // executes the request and sends an incomplete response
	extraAnswer                   // answers, and sends a second response that belongs to no request
	slow                          // answers after slowPause
	quiet                         // refuses the request and wants no other one for quietTime
	endlessHead                   // executes the request and sends header lines until the connection is closed
	unframed                      // answers correctly, without a length or chunks, and closes the connection in order
	unframedCut                   // like unframed, but closes or resets the connection of a stream inside an event
	// Modes that answer the continuation of a stream wrongly. Half of the new streams end inside an event, so that there
	// are continuations. Whole answers are correct.
	failContinuation  // 500 with an empty body
	emptyContinuation // an unframed stream without an event
	beginAgain        // the stream from its first event
	answerModes       // number of modes
)

const (
	eventPause = 20 * time.Millisecond
	slowPause  = 300 * time.Millisecond
	quietTime  = 1500 * time.Millisecond
	maxEvents  = 25
	// engineCallTimeout is the time after which an unanswered call to an engine ends.
	engineCallTimeout = 500 * time.Millisecond
)

// proxiedTarget is a target that is reached through a link on which tests inject faults.
type proxiedTarget struct {
	id, service string
	dataCentre  string
	born        int64 // on the platform's list
	system      *system
	target      *target.Target
	rank        *expertgroup.Rank // nil if the target is not in the group
	link        *faultproxy.Link
	mode        atomic.Int32
	leaving     atomic.Bool // says in all answers that it leaves
	crashed     atomic.Bool // a part of a prompt has crashed it
	running     atomic.Int32
	beside      atomic.Pointer[node] // process beside the engine; nil if the target is not in the group
	// ownConnections states for connections whether they are from that process.
	ownConnections sync.Map
	state          string // on the platform's list; empty if it is not listed; guarded by system.mu
	listed         bool   // on the platform's list and not chosen to leave; guarded by system.mu
	once           sync.Once
}

var targetAddresses atomic.Uint32

// newTargetAddress returns an address with a free port on a loopback IP address of its own. The port of a target that has
// ended is thus not given to another target, which would get the requests of entries that do not know of the end yet.
func newTargetAddress() string {
	const perByte = 250
	n := targetAddresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%perByte, n/perByte, 1+n%perByte)
}

// addTarget starts a target and adds it to the platform's list.
func (w *system) addTarget(service string, rank *expertgroup.Rank) *proxiedTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targetCount++
	r := &proxiedTarget{id: fmt.Sprintf("i-%d", w.targetCount), born: 1, service: service, system: w, rank: rank, listed: true,
		dataCentre: dataCentreOf(service, w.targetCount)}
	if err := r.start(newTargetAddress()); err != nil {
		w.t.Fatal(err)
	}
	w.targets = append(w.targets, r)
	return r
}

// start starts the target behind a link that listens on addr, and adds it to the platform's list. The caller holds
// system.mu.
func (r *proxiedTarget) start(addr string) (err error) {
	if r.target, err = target.Start(r.answer); err != nil {
		return err
	}
	if r.link, err = faultproxy.NewAt(addr, r.target.Addr); err != nil {
		return err
	}
	r.publishState("ready")
	return nil
}

// publishState writes the target with the given state to the platform's list, or removes it if the state is empty. The
// caller holds system.mu.
func (r *proxiedTarget) publishState(state string) {
	r.state = state
	if state == "" {
		r.system.store.Delete("servers/" + r.id)
		return
	}
	r.system.store.Put("servers/"+r.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v","slots":%d,"state":%q,"born":%d}`,
		r.service, r.link.Addr(), r.dataCentre, slots, state, r.born))
}

// setState changes the state of the target on the platform's list.
func (r *proxiedTarget) setState(state string) {
	r.system.mu.Lock()
	defer r.system.mu.Unlock()
	r.publishState(state)
}

// beginLeave marks a target as draining on the platform's list if announced is set, and otherwise removes it from the
// list. It records the time at which the target began to leave.
func (w *system) beginLeave(r *proxiedTarget, announced bool) {
	if announced {
		r.setState("draining")
	} else {
		r.setState("")
	}
	w.recorder.locked(func() { w.recorder.leaveBeganAt[r.id] = time.Now() })
}

func (r *proxiedTarget) close() {
	r.once.Do(func() {
		r.target.Close()
		r.link.Close()
	})
}

// eventCount returns the number of events in the stream that answers a request.
func eventCount(id string) int { return 5 + int(xxhash.Sum64String(id)%(maxEvents-5)) }

// expectedBody returns the body of a correct response to a request.
func expectedBody(id, body string) string { return "ran " + id + " " + body }

// expectedEvent returns the data of event n of a correct stream.
func expectedEvent(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// answer records one request and answers it in the current mode.
func (r *proxiedTarget) answer(c net.Conn, a target.Arrival) bool {
	if strings.HasPrefix(a.URI, "/-/") {
		return r.serveEngineCall(c, a)
	}
	if r.crashed.Load() {
		return false
	}
	id := a.Header.Get(target.HeaderID)
	m := answerMode(r.mode.Load())
	resume, _ := strconv.Atoi(a.Header.Get("Last-Event-Id"))
	ms, _ := strconv.Atoi(a.Header.Get("X-Camphorbank-Deadline-Ms"))
	seen := targetRequest{Target: r.id, Service: r.service, DataCentre: r.dataCentre, At: time.Now(), Method: a.Method, URI: a.URI, Body: a.Body, ResumeAfter: resume,
		Prompt: a.Header.Get(promptHeader), Account: a.Header.Get("X-Camphorbank-Tenant-Id"), RemainingTime: time.Duration(ms) * time.Millisecond}
	busy := r.running.Add(1)
	defer r.running.Add(-1)
	if m == quiet {
		seen.RefusedUnstarted, seen.QuietFor = true, quietTime
		r.system.recorder.addTargetRequest(id, seen)
		return r.raw(c, id, fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: 1\r\nRetry-After: %g\r\nContent-Length: 0\r\n", target.HeaderNotRun, quietTime.Seconds()))
	}
	if seen.RefusedUnstarted = m == refusing || busy > 2*slots || r.rank != nil && !r.rank.Status().Open; seen.RefusedUnstarted {
		r.system.recorder.addTargetRequest(id, seen)
		return target.RefuseNotRun()(c, a)
	}
	r.system.recorder.addTargetRequest(id, seen)
	if m == slow {
		time.Sleep(slowPause)
	}
	switch {
	case m == failing:
		return target.Answer(http.StatusInternalServerError, "failed")(c, a)
	case m == resetting:
		return target.Reset()(c, a)
	case m == endlessHead:
		return sendEndless(c, endless.Answer{Start: "HTTP/1.1 200 OK\r\n", Again: "X-More: a\r\n"})
	case r.service != "desk":
		return r.answerStream(c, a, m, resume)
	case m == truncating:
		return r.write(c, id, len(expectedBody(id, a.Body))+1, expectedBody(id, a.Body)) && false
	case m == unframed || m == unframedCut:
		// The answer is never cut: one without a length or chunks that ends early cannot be told from a complete one.
		return r.write(c, id, noLength, expectedBody(id, a.Body)) && false
	}
	keep := r.write(c, id, len(expectedBody(id, a.Body)), expectedBody(id, a.Body))
	if m == extraAnswer {
		return r.write(c, "nobody", 5, "extra")
	}
	return keep
}

// serveEngineCall answers a call to the engine's own interface. It reports whether the connection stays open.
func (r *proxiedTarget) serveEngineCall(c net.Conn, a target.Arrival) (keep bool) {
	if r.rank == nil {
		return target.Answer(http.StatusNotFound, "")(c, a)
	}
	if r.system.endlessEngines.Load() > 0 && rand.IntN(endlessPeriod) == 0 {
		return sendEndless(c, endless.Answers[rand.IntN(len(endless.Answers))])
	}
	ctx, stop := context.WithTimeout(context.Background(), engineCallTimeout)
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
	if a.URI == expertgroup.ReportPath {
		r.rank.ServeReport(out, req, func() expertgroup.Status { return r.reportedState(c) })
	} else {
		r.rank.ServeHTTP(out, req)
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 %d .\r\nContent-Length: %d\r\n\r\n%s", out.Code, out.Body.Len(), out.Body)
	return err == nil
}

// raw sends the head of an answer, to which it adds the id, and the target's leave if it leaves.
func (r *proxiedTarget) raw(c net.Conn, id, head string) bool {
	if r.leaving.Load() {
		head += leavingHeader + ": 1\r\n"
	}
	_, err := fmt.Fprintf(c, "%s%s: %s\r\n\r\n", head, target.HeaderID, id)
	return err == nil
}

// leavingHeader is the header of the answers of a target that leaves.
const leavingHeader = "Server-Leaving"

// sendEndless sends an answer without end until the connection is closed.
func sendEndless(c net.Conn, a endless.Answer) bool {
	_, err := io.WriteString(c, a.Start)
	for again := strings.Repeat(a.Again, 1+4096/len(a.Again)); err == nil; {
		_, err = io.WriteString(c, again)
	}
	return false
}

// noLength makes write send an answer without a length, which ends with its connection.
const noLength = -1

func (r *proxiedTarget) write(c net.Conn, id string, length int, body string) bool {
	framing := ""
	if length != noLength {
		framing = fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	if !r.raw(c, id, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\n%s", target.HeaderStamp, targetHeader, r.id, framing)) {
		return false
	}
	_, err := io.WriteString(c, body)
	return err == nil
}

// targetHeader is a header in which the targets of this test state their ids to clients.
const targetHeader = "X-Target"

// streamEnd is how a stream ends.
type streamEnd int

// Ends of streams.
const (
	wholeStream streamEnd = iota
	closedInEvent
	resetInEvent
)

// answerStream answers a request for a stream, which continues after the event number after.
func (r *proxiedTarget) answerStream(c net.Conn, a target.Arrival, m answerMode, after int) bool {
	id := a.Header.Get(target.HeaderID)
	choice := xxhash.Sum64String("mode " + id)
	end, connectionEnds := wholeStream, m == unframed || m == unframedCut
	switch {
	case m == truncating:
		end = closedInEvent
	case m == unframedCut:
		end = closedInEvent + streamEnd(choice%2)
	case m < failContinuation:
	case after == 0:
		end, connectionEnds = streamEnd(choice%4), choice%8 < 4
		if end > resetInEvent {
			end = wholeStream
		}
	case m == failContinuation:
		return target.Answer(http.StatusInternalServerError, "")(c, a)
	case m == emptyContinuation:
		after, connectionEnds = eventCount(id), true
	default:
		after, connectionEnds = 0, choice%8 < 4
	}
	return r.stream(c, a, after, connectionEnds, end)
}

// stream sends the events that follow the event number after, in chunks or until the connection ends. If a part of the
// prompt crashes engines, it ends the target before the answer or after the first event. The connection is then reset,
// since an answer without a length or chunks that is closed in order between events counts as complete.
func (r *proxiedTarget) stream(c net.Conn, a target.Arrival, after int, connectionEnds bool, end streamEnd) bool {
	id := a.Header.Get(target.HeaderID)
	last, part := eventCount(id), r.system.crashingPart(a.Header.Get(promptHeader))
	if part != "" {
		time.Sleep(eventPause)
		if xxhash.Sum64String("crash "+id)%2 == 0 {
			r.crashOn(part)
			return target.Reset()(c, a)
		}
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n", target.HeaderStamp, targetHeader, r.id)
	encode := func(event string) string { return event }
	if !connectionEnds {
		head += "Transfer-Encoding: chunked\r\n"
		encode = func(event string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(event), event) }
	}
	if !r.raw(c, id, head) {
		return false
	}
	for n := after + 1; n <= last; n++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, expectedEvent(id, n))
		cut := end != wholeStream && n == after+(last-after)/2
		if cut {
			event = event[:len(event)-3]
		}
		if _, err := io.WriteString(c, encode(event)); err != nil {
			return false
		}
		if cut && end == resetInEvent {
			time.Sleep(eventPause) // a reset discards what has not been delivered
			return target.Reset()(c, a)
		}
		if cut {
			return false
		}
		if part != "" {
			time.Sleep(eventPause)
			r.crashOn(part)
			return target.Reset()(c, a)
		}
	}
	if connectionEnds {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
