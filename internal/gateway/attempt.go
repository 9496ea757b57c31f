package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

const (
	// maxUnsentAttempts bounds the attempts that end before any byte of the request has been sent.
	maxUnsentAttempts = 4
	// unsentRetryAfter is the shortest retry-after time of a caller whose request no target has run.
	unsentRetryAfter = 200 * time.Millisecond
)

// attempt sends the request to one target. It reports whether another attempt has to follow; if not, the caller has its
// final answer or has left.
func (x *exchange) attempt() bool {
	if x.refuseStopping() || x.refuseQuarantined() {
		return false
	}
	list := x.g.Targets.Snapshot()
	x.record.ListRevision = list.Revision
	lease, refusal := x.g.Balance.Acquire(x.ctx, x.job())
	if refusal != nil {
		if x.r.Context().Err() != nil {
			x.record.setOutcome(OutcomeLeft, "")
			return false
		}
		if !x.refuseStopping() {
			x.giveUp(Reason(refusal.Reason), refusal.RetryAfter)
		}
		return false
	}
	x.lease = lease
	if !x.mayStart() { // the stop of the process may have begun during the wait
		lease.Done(balance.CallerLeft)
		return !x.refuseStopping()
	}
	if part, _ := x.prompt.Blocked(); part != "" { // quarantined during the wait
		lease.Done(balance.CallerLeft) // before the refusal, which ends the handler if the answer has begun
		return !x.refuseQuarantined()
	}
	x.prompt.TargetOpen()
	if x.prompt.Unproven() != "" {
		lease.Done(balance.CallerLeft)
		return x.awaitProof()
	}
	t := lease.Target
	started := time.Now()
	x.prompt.Sent()
	result, err := x.send(lease)
	lease.Done(result.leaseResult)
	result.crashed = x.recordCrash(result)
	x.record.Attempts = append(x.record.Attempts, Attempt{Target: t.ID, Group: lease.Group(),
		KeptTokens: lease.KeptTokens, Spilled: lease.Spilled, Started: started.Sub(x.record.Started), Took: time.Since(started), Result: result.name, Ending: result.ending,
		Events: result.events, Err: err})
	if result.final {
		return false
	}
	x.failedTargets[t.Incarnation()] = true
	return x.retryOrGiveUp(result)
}

// waitShare is the share of the latency objective for which a request may wait for a place. The rest is needed for the
// answer itself.
const waitShare = 0.45

// returningShare is the share of the route's timeout below which a caller's remaining time shows that it was refused
// before.
const returningShare = 0.9

// returning reports whether the caller has made an attempt before. Callers state the remaining time with each attempt.
func (x *exchange) returning() bool {
	return x.call.Wait > 0 && x.call.Wait < time.Duration(returningShare*float64(x.route.Timeout))
}

const (
	// returningWait is the longest time for which a caller that was refused before may wait for a place. It has missed
	// the latency objective already, and gives up if it is refused again. Callers abandon an attempt that is not
	// answered within two seconds.
	returningWait = 1500 * time.Millisecond
	// returningWaitShare is the share of its remaining time that such a caller may wait. The rest is needed for the
	// answer.
	returningWaitShare = 0.4
)

// maxWait returns the longest time for which the request may wait for a place.
func (x *exchange) maxWait() time.Duration {
	if x.returning() {
		return min(returningWait, time.Duration(returningWaitShare*float64(time.Until(x.deadline))), x.startWait())
	}
	share := waitShare
	if x.table.Prioritized(x.service) {
		share = 1 // the balancer knows how long answers take
	}
	return min(time.Duration(share*float64(x.route.Objective)), x.startWait())
}

