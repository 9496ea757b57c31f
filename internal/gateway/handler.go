package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

// Gateway serves callers. All fields but Observe are required.
type Gateway struct {
	Dialect Dialect
	Tables  *routetable.Store
	Targets *targetset.Set
	Balance *balance.Balancer
	Retries *retry.Fleet
	Pool    *upstream.Pool
	Observe func(*Record) // is told each request once it has ended; must not block
	// Closing says whether connections end with their present answer.
	Closing func() bool
}

const (
	// defaultWait bounds requests whose route and caller state no time.
	defaultWait = 30 * time.Second
	// defaultBodyBytes bounds bodies before a configuration states a limit.
	defaultBodyBytes = 1 << 20
	// startWait is when callers may come back to a process that knows no configuration yet.
	startWait = 300 * time.Millisecond
)

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, call: g.Dialect.Call(r.Header)}
	x.record = Record{ID: x.call.ID, Started: time.Now()}
	defer func() {
		x.record.Duration = time.Since(x.record.Started)
		if g.Observe != nil {
			g.Observe(&x.record)
		}
	}()
	if g.Closing != nil && g.Closing() {
		w.Header().Set("Connection", "close")
	}
	if x.admit() {
		x.run()
	}
}

// exchange is one request of a caller on its way.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    Call
	table   *routetable.Table
	route   *routetable.Route
	service string
	account *routetable.Account // nil if the route needs no key
	body    []byte
	ctx     context.Context // ends when the caller leaves or the time is over
	expires time.Time
	record  Record

	lease    *balance.Lease // of the present attempt
	exclude  map[targetset.Incarnation]bool
	sends    int    // targets that the request was sent to
	begun    bool   // the caller has the head of the answer
	lastSeen string // id of the last event that the caller got
	ran      bool   // a target may have run the request
	cut      bool   // the answer has begun and cannot be completed
}

// admit checks the request and answers it if it cannot be served.
func (x *exchange) admit() bool {
	x.table = x.g.Tables.Load()
	if x.table == nil {
		x.refuse(http.StatusServiceUnavailable, ReasonNoConfig, startWait)
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
	return x.readBody()
}

// readBody reads the whole body, so that a request can be sent again.
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
	body, err := x.readWithin(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, ReasonTooLarge, 0)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.w.Header().Set("Connection", "close")
		x.refuse(http.StatusRequestTimeout, ReasonSlowBody, 0)
		return false
	case err != nil:
		x.record.end(OutcomeLeft, ReasonBody)
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// readWithin reads the body in the time that the request may take.
func (x *exchange) readWithin(limit int64) ([]byte, error) {
	if err := setBodyDeadline(x.r, x.record.Started.Add(x.wait())); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err != nil {
		return nil, err // the deadline stays, for the server reads what is left of the body before it closes the connection
	}
	return body, setBodyDeadline(x.r, time.Time{})
}

// wait returns the time that the request may take.
func (x *exchange) wait() time.Duration {
	wait := x.route.Timeout
	if wait <= 0 {
		wait = defaultWait
	}
	if x.call.Wait > 0 {
		wait = min(wait, x.call.Wait)
	}
	return wait
}

// run sends the request until it has its final answer.
func (x *exchange) run() {
	x.expires = x.record.Started.Add(x.wait())
	ctx, cancel := context.WithDeadline(x.r.Context(), x.expires)
	defer cancel()
	x.ctx = ctx
	x.service = x.route.PickService()
	x.record.Service = x.service
	x.exclude = map[targetset.Incarnation]bool{}
	x.g.Retries.Request(x.service)
	for x.attempt() {
	}
	if x.cut {
		panic(http.ErrAbortHandler)
	}
}
