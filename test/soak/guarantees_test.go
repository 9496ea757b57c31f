package soak_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// maxAnswerDelay is the time after the timeout of a route within which the final response must arrive.
	maxAnswerDelay = 500 * time.Millisecond
	// closeRaceTime is the time within which a client may send a request on a connection that the other end is closing.
	closeRaceTime = 200 * time.Millisecond
	// regressSlack is the time in which requests that were sent together may be handled by either configuration.
	regressSlack = 250 * time.Millisecond
	// remainingTimeTolerance is the time by which the remaining time stated to a target may exceed the timeout of the
	// route.
	remainingTimeTolerance = 500 * time.Millisecond
	// minTimeouts is the number of requests past their timeout from which the share of late responses is checked.
	minTimeouts = 4
)

// checkAll checks the guarantees against the recorded observations, and returns the violations.
func (l *recorder) checkAll() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := map[string]*clientRequest{}
	for _, c := range l.clientRequests {
		byID[c.ID] = c
		l.checkAnswer(c)
		l.checkRuns(c)
		l.checkPlannedStop(c)
		l.checkRefusedPrompt(c)
	}
	for id, runs := range l.targetRequests {
		l.checkOrigin(id, byID[id], runs)
		l.checkDrain(id, runs)
		l.checkEvacuations(id, runs)
	}
	l.checkNotices(byID)
	l.checkRetries()
	l.checkTimeouts()
	l.checkConfiguration()
	l.checkCrashingParts(byID)
	return l.violations
}

func (l *recorder) addViolation(c *clientRequest, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if c != nil {
		text += fmt.Sprintf("\n  %s %s%s at %s incarnation %d, sent %s, %v, status %d complete %v error %v", c.Route.Kind, c.Route.Path, c.ID,
			c.Entry, c.Incarnation, c.Sent.Format("05.000"), c.Ended.Sub(c.Sent), c.Status, c.Complete, c.Err)
		for _, r := range l.targetRequests[c.ID] {
			text += fmt.Sprintf("\n  reached %s at %s, refused %v, after event %d", r.Target, r.At.Format("05.000"), r.RefusedUnstarted, r.ResumeAfter)
		}
	}
	l.violations = append(l.violations, text)
}

// checkAnswer checks that a successful response is the complete response of a target to this request, and that a
// stream has each event once and in order.
func (l *recorder) checkAnswer(c *clientRequest) {
	if c.Status != http.StatusOK {
		return
	}
	if !c.Stamped {
		l.addViolation(c, "a successful response without the stamp of a target")
	}
	if c.Route.Kind != "stream" {
		if c.Complete && c.Answer != expectedBody(c.ID, c.Body) {
			l.addViolation(c, "the response of another request or a part of one: %.60q", c.Answer)
		}
		return
	}
	for i, e := range c.Events {
		if e != expectedEvent(c.ID, i+1) {
			l.addViolation(c, "event %d is %q", i+1, e)
			return
		}
	}
	// A body that ends in order inside an event has the error io.EOF. Callers that rely on the framing take it as complete.
	if (c.Complete || errors.Is(c.Err, io.EOF)) && len(c.Events) != eventCount(c.ID) {
		l.addViolation(c, "a stream that ended as complete after %d of %d events", len(c.Events), eventCount(c.ID))
	}
}

// checkRuns checks that a request that is not idempotent is executed at most once, and not at all if the status of the
// response says that it was not executed.
func (l *recorder) checkRuns(c *clientRequest) {
	ran := 0
	for _, r := range l.targetRequests[c.ID] {
		if !r.RefusedUnstarted {
			ran++
		}
		if left := c.Route.Timeout + remainingTimeTolerance; r.RemainingTime > left || r.RemainingTime <= 0 {
			l.addViolation(c, "a target was told that %v are left", r.RemainingTime)
		}
	}
	if c.Route.Kind != "unsafe" {
		return
	}
	if ran > 1 {
		l.addViolation(c, "a request that is not idempotent ran %d times", ran)
	}
	notRunStatuses := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if ran > 0 && slices.Contains(notRunStatuses, c.Status) {
		l.addViolation(c, "a request that ran was answered with a status that says that it did not")
	}
}

// checkPlannedStop checks that an entry that is told to stop or to reload cuts off no request, unless another fault is
// in force.
func (l *recorder) checkPlannedStop(c *clientRequest) {
	if c.Complete || c.Err == nil || len(l.targetRequests[c.ID]) == 0 && c.Ended.Sub(c.Sent) < closeRaceTime {
		return
	}
	if l.noFaultBetween(c.Sent.Add(-settleTime), c.Ended, false) {
		l.addViolation(c, "a request was cut off although no fault but operator actions was in force")
	}
}

