package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times and numbers of the case of runners that crash and start again while a front is frozen.
const (
	thawRunTime  = 30 * time.Second
	freezeAt     = 8 * time.Second
	freezeTime   = 1600 * time.Millisecond
	crashAfter   = 200 * time.Millisecond // after the freeze
	downTime     = 800 * time.Millisecond // of the runners
	thawRunners  = 8
	thawCrashing = 1
)

// crashWhileFrozen freezes a front. Meanwhile a runner crashes and starts again at its address and under its id. Streams have
// no length. It returns the streams that broke the rule ORDER.
func crashWhileFrozen(rec *record, trouble bool) (broken int, err error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	s.put("op/config", []byte(streamConfig))
	zones := []string{"bern-a", "bern-b", "olten-c"}
	var mu sync.Mutex
	var runners []*runnerProcess
	defer started.killAll()
	for n := range thawRunners {
		r, err := startRunnerProcess(rec, fmt.Sprintf("i-%08x", 0x3000+n))
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
		s.put("servers/"+r.id, r.entry("wording", zones[n%3], "ready", spotSlots))
	}
	f, err := newFleet(rec, s, 2)
	if err != nil {
		return 0, err
	}
	defer f.close()
	var all []*attempt
	var clients sync.WaitGroup
	end := time.Now().Add(thawRunTime)
	for n := range spotClients { // 24 to 48 events
		c := &client{number: n, fleet: f, events: func() int { return 24 + rand.IntN(25) }, pause: 50 * time.Millisecond, done: func(a *attempt) {
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		}}
		clients.Go(func() { c.run(end) })
	}
	if trouble {
		go func() {
			time.Sleep(freezeAt)
			x := f.fronts[0]
			_ = x.cmd.Process.Signal(syscall.SIGSTOP)
			rec.printf("%s is frozen", x.name)
			thaw := time.Now().Add(freezeTime)
			time.Sleep(crashAfter)
			for _, r := range runners[:thawCrashing] {
				_ = r.cmd.Process.Kill()
				rec.printf("%s crashes", r.id)
			}
			time.Sleep(downTime)
			for n, r := range runners[:thawCrashing] {
				again, err := startRunnerAt(rec, r.id, r.addr)
				if err != nil {
					rec.printf("%v", err)
					continue
				}
				s.put("servers/"+r.id, again.entry("wording", zones[n%3], "ready", spotSlots))
				rec.printf("%s runs again", r.id)
				mu.Lock()
				runners = append(runners, again)
				mu.Unlock()
			}
			time.Sleep(time.Until(thaw))
			_ = x.cmd.Process.Signal(syscall.SIGCONT)
			rec.printf("%s goes on", x.name)
		}()
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	return judgeOrder(rec, all, runners), nil
}