// job returns the description of the request for the balancer.
func (x *exchange) job() *balance.Job {
	return &balance.Job{
		Name: x.service, Service: x.table.Service(x.service), EventGap: x.route.EventGap, Priority: x.priority(),
		Prioritized: x.table.Prioritized(x.service), Class: x.route.Class(x.account), Objective: x.route.Objective, Account: x.accountName(),
		Remaining: time.Until(x.deadline), Returning: x.returning(),
		MaxWait:   x.maxWait(),
		Exclude:   x.failedTargets,
		Prompt:    promptcache.Prompt{Tokens: x.call.PromptTokens, Prefixes: x.call.PromptPrefixes},
		Targets:   func() []*targetset.Target { return x.allowed(x.g.Targets.Snapshot().ByService[x.service]) },
		SetAside:  func() []*targetset.Target { return x.g.Targets.Snapshot().SetAside[x.service] },
		NoTargets: x.noTargets,
		Limit:     x.regionLimit(),

		WaitsForOpening: x.prompt.Waits,
	}
}

// noTargets returns the reason why the request has no targets at present.
func (x *exchange) noTargets() balance.Reason {
	list := x.g.Targets.Snapshot()
	switch {
	case len(x.allowed(list.SetAside[x.service])) > 0:
		return balance.ReasonEvacuated
	case x.hasRegionLimit() && len(list.SetAside[x.service])+len(list.ByService[x.service]) > 0:
		return balance.ReasonOutside
	}
	return balance.ReasonNoTargets
}

// result is how an attempt ended.
type result struct {
	name        string
	final       bool // the caller has its answer, or has left
	leaseResult balance.Result
	notSent     bool   // no byte of the request was sent
	notRun      bool   // the request was not run and will not run
	ending      Ending // of the target's answer; empty if it was not read to its end
	events      int    // of the target's stream
	crashed     bool   // the target crashed before the answer had begun
}

var (
	resultServed      = result{name: "served", final: true, leaseResult: balance.Served}
	resultCallerLeft  = result{name: "left", final: true, leaseResult: balance.CallerLeft}
	resultNotSent     = result{name: "unsent", leaseResult: balance.Broken, notSent: true, notRun: true}
	resultTargetLeft  = result{name: "target-left", leaseResult: balance.CallerLeft, notSent: true, notRun: true}
	resultEvacuated   = result{name: "evacuated", leaseResult: balance.CallerLeft, notSent: true, notRun: true}
	resultColdLimit   = result{name: "cold-limit", leaseResult: balance.CallerLeft, notSent: true, notRun: true}
	resultTooLate     = result{name: "too-late", leaseResult: balance.CallerLeft, notSent: true, notRun: true}
	resultRefused     = result{name: "refused", leaseResult: balance.Refused, notRun: true}
	resultOtherTarget = result{name: "other-target", leaseResult: balance.Broken, notRun: true}
	resultFailed      = result{name: "failed", leaseResult: balance.Failed}
	resultBroken      = result{name: "broken", leaseResult: balance.Broken}
)

// send makes one attempt and passes a usable answer on.
func (x *exchange) send(lease *balance.Lease) (result, error) {
	left := time.Until(x.deadline)
	defer x.endSend()
	req := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Body: x.body, AtMostOnce: !x.route.Idempotent(),
		Header: x.g.HeaderTranslator.Forward(x.r.Header, Forward{
			Account: x.accountName(), Target: lease.Target.ID, Wait: left, Priority: x.priority(),
			ResumeAfter: x.lastEventID,
		}),
		// Since the target was chosen, it may have said that it leaves, its data centre may have been evacuated, other
		// requests may have used up the limit of a cold target, and the time until the end of a stop may be used up: opening a
		// connection takes up to upstream.DialTimeout, and longer if this process was paused.
		MaySend: func() bool { return x.beginSend() && x.g.Targets.MaySend(lease.Target) && lease.MaySend() },
	}
	resp, err := x.g.Pool.Do(x.ctx, lease.Target.Addr, req)
	if err == nil && x.mayBeCopiedFailure(resp) {
		resp.Finish(false)
		x.mayHaveRun = true
		if !x.g.Retries.Take(x.service) {
			return x.brokenResult(BrokenForeign), errOtherRequest
		}
		req.NewConnection = true
		resp, err = x.g.Pool.Do(x.ctx, lease.Target.Addr, req)
	}
	if err != nil {
		if errors.Is(err, upstream.ErrMayNotSend) {
			return x.mayNotSendResult(lease), err
		}
		if upstream.NotSent(err) {
			if x.ctx.Err() != nil {
				return x.contextResult(result{notRun: true}), err
			}
			return resultNotSent, err
		}
		x.sends++
		x.mayHaveRun = true
		return x.brokenResult(BrokenNoHead), err
	}
	x.sends++
	return x.handleAnswer(resp)
}