// checkOrigin checks that targets receive only what clients sent, for the client account that sent it.
func (l *recorder) checkOrigin(id string, c *clientRequest, runs []targetRequest) {
	if c == nil {
		l.addViolation(nil, "target %s ran %s, which no client sent", runs[0].Target, id)
		return
	}
	for _, r := range runs {
		if r.Method != http.MethodPost || r.URI != c.Route.Path+c.ID || r.Body != c.Body || r.Account != c.Account || r.Prompt != c.Prompt {
			l.addViolation(c, "target %s received %s %s of %q with %d bytes, prompt %q", r.Target, r.Method, r.URI, r.Account, len(r.Body), r.Prompt)
		}
		if r.Service != c.Route.Service {
			l.addViolation(c, "a target of service %s received it", r.Service)
		}
	}
}

// checkDrain checks that a target that leaves gets no request after the drain bound, unless a fault is in force or a
// process is restarted.
func (l *recorder) checkDrain(id string, runs []targetRequest) {
	for _, r := range runs {
		at, left := l.leaveBeganAt[r.Target]
		if left && r.At.After(at.Add(drainBound)) && l.noFaultBetween(at.Add(-settleTime), r.At, false) && l.noRestart(at, r.At) {
			l.addViolation(nil, "%s reached %s %v after it began to leave", id, r.Target, r.At.Sub(at))
		}
	}
}

// process is one incarnation of an entry.
type process struct {
	entry       string
	incarnation int
}

func (c *clientRequest) process() process { return process{c.Entry, c.Incarnation} }

// sentRequest is a request that an entry has sent to a target.
type sentRequest struct {
	targetRequest
	client *clientRequest
}

// maxQuietRequests is the number of requests that a target may get from an entry while it wants none, and quietGrace the
// time after which they count.
const (
	maxQuietRequests = 2
	quietGrace       = 500 * time.Millisecond
)

// checkNotices checks that an entry that has passed on an answer which says that its target leaves sends that target
// nothing after the drain bound, and that it sends nothing to a target that wants no requests. Faults excuse neither,
// but a freeze of the entry does.
func (l *recorder) checkNotices(byID map[string]*clientRequest) {
	sent := map[process]map[string][]sentRequest{}
	for id, runs := range l.targetRequests {
		c := byID[id]
		if c == nil {
			continue
		}
		if sent[c.process()] == nil {
			sent[c.process()] = map[string][]sentRequest{}
		}
		for _, r := range runs {
			sent[c.process()][r.Target] = append(sent[c.process()][r.Target], sentRequest{r, c})
		}
	}
	for _, c := range l.clientRequests {
		if c.Leaving == "" || c.Ended.IsZero() {
			continue
		}
		for _, r := range sent[c.process()][c.Leaving] {
			if r.client.Sent.After(c.Ended.Add(drainBound)) && l.notFrozen(c.Entry, c.Ended, r.At) {
				l.addViolation(r.client, "%s received it %v after %s had passed on that it leaves", r.Target, r.At.Sub(c.Ended), c.Entry)
			}
		}
	}
	for p, byTarget := range sent {
		for target, list := range byTarget {
			l.checkQuiet(p, target, list)
		}
	}
}

// checkQuiet checks the requests from one entry to one target for those within a time in which it wanted none.
func (l *recorder) checkQuiet(p process, target string, list []sentRequest) {
	for _, asked := range list {
		if asked.QuietFor == 0 {
			continue
		}
		from, to := asked.At.Add(quietGrace), asked.At.Add(asked.QuietFor)
		n := 0
		for _, r := range list {
			if r.At.After(from) && r.At.Before(to) {
				n++
			}
		}
		if n > maxQuietRequests && l.notFrozen(p.entry, asked.At, to) {
			l.addViolation(asked.client, "%s sent %d requests to %s, which wanted none for %v", p.entry, n, target, asked.QuietFor)
		}
	}
}

// notFrozen reports whether an entry was not suspended between two times.
func (l *recorder) notFrozen(entry string, from, to time.Time) bool {
	for _, d := range l.faultPeriods {
		if d.What == "freeze of "+entry && d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) {
			return false
		}
	}
	return true
}

// noRestart reports whether no process was restarted between two times, or in the settleTime before.
func (l *recorder) noRestart(from, to time.Time) bool {
	for _, d := range l.faultPeriods {
		if strings.HasPrefix(d.What, "restart") && d.From.Before(to) && (d.To.IsZero() || d.To.After(from.Add(-settleTime))) {
			return false
		}
	}
	return true
}

