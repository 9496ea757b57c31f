package soak_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// violation is a case for the checks of the soak test: a sound request, of which a guarantee is broken, or which deviates
// in a way that is allowed.
type violation struct {
	name           string
	route          route
	breakGuarantee func(l *recorder, c *clientRequest, r *targetRequest)
	want           string // part of the finding; empty if no violation may be found
}

// testChecks guards against a soak test that passes because its checks detect nothing, or that fails without a cause.
func testChecks(t *testing.T, cases []violation) {
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			l := newRecorder()
			c, r := soundRequest(k.route, "q-1")
			l.clientRequests, l.targetRequests[c.ID] = []*clientRequest{c}, []targetRequest{r}
			k.breakGuarantee(l, c, &r)
			if len(l.targetRequests[c.ID]) == 1 {
				l.targetRequests[c.ID][0] = r
			}
			found := strings.Join(l.checkAll(), "\n")
			if k.want == "" && found != "" || !strings.Contains(found, k.want) {
				t.Errorf("want %q, found %q", k.want, found)
			}
		})
	}
}

var streamRoute, safeRoute, unsafeRoute = routes[0], routes[1], routes[2]

var checksStart = time.Now()

// at returns the time of a number of milliseconds after the start.
func at(ms int) time.Time { return checksStart.Add(time.Duration(ms) * time.Millisecond) }

// soundRequest returns a request that was sent at the start and answered completely, as its caller and its target saw it.
func soundRequest(r route, id string) (*clientRequest, targetRequest) {
	c := &clientRequest{ID: id, Route: r, Account: "one", Body: "b", Entry: "e1", Incarnation: 1, Sent: at(0), Ended: at(100), Status: 200,
		Stamped: true, Complete: true, Answer: expectedBody(id, "b")}
	if r.Kind == "stream" {
		for n := range eventCount(id) {
			c.Events = append(c.Events, expectedEvent(id, n+1))
		}
	}
	return c, targetRequest{Target: "i-1", Service: r.Service, At: at(10), Method: "POST", URI: r.Path + id, Account: "one", Body: "b", RemainingTime: r.Timeout}
}

// addStream adds a sound stream that was sent and reached a target at a time.
func addStream(l *recorder, account, prompt string, ms int) *clientRequest {
	c, r := soundRequest(streamRoute, fmt.Sprintf("q-a%d", len(l.clientRequests)))
	c.Account, c.Prompt, c.Sent, c.Ended = account, prompt, at(ms), at(ms+100)
	r.Account, r.Prompt, r.At = account, prompt, at(ms+10)
	l.clientRequests, l.targetRequests[c.ID] = append(l.clientRequests, c), []targetRequest{r}
	return c
}

// addCrashes adds n crashes under a part.
func addCrashes(l *recorder, n int) {
	for i := range n {
		l.crashes = append(l.crashes, crash{"bad", at(100 * i)})
	}
}

// addSendsOfPart adds n requests with a part that reach targets 3.1 s after its fifth crash.
func addSendsOfPart(l *recorder, n int) {
	for range n {
		addStream(l, "one", "a1:800,bad:410,c1:1", 3490)
	}
}

// addBesidePart adds 20 sound requests before the first of five crashes, and n 6.1 s after the fifth one, of which only
// some begin. The part is sent again at lastSent.
func addBesidePart(l *recorder, n, begun int, account, prompt string, lastSent int) {
	addCrashes(l, 5)
	addStream(l, "one", "a1:800,bad:410,c1:1", lastSent)
	for range 20 {
		addStream(l, account, prompt, -1000)
	}
	for i := range n {
		if c := addStream(l, account, prompt, 6500); i >= begun {
			c.Status, c.Stamped, c.Events = 503, false, nil
			delete(l.targetRequests, c.ID)
		}
	}
}