// mayNotSendResult returns the result of an attempt that was not sent because of what has changed since the target was chosen.
func (x *exchange) mayNotSendResult(lease *balance.Lease) result {
	switch {
	case !x.mayStart():
		return resultTooLate
	case x.g.Targets.IsEvacuated(lease.Target.DataCentre):
		return resultEvacuated
	case lease.AtColdLimit():
		return resultColdLimit
	}
	return resultTargetLeft
}

// handleAnswer evaluates the head of a target's answer, and passes the answer on if it is the caller's.
func (x *exchange) handleAnswer(resp *upstream.Response) (result, error) {
	a := x.g.HeaderTranslator.Answer(resp.Status, resp.Header)
	x.noteTarget(a)
	switch {
	case x.ofOtherRequest(a, resp):
		return x.foreign(resp, errOtherRequest)
	case x.meantOtherTarget(a):
		resp.Discard()
		return resultOtherTarget, nil
	case a.NotRun:
		resp.Discard()
		return resultRefused, nil
	case a.Encoded, !a.Stamped && resp.Status < 300:
		return x.foreign(resp, errNotFromTarget)
	}
	x.mayHaveRun = true
	switch isStream := x.isStream(resp); {
	case x.headSent && (!isStream || resp.Status != http.StatusOK || !x.sameContentType(resp)):
		return x.noContinuation(resp)
	case isStream:
		return x.stream(resp)
	}
	return x.passOnWhole(resp, a)
}

// eventStreamType is the media type of event streams.
const eventStreamType = "text/event-stream"

// isStream reports whether the answer is a stream of events. Answers of stream routes need not state their type.
func (x *exchange) isStream(resp *upstream.Response) bool {
	if resp.Framing == upstream.FramingNone {
		return false
	}
	if resp.Status == http.StatusOK && x.route.Kind == routetable.KindStream {
		return true
	}
	return resp.Status < http.StatusMultipleChoices && mediaType(resp.Header.Get("Content-Type")) == eventStreamType
}

// sameContentType reports whether an answer has the media type of the answer that it continues, as far as both state one.
func (x *exchange) sameContentType(resp *upstream.Response) bool {
	continued, next := mediaType(x.contentType), mediaType(resp.Header.Get("Content-Type"))
	return continued == next || continued == "" || next == ""
}

