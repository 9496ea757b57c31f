package soak_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lateAnswer is the time after a route's timeout in which the final answer must come.
	lateAnswer = 500 * time.Millisecond
	// crossing is the time in which a request may cross the close of its connection.
	crossing = 200 * time.Millisecond
	// regressSlack is the time in which requests that were sent together may be handled by either configuration.
	regressSlack = 250 * time.Millisecond
	// budgetError is the time by which the time left that a target is told may exceed what the client gave.
	budgetError = 500 * time.Millisecond
	// fewTimeouts is the number of requests over their timeout from which their share counts.
	fewTimeouts = 4
)

// check judges what clients and targets saw, and returns what breaks a promise.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := map[string]*call{}
	for _, c := range l.calls {
		byID[c.ID] = c
		l.checkAnswer(c)
		l.checkRuns(c)
		l.checkPlannedStop(c)
	}
	for id, runs := range l.runs {
		l.checkAsked(id, byID[id], runs)
		l.checkDrain(id, runs)
	}
	l.checkRetries()
	l.checkTimeouts()
	l.checkConfiguration()
	return l.findings
}

func (l *ledger) found(c *call, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c != nil {
		text += fmt.Sprintf("\n  %s %s%s at %s life %d, sent %s, %v, status %d complete %v error %v", c.Route.Kind, c.Route.Path, c.ID,
			c.Entry, c.Lifetime, c.Sent.Format("05.000"), c.Ended.Sub(c.Sent), c.Status, c.Complete, c.Err)
		for _, r := range l.runs[c.ID] {
			text += fmt.Sprintf("\n  reached %s at %s, refused %v, after event %d", r.Target, r.At.Format("05.000"), r.RefusedUnstarted, r.ResumeAfter)
		}
	}
	l.findings = append(l.findings, text)
}

// checkAnswer: a success is a target's whole answer to this request, and a stream has each event once and in order.
func (l *ledger) checkAnswer(c *call) {
	if c.Status != http.StatusOK {
		return
	}
	if !c.Stamped {
		l.found(c, "a success without a target")
	}
	if c.Route.Kind != "stream" {
		if c.Complete && c.Answer != bodyOf(c.ID, c.Body) {
			l.found(c, "the answer of another request or a part of one: %.60q", c.Answer)
		}
		return
	}
	for i, e := range c.Events {
		if e != eventOf(c.ID, i+1) {
			l.found(c, "event %d is %q", i+1, e)
			return
		}
	}
	if c.Complete && len(c.Events) != eventsOf(c.ID) {
		l.found(c, "a stream that ended as complete after %d of %d events", len(c.Events), eventsOf(c.ID))
	}
}

// checkRuns: what is not idempotent runs once, and never if the answer promises that it did not run.
func (l *ledger) checkRuns(c *call) {
	ran := 0
	for _, r := range l.runs[c.ID] {
		if !r.RefusedUnstarted {
			ran++
		}
		if left := c.Route.Timeout + budgetError; r.Left > left || r.Left <= 0 {
			l.found(c, "a target was told that %v are left", r.Left)
		}
	}
	if c.Route.Kind != "unsafe" {
		return
	}
	if ran > 1 {
		l.found(c, "a request that must not be repeated ran %d times", ran)
	}
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if ran > 0 && slices.Contains(promises, c.Status) {
		l.found(c, "a request that ran was answered with a promise that it did not")
	}
}

// checkPlannedStop: without other faults, an entry that is told to stop or to reload cuts no request off.
func (l *ledger) checkPlannedStop(c *call) {
	if c.Complete || c.Err == nil || len(l.runs[c.ID]) == 0 && c.Ended.Sub(c.Sent) < crossing {
		return
	}
	if l.calm(c.Sent.Add(-calmWindow), c.Ended, false) {
		l.found(c, "a request was cut off though nothing but planned work was under way")
	}
}

// checkAsked: targets run what clients sent, in the name of the account that sent it.
func (l *ledger) checkAsked(id string, c *call, runs []run) {
	if c == nil {
		l.found(nil, "target %s ran %s, which no client sent", runs[0].Target, id)
		return
	}
	for _, r := range runs {
		if r.Method != http.MethodPost || r.URI != c.Route.Path+c.ID || r.Body != c.Body || r.Account != c.Account {
			l.found(c, "target %s got %s %s of %q with %d bytes", r.Target, r.Method, r.URI, r.Account, len(r.Body))
		}
		if r.Service != c.Route.Service {
			l.found(c, "a target of service %s got it", r.Service)
		}
	}
}

