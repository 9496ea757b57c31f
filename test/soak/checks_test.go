package soak_test

import (
	"strings"
	"testing"
	"time"
)

// TestChecksFindBrokenPromises guards against a soak that passes because its checks see nothing: each case breaks one
// promise, and a sound run breaks none.
func TestChecksFindBrokenPromises(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	stream, safe, unsafe := routes[0], routes[1], routes[2]
	sound := func(r route, id string) (*call, run) {
		c := &call{ID: id, Route: r, Account: "one", Body: "b", Entry: "e1", Lifetime: 1, Sent: at(0), Ended: at(100), Status: 200,
			Stamped: true, Complete: true, Answer: bodyOf(id, "b")}
		if r.Kind == "stream" {
			for n := range eventsOf(id) {
				c.Events = append(c.Events, eventOf(id, n+1))
			}
		}
		return c, run{Target: "i-1", Service: r.Service, At: at(10), Method: "POST", URI: r.Path + id, Account: "one", Body: "b", Left: r.Timeout}
	}
	cases := []struct {
		name  string
		route route
		spoil func(l *ledger, c *call, r *run)
		want  string
	}{
		{"sound", safe, func(*ledger, *call, *run) {}, ""},
		{"sound stream", stream, func(*ledger, *call, *run) {}, ""},
		{"no stamp", safe, func(_ *ledger, c *call, _ *run) { c.Stamped = false }, "without a target"},
		{"foreign answer", safe, func(_ *ledger, c *call, _ *run) { c.Answer = bodyOf("q-9", "b") }, "another request"},
		{"part of an answer", safe, func(_ *ledger, c *call, _ *run) { c.Answer = c.Answer[:4] }, "another request"},
		{"short stream", stream, func(_ *ledger, c *call, _ *run) { c.Events = c.Events[:3] }, "ended as complete"},
		{"event lost", stream, func(_ *ledger, c *call, _ *run) { c.Events = append(c.Events[:1], c.Events[2:]...) }, "event 2 is"},
		{"event twice", stream, func(_ *ledger, c *call, _ *run) { c.Events[1] = c.Events[0] }, "event 2 is"},
		{"ran twice", unsafe, func(l *ledger, c *call, r *run) { l.runs[c.ID] = append(l.runs[c.ID], *r) }, "ran 2 times"},
		{"false refusal", unsafe, func(_ *ledger, c *call, _ *run) { c.Status, c.Stamped = 503, false }, "a promise that it did not"},
		{"false conflict", unsafe, func(_ *ledger, c *call, _ *run) { c.Status = 421 }, "a promise that it did not"},
		{"other account", safe, func(_ *ledger, _ *call, r *run) { r.Account = "two" }, `of "two"`},
		{"other body", safe, func(_ *ledger, _ *call, r *run) { r.Body = "" }, "0 bytes"},
		{"other service", safe, func(_ *ledger, _ *call, r *run) { r.Service = "draft" }, "service draft"},
		{"nobody asked", safe, func(l *ledger, _ *call, r *run) { l.runs["q-7"] = []run{*r} }, "no client sent"},
		{"too much time", safe, func(_ *ledger, _ *call, r *run) { r.Left = 9 * time.Second }, "are left"},
		{"late to a target that leaves", safe, func(l *ledger, _ *call, r *run) { l.leaves["i-1"], r.At = at(0), at(2100) }, "began to leave"},
		{"in time at a target that leaves", safe, func(l *ledger, _ *call, r *run) { l.leaves["i-1"], r.At = at(0), at(1900) }, ""},
		{"late beside a cut", safe, func(l *ledger, _ *call, r *run) {
			l.leaves["i-1"], r.At = at(0), at(2100)
			l.disturbances = []*disturbance{{What: "link to i-2", From: at(-100), To: at(50)}}
		}, ""},
		{"cut off by planned work", safe, func(l *ledger, c *call, _ *run) {
			c.Status, c.Complete, c.Err = 0, false, errNone
			l.disturbances = []*disturbance{{What: "restart of e1", Planned: true, From: at(0), To: at(200)}}
		}, "was cut off"},
		{"cut off by a kill", safe, func(l *ledger, c *call, _ *run) {
			c.Status, c.Complete, c.Err = 0, false, errNone
			l.disturbances = []*disturbance{{What: "restart of e1", From: at(0), To: at(200)}}
		}, ""},
		{"configuration not in use", safe, func(l *ledger, c *call, _ *run) {
			c.Route, c.Status, c.Stamped, c.Sent, c.Ended = versionRoute(2), 404, false, at(2200), at(2210)
			l.runs, l.versions[2] = map[string][]run{}, at(0)
		}, "was not in use"},
		{"fell back", safe, func(l *ledger, c *call, _ *run) {
			late := *c
			late.ID, late.Route, late.Status, late.Stamped, late.Sent, late.Ended = "q-2", versionRoute(1), 404, false, at(900), at(910)
			l.calls = append(l.calls, &late)
			l.versions[1] = at(800)
		}, "fell back"},
		{"too many repeats", safe, func(l *ledger, c *call, r *run) {
			for range int(retrySlack) + 2 {
				l.runs[c.ID] = append(l.runs[c.ID], *r)
			}
		}, "repeats to service desk"},
		{"late answers", safe, func(l *ledger, c *call, _ *run) {
			for i := range fewTimeouts {
				late := *c
				late.ID, late.Ended = "q-8"+strings.Repeat("0", i), at(2600)
				late.Answer = bodyOf(late.ID, "b")
				l.calls = append(l.calls, &late)
			}
		}, "half a second later"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			l := newLedger()
			c, r := sound(k.route, "q-1")
			l.calls, l.runs[c.ID] = []*call{c}, []run{r}
			k.spoil(l, c, &r)
			if len(l.runs[c.ID]) == 1 {
				l.runs[c.ID][0] = r
			}
			found := strings.Join(l.check(), "\n")
			if k.want == "" && found != "" || !strings.Contains(found, k.want) {
				t.Errorf("want %q, found %q", k.want, found)
			}
		})
	}
}
