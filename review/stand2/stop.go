package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case of the planned stop.
const (
	stopRunTime   = 46 * time.Second
	firstStop     = 10 * time.Second
	stopInterval  = 12 * time.Second
	latestExcused = 3 * time.Second // after the SIGTERM: a request sent until then may be cut near the end of grace_s
	afterGrace    = time.Second     // the stop counts until then after grace_s
)

const streamConfig = `{"version":7,"routes":[{"name":"draft","hostname":"shop.example","prefix":"/draft/","route_kind":"stream","timeout_ms":8000,
"target_latency_ms":500,"target_gap_ms":120,"priority":1,"service":"wording","max_attempts":2,"stream_resumption":true}],
"services":[{"name":"wording","health_path":"/health","max_connections":418}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":10000},
"tenants":[{"name":"one","api_keys":["key-one"]}]}`

// plannedStop stops the fronts one after the other while clients send streams, most of them short and a few long. It
// returns the requests that broke the rule LOST.
func plannedStop(rec *record, trouble bool) (broken int, err error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	s.put("op/config", []byte(streamConfig))
	var runners []*runner
	for i := range 26 {
		r, err := startRunner(rec, fmt.Sprintf("i-%08x", 0x1000+i), 12)
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
		s.put("servers/"+r.id, r.entry("wording", []string{"bern-a", "bern-b", "olten-c"}[i%3], "ready"))
	}
	f, err := newFleet(rec, s, 3)
	if err != nil {
		return 0, err
	}
	defer f.close()
	var mu sync.Mutex
	var all []*attempt
	note := func(a *attempt) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, a)
	}
	var clients sync.WaitGroup
	end := time.Now().Add(stopRunTime)
	add := func(n int, pause time.Duration, events func() int) {
		c := &client{number: n, fleet: f, events: events, pause: pause, done: note}
		clients.Go(func() { c.run(end) })
	}
	for n := range 300 { // 2 to 6 events: 0.2 to 0.6 s
		add(n, 50*time.Millisecond, func() int { return 2 + rand.IntN(5) })
	}
	clients.Go(func() {
		for n := range 9 { // 44 events: 4.4 s
			add(n, 20*time.Millisecond, func() int { return 44 })
			time.Sleep(490 * time.Millisecond)
		}
	})
	if trouble {
		go func() {
			time.Sleep(firstStop)
			for _, x := range f.fronts {
				next := time.Now().Add(stopInterval)
				f.terminate(x)
				time.Sleep(time.Until(next))
			}
		}()
	}
	clients.Wait()
	return judgeStop(rec, all, runners, f), nil
}

// judgeStop applies the rule LOST around planned work to all attempts, and records them.
func judgeStop(rec *record, all []*attempt, runners []*runner, f *fleet) (broken int) {
	for _, a := range all {
		var x *run
		for _, r := range runners {
			if found := r.find(a.id); found != nil {
				x = found
			}
		}
		text := "no front"
		if a.front != nil {
			text = a.front.name
		}
		text = fmt.Sprintf("%s to %s (kept connection: %v) sent %.3f: status %d, %d of %d events, complete %v, ended %.3f", a.id, text, a.kept,
			rec.seconds(a.sent), a.status, a.received, a.events, a.complete, rec.seconds(a.ended))
		if x != nil {
			text += fmt.Sprintf("; run by %s from %.3f to %.3f, whole answer sent: %v", x.runner, rec.seconds(x.began), rec.seconds(x.ended), x.sentAll)
		}
		if isLost(a, x) {
			broken++
			text += fmt.Sprintf("  <-- LOST: sent %.3f s after the SIGTERM, cut %.3f s after it", a.sent.Sub(a.front.termAt).Seconds(),
				a.ended.Sub(a.front.termAt).Seconds())
		}
		rec.printf("%s", text)
	}
	rec.printf("%d attempts, %d of them LOST", len(all), broken)
	return broken
}

// isLost reports whether an attempt breaks the rule LOST around planned work: it was passed on to a runner, its
// connection ended without a complete answer during the planned stop, and no excuse of the rule applies.
func isLost(a *attempt, x *run) bool {
	if a.complete || a.front == nil || x == nil || a.front.termAt.IsZero() {
		return false
	}
	term := a.front.termAt
	if a.ended.Before(term) || a.ended.After(term.Add(grace+afterGrace)) {
		return false
	}
	if a.ended.Sub(a.sent) >= timeBudget { // the time budget and the route's timeout are equal here
		return false
	}
	lastSixth := term.Add(grace * 5 / 6)
	return a.sent.After(term.Add(latestExcused)) || x.ended.Before(lastSixth)
}