// checkRetries checks that the attempts beyond the first one of each request stay within the retry share of the
// requests.
func (l *recorder) checkRetries() {
	for _, service := range []string{"draft", "desk", "chat"} {
		var sent, retries []time.Time
		for _, c := range l.clientRequests {
			if c.Route.Service != service {
				continue
			}
			sent = append(sent, c.Sent)
			for i, r := range l.targetRequests[c.ID] {
				if i > 0 {
					retries = append(retries, r.At)
				}
			}
		}
		slices.SortFunc(retries, time.Time.Compare)
		for _, end := range retries {
			n := countBetween(retries, end.Add(-retryWindow), end)
			base := max(countBetween(sent, end.Add(-retryWindow), end), countBetween(sent, end.Add(-2*retryWindow), end.Add(-retryWindow)),
				countBetween(sent, end.Add(-3*retryWindow/2), end.Add(-retryWindow/2)))
			if float64(n) > retryShare*float64(base)+retrySlack {
				l.addViolation(nil, "%d retries to service %s for %d requests", n, service, base)
				break
			}
		}
	}
}

// countBetween returns the number of times after from and up to to.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// checkTimeouts checks that most requests that are open at the timeout of their route get the final response soon
// after.
func (l *recorder) checkTimeouts() {
	open, late := 0, 0
	var example *clientRequest
	for _, c := range l.clientRequests {
		limit := c.Sent.Add(c.Route.Timeout)
		if c.Ended.Before(limit) || !l.noFaultBetween(c.Sent.Add(-settleTime), c.Ended, true) && !l.noEntryFault(c.Sent.Add(-settleTime), c.Ended) {
			continue
		}
		open++
		if c.Ended.After(limit.Add(maxAnswerDelay)) {
			late++
			example = c
		}
	}
	if open >= minTimeouts && 2*late > open {
		l.addViolation(example, "%d of %d requests past their timeout got no response within 500ms", late, open)
	}
}

// noEntryFault reports whether all faults between two times concern targets and not the entries.
func (l *recorder) noEntryFault(from, to time.Time) bool {
	for _, d := range l.faultPeriods {
		entry := strings.HasPrefix(d.What, "restart") || strings.HasPrefix(d.What, "freeze")
		if entry && d.From.Before(to) && (d.To.IsZero() || d.To.After(from)) {
			return false
		}
	}
	return true
}

// checkConfiguration checks that a process that has used a configuration does not return to an older one, and that
// without faults every process uses a configuration soon after it was published.
func (l *recorder) checkConfiguration() {
	used := map[process]map[int]time.Time{} // time at which each version was first seen in use
	calls := slices.Clone(l.clientRequests)
	slices.SortFunc(calls, func(a, b *clientRequest) int { return a.Ended.Compare(b.Ended) })
	for _, c := range calls {
		p := c.process()
		if used[p] == nil {
			used[p] = map[int]time.Time{}
		}
		if len(l.targetRequests[c.ID]) > 0 && used[p][c.Route.Version].IsZero() {
			used[p][c.Route.Version] = c.Ended
		}
	}
	for _, c := range calls {
		if c.Status != http.StatusNotFound && c.Status != http.StatusUnauthorized && c.Status != http.StatusForbidden {
			continue
		}
		for v, at := range used[c.process()] {
			if v >= c.Route.Version && c.Sent.After(at.Add(regressSlack)) {
				l.addViolation(c, "a process that has used configuration %d returned to a configuration older than %d", v, c.Route.Version)
				break
			}
		}
		published := l.versions[c.Route.Version]
		if c.Sent.After(published.Add(applyBound)) && l.noFaultBetween(published.Add(-settleTime), c.Ended, false) && l.noRestart(published, c.Ended) {
			l.addViolation(c, "configuration %d was not in use %v after it was published", c.Route.Version, c.Sent.Sub(published))
		}
	}
}

const (
	// crashesToKnow is the number of crashes after which a part is known to crash engines, and knownTime the time after
	// the last of them in which requests with the part may still reach targets.
	crashesToKnow = 5
	knownTime     = 3 * time.Second
	// maxSendsOfPart is the number of requests with a known part that may reach targets after knownTime.
	maxSendsOfPart = 3
	// entryFaultTime is the time after a fault of an entry in which its requests do not count in maxSendsOfPart.
	entryFaultTime = 3 * time.Second
	// shareTime is the time after the last of these crashes from which sound requests must be served again.
	shareTime = 6 * time.Second
	// minBeside is the number of sound requests on each side from which their shares are compared.
	minBeside = 20
)

// partIDs returns the ids of the parts of a prompt.
func partIDs(prompt string) []string {
	var out []string
	for _, part := range strings.Split(prompt, ",") {
		id, _, _ := strings.Cut(part, ":")
		out = append(out, id)
	}
	return out
}

