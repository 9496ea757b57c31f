package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/reqbody"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

// Gateway is the HTTP handler for the requests of callers. All fields but Quarantine, Bodies, Observe, Stop and Regions are
// required.
type Gateway struct {
	HeaderTranslator HeaderTranslator
	Tables           *routetable.Store
	Targets          *targetset.Set
	Balance          *balance.Balancer
	Retries          *retry.FleetBudget
	Pool             *upstream.Pool
	Quarantine       *quarantine.Tracker // nil for a gateway that tracks no parts of prompts
	Bodies           *membudget.Budget   // memory for the bodies of requests in progress; nil for no bound
	Observe          func(*Record)       // receives the record of each request when it has ended; must not block
	Stop             *Stop               // the planned stop of the process; nil if there is none
	Regions          map[string]string   // region of each data centre

	runTimes runTimes
}

const (
	// defaultTimeout is the time limit of requests whose route states none.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds bodies before a configuration states a limit.
	defaultBodyBytes = 1 << 20
	// writeGrace is the time after the deadline of a request within which the caller must have taken its answer.
	writeGrace = 200 * time.Millisecond
	// readyWriteTime is the least time that a caller has to take an answer that is ready, which is also delivered late, or
	// an error of the system itself.
	readyWriteTime = 2 * time.Second
	// noConfigRetryAfter is the retry-after time of callers of a process that has no configuration yet.
	noConfigRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the retry-after time of callers for whose bodies there is no memory. Most requests hold it for less.
	memoryRetryAfter = 500 * time.Millisecond
)

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, call: g.HeaderTranslator.Call(r.Header)}
	x.record = Record{ID: x.call.ID, Started: time.Now()}
	if x.conn = connOf(r); x.conn != nil {
		x.memory = x.conn.memory
		x.conn.headArrived()
	}
	defer func() {
		x.memory.Release()
		x.record.Duration = time.Since(x.record.Started)
		if g.Observe != nil {
			g.Observe(&x.record)
		}
	}()
	if g.Stop.Begun() {
		w.Header().Set("Connection", "close")
	}
	if x.admit() && x.keepConnection() {
		x.run()
	}
}

// keepConnection makes sure that the connection and the memory of the request, which has been received, stay until it has
// ended. It answers the request and returns false if one of them is being taken back.
func (x *exchange) keepConnection() bool {
	if !x.memory.Complete() {
		x.refuseStalled()
		return false
	}
	if x.conn != nil && !x.conn.slot.RunUntilIdle() {
		x.record.setOutcome(OutcomeLeft, ReasonClosed)
		panic(http.ErrAbortHandler)
	}
	return true
}

// exchange is the state of one request of a caller while it is handled.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	conn     *limitedConn // nil if the connection has no limits
	call     Call
	table    *routetable.Table
	route    *routetable.Route
	service  string
	account  *routetable.Account // nil if the route needs no key
	body     []byte
	bodyRead bool
	memory   *membudget.Lease // of the request and the start of its answer; nil for no bound
	ctx      context.Context  // ends when the caller leaves or the deadline passes
	deadline time.Time
	record   Record

	runStarted time.Time // time at which the body had been read

	lease         *balance.Lease // place of the present attempt
	failedTargets map[targetset.Incarnation]bool
	prompt        *quarantine.Prompt // nil if the request states no shared parts of its prompt
	proofEnd      time.Time          // time until which the request waits for its parts to be proven; zero if it has not
	sends         int                // number of attempts in which bytes of the request were sent
	retryTaken    bool               // a retry after the present attempt has been taken from the budget
	headSent      bool               // the head of the answer was sent to the caller
	contentType   string             // of that head
	position                         // of the caller's stream
	mayHaveRun    bool               // a target may have run the request
	truncated     bool               // the answer has begun and cannot be completed, so the caller's connection is aborted

	cancel        context.CancelCauseFunc // ends ctx
	withheld      bool                    // the caller gets the answer of the present attempt when it is complete
	withholdTimer *time.Timer             // ends the request if its stream has been withheld for too long; nil if none is
}

// admit checks the request, finds its route and client account, and reads its body. It answers the request and returns
// false if it cannot be served.
func (x *exchange) admit() bool {
	x.table = x.g.Tables.Load()
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, ReasonNoConfig, noConfigRetryAfter)
		return false
	}
	x.record.ConfigVersion = x.table.Config.Version
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if limit := x.table.Config.Limits.HeaderBytes; limit > 0 && headerBytes(x.r) > limit {
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaders, 0)
		return false
	}
	if x.call.ID == "" || !strings.HasPrefix(path, "/") {
		x.refuse(http.StatusBadRequest, ReasonBadRequest, 0)
		return false
	}
	var ok bool
	if x.route, ok = x.table.Match(x.r.Host, path); !ok {
		x.refuse(http.StatusNotFound, ReasonNoRoute, 0)
		return false
	}
	x.record.Route = x.route.Name
	if x.table.NeedsKey(x.route) {
		if x.account, ok = x.table.Account(x.call.Key); !ok {
			x.refuse(http.StatusUnauthorized, ReasonBadKey, 0)
			return false
		}
		x.record.Account = x.account.Name
	}
	if !x.mayStart() {
		x.refuseUnread()
		return false
	}
	return x.readBody()
}

