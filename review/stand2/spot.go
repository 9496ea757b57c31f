package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times and numbers of the case of runners that are taken away after a notice.
const (
	spotRunTime   = 30 * time.Second
	spotNoticeAt  = 8 * time.Second
	spotTime      = 2 * time.Second // from the notice to the end
	spotReplaceIn = 4 * time.Second // from the end until others come
	spotRunners   = 8
	spotLeaving   = 2
	spotSlots     = 12
	spotClients   = 48
)

// takenAway takes two of eight runners away, two seconds after they have said that they drain, while clients read streams
// that have no length. It returns the streams that broke the rule ORDER.
func takenAway(rec *record, trouble bool) (broken int, err error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	s.put("op/config", []byte(streamConfig))
	zones := []string{"bern-a", "bern-b", "olten-c"}
	var mu sync.Mutex
	var runners []*runnerProcess
	add := func(n int) error {
		r, err := startRunnerProcess(rec, fmt.Sprintf("i-%08x", 0x2000+n))
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		runners = append(runners, r)
		s.put("servers/"+r.id, r.entry("wording", zones[n%3], "ready", spotSlots))
		return nil
	}
	defer started.killAll()
	for n := range spotRunners {
		if err := add(n); err != nil {
			return 0, err
		}
	}
	f, err := newFleet(rec, s, 2)
	if err != nil {
		return 0, err
	}
	defer f.close()
	var all []*attempt
	note := func(a *attempt) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, a)
	}
	var clients sync.WaitGroup
	end := time.Now().Add(spotRunTime)
	for n := range spotClients { // 24 to 48 events
		c := &client{number: n, fleet: f, events: func() int { return 24 + rand.IntN(25) }, pause: 50 * time.Millisecond, done: note}
		clients.Go(func() { c.run(end) })
	}
	if trouble {
		go func() {
			time.Sleep(spotNoticeAt)
			for n, r := range runners[:spotLeaving] {
				s.put("servers/"+r.id, r.entry("wording", zones[n%3], "draining", spotSlots))
				r.leave()
				rec.printf("%s reports draining", r.id)
			}
			time.Sleep(spotTime)
			for _, r := range runners[:spotLeaving] {
				_ = r.cmd.Process.Kill()
				s.remove("servers/" + r.id)
				rec.printf("%s is killed, and its entry is removed", r.id)
			}
			time.Sleep(spotReplaceIn)
			for n := range spotLeaving {
				if err := add(spotRunners + n); err != nil {
					rec.printf("%v", err)
				}
			}
		}()
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgeOrder(rec, all, runners), nil
}

// judgeOrder applies the rule ORDER to all attempts, and records them.
func judgeOrder(rec *record, all []*attempt, runners []*runnerProcess) (broken int) {
	for _, a := range all {
		text := fmt.Sprintf("%s sent %.3f: status %d, %d of %d events, complete %v, ended %.3f", a.id, rec.seconds(a.sent), a.status,
			a.received, a.events, a.complete, rec.seconds(a.ended))
		for _, r := range runners {
			text += r.runsOf(a.id)
		}
		if a.status == http.StatusOK && a.complete && a.received < a.events {
			broken++
			text += "  <-- ORDER: ended as complete before its last piece"
		}
		rec.printf("%s", text)
	}
	rec.printf("%d attempts, %d of them ended as complete too early", len(all), broken)
	return broken
}