// mediaType returns the media type in a Content-Type header, without its parameters.
func mediaType(contentType string) string {
	t, _, _ := strings.Cut(contentType, ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// foreign drops an answer that is not the target's own answer to the request. The request may have run.
func (x *exchange) foreign(resp *upstream.Response, err error) (result, error) {
	resp.Finish(false)
	x.mayHaveRun = true
	return x.brokenResult(BrokenForeign), err
}

// noContinuation drops an answer that should continue the caller's stream and is another kind of answer.
func (x *exchange) noContinuation(resp *upstream.Response) (result, error) {
	r := resultBroken
	if isFailure(resp.Status) {
		r = resultFailed
	}
	r.ending = BrokenNoStream
	resp.Discard()
	return r, fmt.Errorf("answer with status %d does not continue the stream", resp.Status)
}

// ofOtherRequest reports whether an answer belongs to another request. One without an id may be a late copy if its
// connection has carried other requests; then it is no success and no promise that the request has not run, and a request
// that must run once cannot rely on it at all.
func (x *exchange) ofOtherRequest(a Answer, resp *upstream.Response) bool {
	if a.ID == "" {
		return resp.Reused && (!x.route.Idempotent() || a.NotRun || resp.Status < http.StatusMultipleChoices)
	}
	return a.ID != x.call.ID
}

// mayBeCopiedFailure reports whether an answer without an id is a failure that may be a late copy, and that the same target can
// be asked for again on a new connection. Targets that state no id in their failures would otherwise count as faulty.
func (x *exchange) mayBeCopiedFailure(resp *upstream.Response) bool {
	a := x.g.HeaderTranslator.Answer(resp.Status, resp.Header)
	return a.ID == "" && resp.Reused && x.route.Idempotent() && !a.NotRun && resp.Status >= http.StatusMultipleChoices
}

// meantOtherTarget reports whether an answer shows that the request, which names its target, has reached another one, which
// does not run it. The status alone shows nothing.
func (x *exchange) meantOtherTarget(a Answer) bool {
	named := a.TargetID != "" && a.TargetID != x.lease.Target.ID
	return a.OtherTarget && (a.NotRun || named)
}

// noteTarget records what an answer says about its target besides the request.
func (x *exchange) noteTarget(a Answer) {
	if a.Leaving && x.g.Targets.Announced(x.lease.Target.Incarnation()) {
		x.lease.Leaves()
	}
	if a.Quiet > 0 {
		x.lease.KeepQuiet(a.Quiet)
	}
	if a.Cold > 0 {
		x.lease.ReportCold(a.Cold)
	}
}

var (
	errOtherRequest  = errors.New("answer belongs to another request")
	errNotFromTarget = errors.New("answer is not the target's own")
)

// retryOrGiveUp reports whether another attempt follows a failed one. If none does, it answers the caller.
func (x *exchange) retryOrGiveUp(r result) bool {
	if x.ctx.Err() != nil {
		x.endOnContext()
		return false
	}
	switch {
	case r.notSent && len(x.record.Attempts) <= maxUnsentAttempts:
		return true
	case x.mayHaveRun && !x.route.Idempotent(), x.headSent && (!x.route.Resumable || x.unnumbered):
		x.giveUp(ReasonUnknown, 0)
	case r.crashed && x.prompt.Suspected():
		x.giveUp(ReasonSuspected, x.refusedRetryAfter())
	case !x.mayStart():
		x.giveUp(ReasonStopping, unsentRetryAfter)
	case x.sends >= x.route.MaxAttempts:
		x.giveUp(ReasonAttempts, x.refusedRetryAfter())
	case !x.takeRetry():
		x.giveUp(ReasonBudget, x.refusedRetryAfter())
	default:
		return true
	}
	return false
}

// takeRetry takes a retry from the budget, unless the present attempt has already taken one.
func (x *exchange) takeRetry() bool {
	taken := x.retryTaken
	x.retryTaken = false
	return taken || x.g.Retries.Take(x.service)
}

// refusedRetryAfter returns the retry-after time of a caller whose request was refused by targets.
func (x *exchange) refusedRetryAfter() time.Duration {
	return min(balance.GroupReformTime, time.Duration(balance.RetryAfterShare*float64(time.Until(x.deadline))))
}

// giveUp answers a request for which no further attempt is made.
func (x *exchange) giveUp(reason Reason, retryAfter time.Duration) {
	switch {
	case x.headSent:
		x.abort(OutcomeBroken, reason)
	case x.mayHaveRun:
		x.fail(reason)
	default:
		x.refuse(http.StatusServiceUnavailable, reason, max(retryAfter, unsentRetryAfter))
	}
}

// endOnContext ends a request whose caller has left or whose time limit has passed.
func (x *exchange) endOnContext() {
	switch {
	case x.r.Context().Err() != nil:
		x.record.setOutcome(OutcomeLeft, "")
	case x.headSent:
		x.abort(OutcomeBroken, x.contextReason())
	case x.mayHaveRun:
		x.fail(x.contextReason())
	default:
		x.refuse(http.StatusServiceUnavailable, x.contextReason(), unsentRetryAfter)
	}
}

// contextResult sets the name and the balancer's result in r according to how the request's context ended.
func (x *exchange) contextResult(r result) result {
	switch {
	case x.stopped():
		r.name, r.leaseResult = "stopped", balance.CallerLeft
	case errors.Is(x.ctx.Err(), context.Canceled):
		r.name, r.leaseResult = "left", balance.CallerLeft
	default:
		r.name, r.leaseResult = "timeout", balance.Broken
	}
	return r
}

// accountName returns the name of the client account, or an empty string without one.
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
