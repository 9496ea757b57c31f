package soak_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// TestChecksFindViolations guards against a soak test that passes because its checks detect nothing. Each case
// violates one guarantee or is an allowed deviation; an empty want means that no violation may be found.
func TestChecksFindViolations(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stream, safe, unsafe := routes[0], routes[1], routes[2]
	sound := func(r route, id string) (*clientRequest, targetRequest) {
		c := &clientRequest{ID: id, Route: r, Account: "one", Body: "b", Entry: "e1", Incarnation: 1, Sent: at(0), Ended: at(100), Status: 200,
			Stamped: true, Complete: true, Answer: expectedBody(id, "b")}
		if r.Kind == "stream" {
			for n := range eventCount(id) {
				c.Events = append(c.Events, expectedEvent(id, n+1))
			}
		}
		return c, targetRequest{Target: "i-1", Service: r.Service, At: at(10), Method: "POST", URI: r.Path + id, Account: "one", Body: "b", RemainingTime: r.Timeout}
	}
	// add adds a sound stream that was sent and reached a target at a time.
	add := func(l *recorder, account, prompt string, ms int) *clientRequest {
		c, r := sound(stream, fmt.Sprintf("q-a%d", len(l.clientRequests)))
		c.Account, c.Prompt, c.Sent, c.Ended = account, prompt, at(ms), at(ms+100)
		r.Account, r.Prompt, r.At = account, prompt, at(ms+10)
		l.clientRequests, l.targetRequests[c.ID] = append(l.clientRequests, c), []targetRequest{r}
		return c
	}
	crashes := func(l *recorder, n int) {
		for i := range n {
			l.crashes = append(l.crashes, crash{"bad", at(100 * i)})
		}
	}
	// sendsOfPart adds n requests with a part that reach targets 3.1 s after its fifth crash.
	sendsOfPart := func(l *recorder, n int) {
		for range n {
			add(l, "one", "a1:800,bad:410,c1:1", 3490)
		}
	}
	// besidePart adds 20 sound requests before the first of five crashes, and n 6.1 s after the fifth one, of which only
	// some begin. The part is sent again at lastSent.
	besidePart := func(l *recorder, n, begun int, account, prompt string, lastSent int) {
		crashes(l, 5)
		add(l, "one", "a1:800,bad:410,c1:1", lastSent)
		for range 20 {
			add(l, account, prompt, -1000)
		}
		for i := range n {
			if c := add(l, account, prompt, 6500); i >= begun {
				c.Status, c.Stamped, c.Events = 503, false, nil
				delete(l.targetRequests, c.ID)
			}
		}
	}
	cases := []struct {
		name           string
		route          route
		breakGuarantee func(l *recorder, c *clientRequest, r *targetRequest)
		want           string
	}{
		{"sound", safe, func(*recorder, *clientRequest, *targetRequest) {}, ""},
		{"sound stream", stream, func(*recorder, *clientRequest, *targetRequest) {}, ""},
		{"no stamp", safe, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Stamped = false }, "without the stamp of a target"},
		{"answer to another request", safe, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Answer = expectedBody("q-9", "b") }, "of another request"},
		{"part of an answer", safe, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Answer = c.Answer[:4] }, "of another request"},
		{"short stream", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Events = c.Events[:3] }, "ended as complete"},
		{"event lost", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events = append(c.Events[:1], c.Events[2:]...)
		}, "event 2 is"},
		{"event repeated", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Events[1] = c.Events[0] }, "event 2 is"},
		{"stream began again", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events = append(c.Events[:2:2], c.Events...)
		}, "event 3 is"},
		{"stream began again and broke off", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events, c.Complete, c.Err = append(c.Events[:2:2], c.Events[0]), false, io.ErrUnexpectedEOF
		}, "event 3 is"},
		{"stream without an event", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Events = nil }, "after 0 of"},
		{"stream with a part of an event", stream, func(_ *recorder, c *clientRequest, _ *targetRequest) {
			c.Events[2] = c.Events[2][:len(c.Events[2])-1]
		}, "event 3 is"},
		{"stream that ended in order inside an event", stream, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Events, c.Complete, c.Err = c.Events[:2], false, errors.Join(errNoRemovableTarget, io.EOF)
			l.faultPeriods = []*faultPeriod{{What: "answer mode of i-1", From: at(0), To: at(200)}}
		}, "ended as complete after 2 of"},
		{"stream that broke off during a fault", stream, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Events, c.Complete, c.Err = c.Events[:2], false, io.ErrUnexpectedEOF
			l.faultPeriods = []*faultPeriod{{What: "answer mode of i-1", From: at(0), To: at(200)}}
		}, ""},
		{"ran twice", unsafe, func(l *recorder, c *clientRequest, r *targetRequest) {
			l.targetRequests[c.ID] = append(l.targetRequests[c.ID], *r)
		}, "ran 2 times"},
		{"false refusal", unsafe, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Status, c.Stamped = 503, false }, "a status that says that it did not"},
		{"false conflict", unsafe, func(_ *recorder, c *clientRequest, _ *targetRequest) { c.Status = 421 }, "a status that says that it did not"},
		{"other account", safe, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Account = "two" }, `of "two"`},
		{"other body", safe, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Body = "" }, "0 bytes"},
		{"other prompt", stream, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Prompt = "a1:800" }, `prompt "a1:800"`},
		{"other service", safe, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.Service = "draft" }, "service draft"},
		{"no client request", safe, func(l *recorder, _ *clientRequest, r *targetRequest) { l.targetRequests["q-7"] = []targetRequest{*r} }, "no client sent"},
		{"too much time left", safe, func(_ *recorder, _ *clientRequest, r *targetRequest) { r.RemainingTime = 9 * time.Second }, "are left"},
		{"request after the drain bound", safe, func(l *recorder, _ *clientRequest, r *targetRequest) { l.leaveBeganAt["i-1"], r.At = at(0), at(2100) }, "began to leave"},
		{"request within the drain bound", safe, func(l *recorder, _ *clientRequest, r *targetRequest) { l.leaveBeganAt["i-1"], r.At = at(0), at(1900) }, ""},
		{"request after the drain bound during a fault", safe, func(l *recorder, _ *clientRequest, r *targetRequest) {
			l.leaveBeganAt["i-1"], r.At = at(0), at(2100)
			l.faultPeriods = []*faultPeriod{{What: "link to i-2", From: at(-100), To: at(50)}}
		}, ""},
		{"request to a target that said that it leaves", safe, func(l *recorder, c *clientRequest, r *targetRequest) {
			told := *c
			told.ID, told.Leaving, told.Ended, told.Answer = "q-2", "i-1", at(-2100), expectedBody("q-2", "b")
			l.clientRequests = append(l.clientRequests, &told)
		}, "had passed on that it leaves"},
		{"the same from another entry", safe, func(l *recorder, c *clientRequest, r *targetRequest) {
			told := *c
			told.ID, told.Leaving, told.Ended, told.Answer, told.Entry = "q-2", "i-1", at(-2100), expectedBody("q-2", "b"), "e2"
			l.clientRequests = append(l.clientRequests, &told)
		}, ""},
		{"requests to a quiet target", safe, func(l *recorder, c *clientRequest, r *targetRequest) {
			asked := *r
			asked.At, asked.QuietFor, asked.RefusedUnstarted = at(-1000), quietTime, true
			l.targetRequests[c.ID] = append(l.targetRequests[c.ID], asked, *r, *r)
		}, "which wanted none"},
		{"few requests to a quiet target", safe, func(l *recorder, c *clientRequest, r *targetRequest) {
			asked := *r
			asked.At, asked.QuietFor, asked.RefusedUnstarted = at(-1000), quietTime, true
			l.targetRequests[c.ID] = append(l.targetRequests[c.ID], asked, *r)
		}, ""},
		{"cut off by a planned restart", safe, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Status, c.Complete, c.Err = 0, false, errNoRemovableTarget
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", Planned: true, From: at(0), To: at(200)}}
		}, "was cut off"},
		{"cut off by a kill", safe, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Status, c.Complete, c.Err = 0, false, errNoRemovableTarget
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", From: at(0), To: at(200)}}
		}, ""},
		{"configuration not in use", safe, func(l *recorder, c *clientRequest, _ *targetRequest) {
			c.Route, c.Status, c.Stamped, c.Sent, c.Ended = versionRoute(2), 404, false, at(2200), at(2210)
			l.targetRequests, l.versions[2] = map[string][]targetRequest{}, at(0)
		}, "was not in use"},
		{"returned to an older configuration", safe, func(l *recorder, c *clientRequest, _ *targetRequest) {
			late := *c
			late.ID, late.Route, late.Status, late.Stamped, late.Sent, late.Ended = "q-2", versionRoute(1), 404, false, at(900), at(910)
			l.clientRequests = append(l.clientRequests, &late)
			l.versions[1] = at(800)
		}, "returned to a configuration older"},
		{"too many retries", safe, func(l *recorder, c *clientRequest, r *targetRequest) {
			for range int(retrySlack) + 2 {
				l.targetRequests[c.ID] = append(l.targetRequests[c.ID], *r)
			}
		}, "retries to service desk"},
		{"late answers", safe, func(l *recorder, c *clientRequest, _ *targetRequest) {
			for i := range minTimeouts {
				late := *c
				late.ID, late.Ended = "q-8"+strings.Repeat("0", i), at(2600)
				late.Answer = expectedBody(late.ID, "b")
				l.clientRequests = append(l.clientRequests, &late)
			}
		}, "within 500ms"},
		{"part sent on after its fifth crash", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			crashes(l, 5)
			sendsOfPart(l, 4)
		}, "4 requests with part bad reached targets"},
		{"few requests with a part after its fifth crash", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			crashes(l, 5)
			sendsOfPart(l, 3)
		}, ""},
		{"part sent on after its fourth crash", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			crashes(l, 4)
			sendsOfPart(l, 4)
		}, ""},
		{"part sent on by a restarted entry", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			crashes(l, 5)
			sendsOfPart(l, 4)
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", From: at(400), To: at(600)}}
		}, ""},
		{"part sent on 3 s after a restart", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			crashes(l, 5)
			sendsOfPart(l, 4)
			l.faultPeriods = []*faultPeriod{{What: "restart of e1", From: at(200), To: at(400)}, {What: "freeze of e2", From: at(3000), To: at(4000)}}
		}, "4 requests with part bad reached targets"},
		{"sound requests refused beside a part", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 9, "one", "a2:800,c2:1", 7000)
		}, "9 of 20 sound requests began"},
		{"sound requests with the same first part refused", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 9, "two", "a1:800,c2:1", 7000)
		}, "9 of 20 sound requests began"},
		{"half of the sound requests served beside a part", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 10, "one", "a1:800,c2:1", 7000)
		}, ""},
		{"other sound requests refused", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 0, "two", "a2:800,c2:1", 7000)
		}, ""},
		{"few sound requests beside a part", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 19, 0, "one", "a1:800,c2:1", 7000)
		}, ""},
		{"sound requests refused after the last one with the part", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 0, "one", "a1:800,c2:1", 6450)
		}, ""},
		{"sound requests refused beside a part during a fault", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 0, "one", "a1:800,c2:1", 7000)
			l.faultPeriods = []*faultPeriod{{What: "link to i-2", From: at(6000), To: at(7000)}}
		}, ""},
		{"sound requests refused beside a part during its crash", stream, func(l *recorder, _ *clientRequest, _ *targetRequest) {
			besidePart(l, 20, 0, "one", "a1:800,c2:1", 7000)
			l.faultPeriods = []*faultPeriod{{What: crashFault + "i-2", From: at(6000), To: at(7000)}}
		}, "0 of 20 sound requests began"},
		{"prompt refused after it reached a target", stream, func(_ *recorder, c *clientRequest, r *targetRequest) {
			c.Prompt, r.Prompt, c.Status, c.Stamped = "a1:800,bad:410", "a1:800,bad:410", 503, false
		}, "refused with 503 reached a target"},
		{"prompt refused after a target refused it", stream, func(_ *recorder, c *clientRequest, r *targetRequest) {
			c.Prompt, r.Prompt, c.Status, c.Stamped, r.RefusedUnstarted = "a1:800,bad:410", "a1:800,bad:410", 503, false, true
		}, ""},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			l := newRecorder()
			c, r := sound(k.route, "q-1")
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
