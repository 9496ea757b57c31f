package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

const (
	// maxUnsent bounds the targets that are tried without any byte of the request leaving.
	maxUnsent = 4
	// unsentWait is when a caller may come back whose request reached no target.
	unsentWait = 200 * time.Millisecond
)

// attempt sends the request to one target. It says whether another attempt has to follow; otherwise the caller has its
// final answer.
func (x *exchange) attempt() bool {
	list := x.g.Targets.Snapshot()
	x.record.ListRevision = list.Revision
	lease, refusal := x.g.Balance.Acquire(x.ctx, x.job())
	if refusal != nil {
		if x.r.Context().Err() != nil {
			x.record.end(OutcomeLeft, "")
			return false
		}
		x.giveUp(Reason(refusal.Reason), refusal.RetryAfter)
		return false
	}
	x.lease = lease
	t := lease.Target
	started := time.Now()
	result, err := x.send(lease)
	lease.Done(result.health)
	x.record.Tries = append(x.record.Tries, Try{Target: t.ID, Group: lease.Group(), Started: started.Sub(x.record.Started), Took: time.Since(started),
		Result: result.name, Err: err})
	if result.final {
		return false
	}
	x.exclude[t.Incarnation()] = true
	return x.again(result)
}

// waitShare is the part of the latency objective for which a request may wait for a place: the rest is needed for the
// answer itself.
const waitShare = 0.45

// returningShare is the part of the route's time below which a caller's remaining time shows that it was refused before.
const returningShare = 0.9

// returning says whether the caller has made an attempt before. Each attempt states the time that is left.
func (x *exchange) returning() bool {
	return x.call.Wait > 0 && x.call.Wait < time.Duration(returningShare*float64(x.route.Timeout))
}

const (
	// returningWait is the longest time for which a caller that was refused before may wait for a place. It has missed the
	// objective, and is lost if it is refused again. Callers leave an attempt that is not answered within two seconds.
	returningWait = 1500 * time.Millisecond
	// returningWaitShare is the part of its remaining time that such a caller may wait; the rest is for the answer.
	returningWaitShare = 0.4
)

// maxWait is the longest time for which the request may wait for a place.
func (x *exchange) maxWait() time.Duration {
	left := time.Until(x.expires)
	if x.returning() {
		return min(returningWait, time.Duration(returningWaitShare*float64(left)))
	}
	return min(time.Duration(waitShare*float64(x.route.Objective)), left)
}

// job describes the request to the balancer.
func (x *exchange) job() *balance.Job {
	return &balance.Job{
		Name: x.service, Service: x.table.Service(x.service), EventGap: x.route.EventGap, Priority: x.priority(),
		Remaining: time.Until(x.expires), Returning: x.returning(),
		MaxWait: x.maxWait(),
		Exclude: x.exclude,
		Targets: func() []*targetset.Target { return x.g.Targets.Snapshot().ByService[x.service] },
	}
}

// result is how an attempt ended.
type result struct {
	name   string
	final  bool // the caller has its answer
	health balance.Result
	unsent bool // no byte of the request left
	notRun bool // the target promised not to run it
}

var (
	resultServed  = result{name: "served", final: true, health: balance.Served}
	resultLeft    = result{name: "left", final: true, health: balance.CallerLeft}
	resultUnsent  = result{name: "unsent", health: balance.Broken, unsent: true, notRun: true}
	resultRefused = result{name: "refused", health: balance.Refused, notRun: true}
	resultMoved   = result{name: "other-target", health: balance.Broken, notRun: true}
	resultFailed  = result{name: "failed", health: balance.Failed}
	resultBroken  = result{name: "broken", health: balance.Broken}
)

// send makes one attempt and passes a usable answer on.
func (x *exchange) send(lease *balance.Lease) (result, error) {
	left := time.Until(x.expires)
	req := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Body: x.body, AtMostOnce: !x.route.Idempotent(),
		Header: x.g.Dialect.Forward(x.r.Header, Forward{
			Account: x.accountName(), Target: lease.Target.ID, Wait: left, Priority: x.priority(), ResumeAfter: x.lastSeen,
		}),
	}
	resp, err := x.g.Pool.Do(x.ctx, lease.Target.Addr, req)
	if err != nil {
		if upstream.NotSent(err) {
			if x.ctx.Err() != nil {
				return x.ended(result{notRun: true}), err
			}
			return resultUnsent, err
		}
		x.sends++
		x.ran = true
		if x.ctx.Err() != nil {
			return x.ended(result{}), err
		}
		return resultBroken, err
	}
	x.sends++
	return x.answer(resp)
}

// answer judges the head of an answer and passes it on if it is the final one.
func (x *exchange) answer(resp *upstream.Response) (result, error) {
	a := x.g.Dialect.Answer(resp.Status, resp.Header)
	switch {
	case a.ID != "" && a.ID != x.call.ID:
		resp.Finish(false)
		x.ran = true
		return resultBroken, errForeign
	case a.OtherTarget:
		return resultMoved, x.discard(resp)
	case a.NotRun:
		return resultRefused, x.discard(resp)
	case a.Encoded, !a.Stamped && resp.Status < 300:
		resp.Finish(false)
		x.ran = true
		return resultBroken, errNotOwn
	}
	x.ran = true
	if x.begun || resp.Status == http.StatusOK && x.route.Kind == "stream" {
		return x.stream(resp)
	}
	return x.whole(resp, a)
}

var (
	errForeign = errors.New("answer belongs to another request")
	errNotOwn  = errors.New("answer is not the target's own")
)

// again decides whether an attempt that failed is followed by another one.
func (x *exchange) again(r result) bool {
	if x.ctx.Err() != nil {
		x.timeUp()
		return false
	}
	switch {
	case r.unsent && len(x.record.Tries) <= maxUnsent:
		return true
	case x.ran && !x.route.Idempotent():
		x.giveUp(ReasonUnknown, 0)
	case x.sends >= x.route.MaxAttempts:
		x.giveUp(ReasonAttempts, x.refusedWait())
	case !x.g.Retries.Take(x.service):
		x.giveUp(ReasonBudget, x.refusedWait())
	default:
		return true
	}
	return false
}

// refusedWait is when a caller may come back whose request targets refused.
func (x *exchange) refusedWait() time.Duration {
	return min(balance.GroupReformTime, time.Duration(balance.RetryAfterShare*float64(time.Until(x.expires))))
}

// giveUp answers a request for which no further attempt is made.
func (x *exchange) giveUp(reason Reason, retryAfter time.Duration) {
	switch {
	case x.begun:
		x.abort(OutcomeBroken, reason)
	case x.ran:
		x.fail(reason)
	default:
		x.refuse(http.StatusServiceUnavailable, reason, max(retryAfter, unsentWait))
	}
}

// timeUp ends a request whose caller left or whose time is over.
func (x *exchange) timeUp() {
	switch {
	case x.r.Context().Err() != nil:
		x.record.end(OutcomeLeft, "")
	case x.begun:
		x.abort(OutcomeBroken, ReasonTimeout)
	case x.ran:
		x.fail(ReasonTimeout)
	default:
		x.refuse(http.StatusServiceUnavailable, ReasonTimeout, unsentWait)
	}
}

// ended maps the end of the request's context to a result.
func (x *exchange) ended(r result) result {
	r.name, r.health = "timeout", balance.Broken
	if errors.Is(x.ctx.Err(), context.Canceled) {
		r.name, r.health = "left", balance.CallerLeft
	}
	return r
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// priority returns the account's priority, or the route's.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}