// checkDrain: a target that leaves gets no request later than the drain bound, once everything has been calm.
func (l *ledger) checkDrain(id string, runs []run) {
	for _, r := range runs {
		at, left := l.leaves[r.Target]
		if left && r.At.After(at.Add(drainBound)) && l.calm(at.Add(-calmWindow), r.At, false) && l.noRestart(at, r.At) {
			l.found(nil, "%s reached %s %v after it began to leave", id, r.Target, r.At.Sub(at))
		}
	}
}

func (l *ledger) noRestart(from, to time.Time) bool {
	for _, d := range l.disturbances {
		if strings.HasPrefix(d.What, "restart") && d.From.Before(to) && (d.To.IsZero() || d.To.After(from.Add(-calmWindow))) {
			return false
		}
	}
	return true
}

// checkRetries: what reaches targets beyond the first attempt of each request stays within the share of the requests.
func (l *ledger) checkRetries() {
	for _, service := range []string{"draft", "desk"} {
		var sent, repeats []time.Time
		for _, c := range l.calls {
			if c.Route.Service != service {
				continue
			}
			sent = append(sent, c.Sent)
			for i, r := range l.runs[c.ID] {
				if i > 0 {
					repeats = append(repeats, r.At)
				}
			}
		}
		slices.SortFunc(repeats, time.Time.Compare)
		for _, end := range repeats {
			n := between(repeats, end.Add(-retryWindow), end)
			base := max(between(sent, end.Add(-retryWindow), end), between(sent, end.Add(-2*retryWindow), end.Add(-retryWindow)),
				between(sent, end.Add(-3*retryWindow/2), end.Add(-retryWindow/2)))
			if float64(n) > retryShare*float64(base)+retrySlack {
				l.found(nil, "%d repeats to service %s for %d requests", n, service, base)
				break
			}
		}
	}
}

func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// checkTimeouts: most requests that are still open at their route's timeout get their final answer soon after.
func (l *ledger) checkTimeouts() {
	open, late := 0, 0
	var example *call
	for _, c := range l.calls {
		limit := c.Sent.Add(c.Route.Timeout)
		if c.Ended.Before(limit) || !l.calm(c.Sent.Add(-calmWindow), c.Ended, true) && !l.onlyTargets(c.Sent.Add(-calmWindow), c.Ended) {
			continue
		}
		open++
		if c.Ended.After(limit.Add(lateAnswer)) {
			late++
			example = c
		}
	}
	if open >= fewTimeouts && 2*late > open {
		l.found(example, "%d of %d requests over their timeout got no answer half a second later", late, open)
	}
}

// onlyTargets says whether all disturbances of a span concern targets and not the entries.
func (l *ledger) onlyTargets(from, to time.Time) bool {
	for _, d := range l.disturbances {
		entry := strings.HasPrefix(d.What, "restart") || strings.HasPrefix(d.What, "freeze")
		if entry && d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) {
			return false
		}
	}
	return true
}

// checkConfiguration: a process that has used a configuration does not fall back behind it, and in calm every process
// uses a configuration soon after it was published.
func (l *ledger) checkConfiguration() {
	type process struct {
		entry    string
		lifetime int
	}
	used := map[process]map[int]time.Time{} // when a version was first seen in use
	calls := slices.Clone(l.calls)
	slices.SortFunc(calls, func(a, b *call) int { return a.Ended.Compare(b.Ended) })
	for _, c := range calls {
		p := process{c.Entry, c.Lifetime}
		if used[p] == nil {
			used[p] = map[int]time.Time{}
		}
		if len(l.runs[c.ID]) > 0 && used[p][c.Route.Version].IsZero() {
			used[p][c.Route.Version] = c.Ended
		}
	}
	for _, c := range calls {
		if c.Status != http.StatusNotFound && c.Status != http.StatusUnauthorized && c.Status != http.StatusForbidden {
			continue
		}
		for v, at := range used[process{c.Entry, c.Lifetime}] {
			if v >= c.Route.Version && c.Sent.After(at.Add(regressSlack)) {
				l.found(c, "a process that has used configuration %d fell back behind %d", v, c.Route.Version)
				break
			}
		}
		published := l.versions[c.Route.Version]
		if c.Sent.After(published.Add(applyBound)) && l.calm(published.Add(-calmWindow), c.Ended, false) && l.noRestart(published, c.Ended) {
			l.found(c, "configuration %d was not in use %v after it was published", c.Route.Version, c.Sent.Sub(published))
		}
	}
}