// TestChecksOfAnswers guards against checks that miss incomplete or foreign answers.
func TestChecksOfAnswers(t *testing.T) {
	testChecks(t, []violation{
		{"sound", safeRoute, func(*recorder, *clientRequest, *targetRequest) {}, ""},
		{"sound stream", streamRoute, func(*recorder, *clientRequest, *targetRequest) {}, ""},
		{"no stamp", safeRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Stamped = false }, "without the stamp of a target"},
		{"answer to another request", safeRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Answer = expectedBody("q-9", "b") }, "of another request"},
		{"part of an answer", safeRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Answer = c.Answer[:4] }, "of another request"},
		{"short stream", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Events = c.Events[:3] }, "ended as complete"},
		{"event lost", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events = append(c.Events[:1], c.Events[2:]...)
		}, "event 2 is"},
		{"event repeated", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Events[1] = c.Events[0] }, "event 2 is"},
		{"stream began again", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events = append(c.Events[:2:2], c.Events...)
		}, "event 3 is"},
		{"stream began again and broke off", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events, c.Complete, c.Err = append(c.Events[:2:2], c.Events[0]), false, io.ErrUnexpectedEOF
		}, "event 3 is"},
		{"stream without an event", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Events = nil }, "after 0 of"},
		{"stream with a part of an event", streamRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events[2] = c.Events[2][:len(c.Events[2])-1]
		}, "event 3 is"},
		{"stream that ended in order inside an event", streamRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Events, c.Complete, c.Err = c.Events[:2], false, errors.Join(errNoRemovableTarget, io.EOF)
			l.faultPeriods = []*faultPeriod{{What: "answer mode of i-1", From: at(0), To: at(200)}}
		}, "ended as complete after 2 of"},
		{"stream that broke off during a fault", streamRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Events, c.Complete, c.Err = c.Events[:2], false, io.ErrUnexpectedEOF
			l.faultPeriods = []*faultPeriod{{What: "answer mode of i-1", From: at(0), To: at(200)}}
		}, ""},
	})
}

// TestChecksOfRuns guards against checks that miss requests that ran twice, were changed or wrongly called not run.
func TestChecksOfRuns(t *testing.T) {
	testChecks(t, []violation{
		{"ran twice", unsafeRoute, func(l *recorder, c *clientRequest, r *targetRequest) {
			l.targetRequests[c.ID] = append(l.targetRequests[c.ID], *r)
		}, "ran 2 times"},
		{"false refusal", unsafeRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Status, c.Stamped = 503, false }, "a status that says that it did not"},
		{"false conflict", unsafeRoute, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Status = 421 }, "a status that says that it did not"},
		{"other account", safeRoute, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Account = "two" }, `of "two"`},
		{"other body", safeRoute, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Body = "" }, "0 bytes"},
		{"other prompt", streamRoute, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Prompt = "a1:800" }, `prompt "a1:800"`},
		{"other service", safeRoute, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Service = "draft" }, "service draft"},
		{"no client request", safeRoute, func(l *recorder, _ *clientRequest, r *targetRequest) { l.targetRequests["q-7"] = []targetRequest{*r} }, "no client sent"},
		{"too much time left", safeRoute, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.RemainingTime = 9 * time.Second }, "are left"},
	})
}

// TestChecksOfDrainAndConfig guards against checks that miss requests to leaving and quiet targets, answers that a planned
// restart has cut off, configurations that are not in use, too many retries, and late answers.
func TestChecksOfDrainAndConfig(t *testing.T) {
	testChecks(t, []violation{
		{"request after the drain bound", safeRoute, func(l *recorder, _ *clientRequest, r *targetRequest) { l.leaveBeganAt["i-1"], r.At = at(0), at(2100) }, "began to leave"},
		{"request within the drain bound", safeRoute, func(l *recorder, _ *clientRequest, r *targetRequest) { l.leaveBeganAt["i-1"], r.At = at(0), at(1900) }, ""},
		{"request after the drain bound during a fault", safeRoute, func(l *recorder, _ *clientRequest, r *targetRequest) {
			l.leaveBeganAt["i-1"], r.At = at(0), at(2100)
			l.faultPeriods = []*faultPeriod{{What: "link to i-2", From: at(-100), To: at(50)}}
		}, ""},
		{"request to a target that said that it leaves", safeRoute, func(l *recorder, c *clientRequest, r *targetRequest) {
			told := *c
			told.ID, told.Leaving, told.Ended, told.Answer = "q-2", "i-1", at(-2100), expectedBody("q-2", "b")
			l.clientRequests = append(l.clientRequests, &told)
		}, "had passed on that it leaves"},
		{"the same from another entry", safeRoute, func(l *recorder, c *clientRequest, r *targetRequest) {
			told := *c
			told.ID, told.Leaving, told.Ended, told.Answer, told.Entry = "q-2", "i-1", at(-2100), expectedBody("q-2", "b"), "e2"
			l.clientRequests = append(l.clientRequests, &told)
		}, ""},
		{"requests to a quiet target", safeRoute, func(l *recorder, c *clientRequest, r *targetRequest) {
			asked := *r
			asked.At, asked.QuietFor, asked.RefusedUnstarted = at(-1000), quietTime, true
			l.targetRequests[c.ID] = append(l.targetRequests[c.ID], asked, *r, *r)
		}, "which wanted none"},
		{"few requests to a quiet target", safeRoute, func(l *recorder, c *clientRequest, r *targetRequest) {
			asked := *r
			asked.At, asked.QuietFor, asked.RefusedUnstarted = at(-1000), quietTime, true
			l.targetRequests[c.ID] = append(l.targetRequests[c.ID], asked, *r)
		}, ""},
		{"cut off by a planned restart", safeRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Status, c.Complete, c.Err = 0, false, errNoRemovableTarget
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", Planned: true, From: at(0), To: at(200)}}
		}, "was cut off"},
		{"cut off by a kill", safeRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Status, c.Complete, c.Err = 0, false, errNoRemovableTarget
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", From: at(0), To: at(200)}}
		}, ""},
		{"configuration not in use", safeRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Route, c.Status, c.Stamped, c.Sent, c.Ended = versionRoute(2), 404, false, at(2200), at(2210)
			l.targetRequests, l.versions[2] = map[string][]targetRequest{}, at(0)
		}, "was not in use"},
		{"returned to an older configuration", safeRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			late := *c
			late.ID, late.Route, late.Status, late.Stamped, late.Sent, late.Ended = "q-2", versionRoute(1), 404, false, at(900), at(910)
			l.clientRequests = append(l.clientRequests, &late)
			l.versions[1] = at(800)
		}, "returned to a configuration older"},
		{"too many retries", safeRoute, func(l *recorder, c *clientRequest, r *targetRequest) {
			for range int(retrySlack) + 2 {
				l.targetRequests[c.ID] = append(l.targetRequests[c.ID], *r)
			}
		}, "retries to service desk"},
		{"late answers", safeRoute, func(l *recorder, c *clientRequest, _ *targetRequest) {
			for i := range minTimeouts {
				late := *c
				late.ID, late.Ended = "q-8"+strings.Repeat("0", i), at(2600)
				late.Answer = expectedBody(late.ID, "b")
				l.clientRequests = append(l.clientRequests, &late)
			}
		}, "within 500ms"},
	})
}