// readBody reads the whole body, so that the request can be sent more than once. It answers the request and returns
// false if the body is too large, too slow or incomplete.
func (x *exchange) readBody() bool {
	limit := x.table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength == 0 {
		return true
	}
	if x.r.ContentLength > limit {
		x.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
		return false
	}
	if x.memory == nil {
		x.memory = x.g.Bodies.Lease(x.accountName())
	}
	x.memory.SetAccount(x.accountName())
	body, err := x.readBodyInTime(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errStopping):
		x.refuseUnread()
		return false
	case err != nil && x.memory.Revoked():
		x.refuseStalled()
		return false
	case errors.Is(err, reqbody.ErrNoMemory):
		x.w.Header().Set("Connection", "close") // the rest of the body is not read
		x.refuse(http.StatusServiceUnavailable, ReasonMemory, memoryRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestTimeout, ReasonSlowBody, 0)
		return false
	case err != nil:
		x.record.setOutcome(OutcomeLeft, ReasonBody)
		panic(http.ErrAbortHandler)
	}
	x.body, x.bodyRead = body, true
	return true
}

// readBodyInTime reads the body within the time limit of the request.
func (x *exchange) readBodyInTime(limit int64) ([]byte, error) {
	end := x.record.Started.Add(x.timeLimit())
	if err := setBodyDeadline(x.r, end); err != nil {
		return nil, err
	}
	interrupted := x.interruptBody()
	body, err := reqbody.Read(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, limit+1, x.memory)
	if interrupted() && err != nil {
		return nil, errStopping
	}
	if err != nil && !time.Now().Before(end) {
		err = errors.Join(err, os.ErrDeadlineExceeded) // net/http drops the cause if trailers cannot be read
	}
	if err != nil {
		return nil, err // the deadline stays, since the server reads the rest of the body before it closes the connection
	}
	return body, setBodyDeadline(x.r, time.Time{})
}

// timeLimit returns the time that the request may take: the shorter one of the route's and the caller's.
func (x *exchange) timeLimit() time.Duration {
	limit := x.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if x.call.Wait > 0 {
		limit = min(limit, x.call.Wait)
	}
	return limit
}

// limitWrites sets the time by which the answer must be written, so that a caller that does not read cannot keep the request,
// its place and the connection to its target beyond the deadline. The server removes the limit when the answer has been
// written.
func (x *exchange) limitWrites(end time.Time) {
	// An error means that the connection is closed, or that w is not the server's and has no deadlines.
	_ = http.NewResponseController(x.w).SetWriteDeadline(end)
}

// limitReadyWrites sets the time by which an answer that is ready must be written.
func (x *exchange) limitReadyWrites() {
	end := time.Now().Add(readyWriteTime)
	if late := x.deadline.Add(writeGrace); late.After(end) {
		end = late
	}
	x.limitWrites(end)
}

// run makes attempts until the caller has its final answer or has left.
func (x *exchange) run() {
	x.deadline = x.record.Started.Add(x.timeLimit())
	x.limitWrites(x.deadline.Add(writeGrace))
	stoppable, end := context.WithCancelCause(x.r.Context())
	defer end(nil)
	x.cancel = end
	defer x.g.Stop.atEnd(x.endForStop)()
	ctx, cancel := context.WithDeadline(stoppable, x.deadline)
	defer cancel()
	x.ctx = ctx
	x.runStarted = time.Now()
	defer x.noteRunTime()
	x.service = x.route.PickService()
	x.record.Service = x.service
	x.failedTargets = map[targetset.Incarnation]bool{}
	if x.route.Resumable {
		x.lastEventID = x.call.ResumeAfter
	}
	x.prompt = x.g.Quarantine.Prompt(x.service, x.call.PromptParts)
	defer x.prompt.Done()
	x.g.Retries.CountRequest(x.service)
	for x.attempt() {
	}
	if x.truncated || x.record.Outcome == OutcomeLeft {
		x.breakOff() // a caller that has closed only its sending side still reads
	}
	x.endInOrder()
}

// noteRunTime records how long the request took, if a target has answered it or should have.
func (x *exchange) noteRunTime() {
	switch x.record.Outcome {
	case OutcomeServed, OutcomeFailed, OutcomeBroken:
	default:
		return
	}
	took, afterLong := time.Since(x.runStarted), false
	if x.conn != nil {
		afterLong = x.conn.took > x.maxWithheldTime()
		x.conn.took = took
	}
	x.g.runTimes.add(x.route.Name, took, afterLong)
}

// endInOrder lets the connection of an HTTP/1.0 caller end in order, since its answer is complete.
func (x *exchange) endInOrder() {
	c := connOf(x.r)
	if c == nil || x.r.ProtoAtLeast(1, 1) || !x.headSent {
		return
	}
	if err := http.NewResponseController(x.w).Flush(); err == nil {
		c.resetOnClose(false)
	}
}