// checkRefusedPrompt checks that a request with a prompt that an entry refuses with 503 has reached no target that could
// have run it. This covers refusals because of a part, whose reason the platform's protocol does not name.
func (l *recorder) checkRefusedPrompt(c *clientRequest) {
	ran := func(r targetRequest) bool { return !r.RefusedUnstarted }
	if c.Prompt != "" && c.Status == http.StatusServiceUnavailable && slices.ContainsFunc(l.targetRequests[c.ID], ran) {
		l.addViolation(c, "a request refused with 503 reached a target that could have run it")
	}
}

// checkCrashingParts checks that a part that crashes targets is kept from them, and that sound requests do not suffer
// from it.
func (l *recorder) checkCrashingParts(byID map[string]*clientRequest) {
	byPart := map[string][]time.Time{}
	for _, k := range l.crashes {
		byPart[k.Part] = append(byPart[k.Part], k.At)
	}
	for part, crashes := range byPart {
		slices.SortFunc(crashes, time.Time.Compare)
		if len(crashes) >= crashesToKnow {
			l.checkSendsOfPart(part, crashes[crashesToKnow-1].Add(knownTime), byID)
		}
		l.checkBesidePart(part, crashes[0], crashes[min(len(crashes), crashesToKnow)-1].Add(shareTime))
	}
}

// checkSendsOfPart checks that few requests with a part reach targets after a time.
func (l *recorder) checkSendsOfPart(part string, after time.Time, byID map[string]*clientRequest) {
	n := 0
	var last *clientRequest
	var lastAt time.Time
	for id, runs := range l.targetRequests {
		c := byID[id]
		if c == nil || !slices.Contains(partIDs(c.Prompt), part) {
			continue
		}
		for _, r := range runs {
			if !r.At.After(after) || l.entryFault(c.Entry, r.At.Add(-entryFaultTime), r.At) {
				continue
			}
			if n++; r.At.After(lastAt) {
				last, lastAt = c, r.At
			}
		}
	}
	if n > maxSendsOfPart {
		l.addViolation(last, "%d requests with part %s reached targets later than %v after crash %d, the last one %v later", n, part, knownTime,
			crashesToKnow, lastAt.Sub(after))
	}
}

// entryFault reports whether an entry was restarted, frozen or cut off between two times.
func (l *recorder) entryFault(entry string, from, to time.Time) bool {
	return slices.ContainsFunc(l.faultPeriods, func(d *faultPeriod) bool {
		of := d.What == "restart of "+entry || d.What == "freeze of "+entry || d.What == "store of "+entry
		return of && d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
	})
}

// checkBesidePart checks that sound requests which share the route and the account or first part with requests of a part
// begin at least half as often after a time, while the part is still sent, as before its first crash.
func (l *recorder) checkBesidePart(part string, first, after time.Time) {
	shared := map[string]bool{} // accounts and first parts by route
	var lastSent time.Time
	keys := func(c *clientRequest) (account, part string) {
		return c.Route.Path + " account " + c.Account, c.Route.Path + " part " + partIDs(c.Prompt)[0]
	}
	for _, c := range l.clientRequests {
		if slices.Contains(partIDs(c.Prompt), part) {
			account, start := keys(c)
			shared[account], shared[start] = true, true
			if c.Sent.After(lastSent) {
				lastSent = c.Sent
			}
		}
	}
	var sent, begun [2]int // before the first crash, and later
	for _, c := range l.clientRequests {
		account, start := keys(c)
		if c.Ended.IsZero() || slices.Contains(partIDs(c.Prompt), part) || !shared[account] && !shared[start] || l.otherFault(c.Sent, c.Ended) {
			continue
		}
		side := 0
		switch {
		case c.Ended.Before(first):
		case c.Sent.After(after) && c.Sent.Before(lastSent):
			side = 1
		default:
			continue
		}
		sent[side]++
		if c.Status == http.StatusOK && len(c.Events) > 0 {
			begun[side]++
		}
	}
	text := fmt.Sprintf("beside part %s, %d of %d sound requests began, and %d of %d before its first crash", part, begun[1], sent[1], begun[0], sent[0])
	l.notes = append(l.notes, text)
	if min(sent[0], sent[1]) >= minBeside && 2*begun[1]*sent[0] < begun[0]*sent[1] {
		l.addViolation(nil, "%s", text)
	}
}

// crashFault begins the names of the faults that record crashes by a part.
const crashFault = "crash by a part of "

// otherFault reports whether a fault or operator action was in force between two times, besides crashes by a part.
func (l *recorder) otherFault(from, to time.Time) bool {
	return slices.ContainsFunc(l.faultPeriods, func(d *faultPeriod) bool {
		return !strings.HasPrefix(d.What, crashFault) && d.From.Before(to) && (d.To.IsZero() || d.To.After(from))
	})
}