// TestChecksOfCrashingParts guards against checks that miss parts of prompts that crash engines.
func TestChecksOfCrashingParts(t *testing.T) {
	testChecks(t, []violation{
		{"part sent on after its fifth crash", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addCrashes(l, 5)
			addSendsOfPart(l, 4)
		}, "4 requests with part bad reached targets"},
		{"few requests with a part after its fifth crash", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addCrashes(l, 5)
			addSendsOfPart(l, 3)
		}, ""},
		{"part sent on after its fourth crash", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addCrashes(l, 4)
			addSendsOfPart(l, 4)
		}, ""},
		{"part sent on by a restarted entry", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addCrashes(l, 5)
			addSendsOfPart(l, 4)
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", From: at(400), To: at(600)}}
		}, ""},
		{"part sent on 3 s after a restart", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addCrashes(l, 5)
			addSendsOfPart(l, 4)
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", From: at(200), To: at(400)}, {What: "freeze of e2", From: at(3000), To: at(4000)}}
		}, "4 requests with part bad reached targets"},
		{"sound requests refused beside a part", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 9, "one", "a2:800,c2:1", 7000)
		}, "9 of 20 sound requests began"},
		{"sound requests with the same first part refused", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 9, "two", "a1:800,c2:1", 7000)
		}, "9 of 20 sound requests began"},
		{"half of the sound requests served beside a part", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 10, "one", "a1:800,c2:1", 7000)
		}, ""},
		{"other sound requests refused", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 0, "two", "a2:800,c2:1", 7000)
		}, ""},
		{"few sound requests beside a part", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 19, 0, "one", "a1:800,c2:1", 7000)
		}, ""},
		{"sound requests refused after the last one with the part", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 0, "one", "a1:800,c2:1", 6450)
		}, ""},
		{"sound requests refused beside a part during a fault", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 0, "one", "a1:800,c2:1", 7000)
			l.faultPeriods = []*faultPeriod{{What: "link to i-2", From: at(6000), To: at(7000)}}
		}, ""},
		{"sound requests refused beside a part during its crash", streamRoute, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			addBesidePart(l, 20, 0, "one", "a1:800,c2:1", 7000)
			l.faultPeriods = []*faultPeriod{{What: crashFault + "i-2", From: at(6000), To: at(7000)}}
		}, "0 of 20 sound requests began"},
		{"prompt refused after it reached a target", streamRoute, func(_ *recorder, c *clientRequest, r *targetRequest) {
			c.Prompt, r.Prompt, c.Status, c.Stamped = "a1:800,bad:410", "a1:800,bad:410", 503, false
		}, "refused with 503 reached a target"},
		{"prompt refused after a target refused it", streamRoute, func(_ *recorder, c *clientRequest, r *targetRequest) {
			c.Prompt, r.Prompt, c.Status, c.Stamped, r.RefusedUnstarted = "a1:800,bad:410", "a1:800,bad:410", 503, false, true
		}, ""},
	})
}
