package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// timeBudget is the time that a client waits for an answer, as on the sheet.
const timeBudget = 8 * time.Second

// patience is the time without an event after which a client leaves a stream: four times its latency objective.
const patience = 2 * time.Second

// attempt is one client attempt as its client saw it.
type attempt struct {
	id       string
	front    *front
	kept     bool // sent on a connection that had carried a request before
	events   int  // that the stream has
	sent     time.Time
	ended    time.Time
	status   int // 0 without an answer
	received int // whole events
	complete bool
	err      error
}

// conn is a client's connection to a front.
type conn struct {
	net.Conn
	front *front
	read  *bufio.Reader
	used  bool
	until time.Time // the end of the time budget of the present request
}

// Read fails if nothing arrives within the client's patience or the time budget.
func (c *conn) Read(p []byte) (int, error) {
	limit := time.Now().Add(patience)
	if c.until.Before(limit) {
		limit = c.until
	}
	if err := c.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// client sends streams one after the other and keeps its connection as long as the front does.
type client struct {
	number int
	fleet  *fleet
	conn   *conn
	events func() int    // size of the next request
	pause  time.Duration // before the next request
	done   func(*attempt)
}

func (c *client) run(until time.Time) {
	for time.Now().Before(until) {
		a := c.send()
		c.done(a)
		wait := c.pause
		if a.status != http.StatusOK || !a.complete {
			wait = max(wait, 300*time.Millisecond) // after Retry-After, or a break
		}
		time.Sleep(wait)
	}
	c.drop()
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection through the platform, unless the client has one.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	f := c.fleet.pick(c.number)
	n, err := net.DialTimeout("tcp", f.callers, time.Second)
	if err != nil {
		return err
	}
	c.conn = &conn{Conn: n, front: f}
	c.conn.read = bufio.NewReader(c.conn)
	return nil
}

// send makes one attempt.
func (c *client) send() *attempt {
	a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), events: c.events(), sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	if a.err = c.connect(); a.err != nil {
		return a
	}
	a.front, a.kept = c.conn.front, c.conn.used
	c.conn.used = true
	body := fmt.Sprint(a.events)
	a.sent = time.Now()
	c.conn.until = a.sent.Add(timeBudget)
	_, a.err = fmt.Fprintf(c.conn, "POST /draft/x HTTP/1.1\r\nHost: shop.example\r\nX-Camphorbank-Request-Id: %s\r\nX-Camphorbank-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s", a.id, timeBudget.Milliseconds(), len(body), body)
	if a.err != nil {
		c.drop()
		return a
	}
	resp, err := http.ReadResponse(c.conn.read, nil)
	if err != nil {
		a.err = err
		c.drop()
		return a
	}
	a.status = resp.StatusCode
	got, err := io.ReadAll(resp.Body)
	a.received, a.err, a.complete = strings.Count(string(got), "\n\n"), err, err == nil
	if err != nil || resp.Close {
		c.drop()
	}
	return a
}
