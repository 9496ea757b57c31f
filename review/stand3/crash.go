package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// load is what the clients of a case ask for.
type load struct {
	rule          string // that is judged
	service       string
	prefix        string
	kind          string // of the route
	timeoutMs     int    // of the route, and the time for which a client waits
	objectiveMs   int
	slots         int
	pieces        int           // of an answer
	pause         time.Duration // before each piece
	clients       int
	crashes       int
	stream        bool // the pieces are events
	resumesStream bool
}

var (
	// drafts are streams as on the sheet: 24 events, with pauses below its 120 ms.
	drafts = load{rule: "ORDER", service: "wording", prefix: "/draft/", kind: "stream", timeoutMs: 8000, objectiveMs: 500, slots: 12, pieces: 24,
		pause: 115 * time.Millisecond, clients: 70, crashes: 9, stream: true, resumesStream: true}
	// bookings take 200 ms, between the mean of 60 ms and the longest time of 450 ms in the site file. A runner writes its 800 bytes
	// while it works.
	bookings = load{rule: "MIXED", service: "desk", prefix: "/book/", kind: "unsafe", timeoutMs: 4000, objectiveMs: 300, slots: 6, pieces: 8,
		pause: 25 * time.Millisecond, clients: 35, crashes: 18}
)

const (
	runnerCount   = 7 // one of them is less than a share of 0.15
	crashInterval = time.Second
	crashDown     = 3 * time.Second             // until another runner has taken the place of the one that crashed
	entryLapse    = 3 * 1200 * time.Millisecond // three check-in intervals, after which the store removes the entry of a silent runner
)

// piece returns one piece of the answer to a request.
func (l *load) piece(id string, n int) string {
	if l.stream {
		return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
	}
	return fmt.Sprintf("%-99s\n", fmt.Sprintf("%s piece %d", id, n))
}

// whole returns the whole answer to a request.
func (l *load) whole(id string) (text string) {
	for n := 1; n <= l.pieces; n++ {
		text += l.piece(id, n)
	}
	return text
}

// answer is what a client saw of the answer to a request.
type answer struct {
	id       string
	status   int
	complete bool // the answer ended as its framing says
	text     string
	err      error
}

// playCrashes returns a scenario in which one of seven runners is killed now and then while it answers requests. Another one takes
// its place.
func playCrashes(l *load) func(*env) error {
	return func(e *env) error {
		var runners []*runnerProcess
		for n := range runnerCount {
			r, err := e.startRunner(l, n)
			if err != nil {
				return err
			}
			runners = append(runners, r)
		}
		entries, err := e.startEntries(l)
		if err != nil {
			return err
		}
		await := e.drive(l, entries)
		for n := range l.crashes {
			time.Sleep(crashInterval)
			if !trouble() {
				time.Sleep(crashDown)
				continue
			}
			r := runners[n%runnerCount]
			e.notef("runner %s crashes", r.id)
			_ = r.cmd.Process.Signal(syscall.SIGKILL)
			time.AfterFunc(entryLapse, func() { e.store.Delete("servers/" + r.id) })
			time.Sleep(crashDown)
			if runners[n%runnerCount], err = e.startRunner(l, runnerCount+n); err != nil {
				return err
			}
		}
		return e.judge(l, await())
	}
}

// startEntries publishes the configuration and starts two entries.
func (e *env) startEntries(l *load) ([]*node, error) {
	e.put("op/config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "r-1", "hostname": "h.example", "prefix": l.prefix, "route_kind": l.kind, "timeout_ms": l.timeoutMs,
			"target_latency_ms": l.objectiveMs, "target_gap_ms": 120, "priority": 1, "service": l.service, "max_attempts": 2, "public": false,
			"stream_resumption": l.resumesStream}},
		"services": []any{map[string]any{"name": l.service, "health_path": "/health", "max_connections": 418, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 20000},
		"tenants":  []any{map[string]any{"name": "shop", "api_keys": []string{clientKey}}},
	})
	entries := []*node{e.newEntry("entry-1", "bern-a"), e.newEntry("entry-2", "bern-a")}
	e.connectSeeds()
	for _, n := range entries {
		if err := n.begin(); err != nil {
			return nil, err
		}
	}
	for _, n := range entries {
		if err := n.awaitReady(); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

const clientKey = "n2ctnfzs989anu6wsjnb"

// drive sends requests while the runners crash, each client one after the other. It returns a function that waits for what the
// clients saw.
func (e *env) drive(l *load, entries []*node) func() []answer {
	var answers []answer
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := time.Now().Add(time.Duration(l.crashes+1) * (crashInterval + crashDown))
	for i := range l.clients {
		clients.Go(func() {
			time.Sleep(time.Duration(i*l.pieces) * l.pause / time.Duration(l.clients)) // spread over the length of an answer
			for n := 0; time.Now().Before(end); n++ {
				a := e.send(l, entries[i%len(entries)], fmt.Sprintf("q%d-%d", i, n))
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	return func() []answer {
		clients.Wait()
		return answers
	}
}

// send sends one request and reads the answer to its end.
func (e *env) send(l *load, n *node, id string) (out answer) {
	out.id = id
	defer func() {
		e.notef("client %s: status %d, complete %v, %d bytes, error %v", id, out.status, out.complete, len(out.text), out.err)
	}()
	c, err := net.DialTimeout("tcp", n.callers, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Duration(l.timeoutMs)*time.Millisecond + time.Second))
	e.notef("client %s: sent to %s", id, n.name)
	_, out.err = fmt.Fprintf(c, "POST %s%s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\nX-Camphorbank-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nContent-Length: 4\r\n\r\ncard", l.prefix, id, headerID, id, l.timeoutMs, clientKey)
	if out.err != nil {
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		out.err = err
		return out
	}
	text, err := io.ReadAll(resp.Body)
	out.status, out.text, out.err, out.complete = resp.StatusCode, string(text), err, err == nil
	return out
}

// judge checks that a success that ends as complete is the whole answer.
func (e *env) judge(l *load, answers []answer) error {
	whole, bad, example := 0, 0, ""
	for _, a := range answers {
		want := l.whole(a.id)
		switch {
		case a.status != http.StatusOK || !a.complete:
		case a.text == want:
			whole++
		default:
			bad++
			example = fmt.Sprintf("%s ended as complete after %d of %d bytes", a.id, len(a.text), len(want))
			e.notef("%s: %s", l.rule, example)
		}
	}
	e.notef("%d requests, %d whole answers, %d complete ones without their end", len(answers), whole, bad)
	if whole < len(answers)/2 {
		return fmt.Errorf("only %d of %d requests were served", whole, len(answers))
	}
	if bad > 0 {
		return fail("%s: %d answers, such as: %s", l.rule, bad, example)
	}
	return nil
}
