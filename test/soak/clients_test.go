package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/target"
)

const (
	clientCount = 16
	// clientPatience is the time after the route's timeout at which a client stops waiting.
	clientPatience = 3 * time.Second
	clientPause    = 30 * time.Millisecond
	// probeShare is the share of requests on the route that the latest configuration added.
	probeShare = 0.1
	maxBody    = 700
)

// client sends one request after the other. It keeps its connections open until the other end closes them.
type client struct {
	world *world
	rng   *rand.Rand
	http  *http.Client
	ids   *atomic.Int64
}

// load runs clients until ctx ends, and returns when their last requests have ended.
func (w *world) load(ctx context.Context, seed uint64) {
	var ids atomic.Int64
	var all sync.WaitGroup
	for i := range clientCount {
		c := &client{world: w, rng: rand.New(rand.NewPCG(seed, uint64(i))), http: &http.Client{Transport: &http.Transport{}}, ids: &ids}
		all.Go(func() {
			defer c.http.CloseIdleConnections()
			for ctx.Err() == nil {
				c.request(c.draw())
				time.Sleep(time.Duration(c.rng.Int64N(int64(2 * clientPause))))
			}
		})
	}
	all.Wait()
}

func (c *client) draw() (route, *node) {
	r := routes[c.rng.IntN(len(routes))]
	if v := c.world.published(); v > 1 && c.rng.Float64() < probeShare {
		r = versionRoute(v)
	}
	return r, c.world.entries[c.rng.IntN(len(c.world.entries))]
}

// request sends one request to an entry and records how it ends.
func (c *client) request(r route, e *node) *call {
	n := c.ids.Add(1)
	account := []string{"one", "two"}[n%2]
	out := &call{ID: fmt.Sprintf("q-%d", n), Route: r, Account: account, Body: strings.Repeat("b", 1+int(n%maxBody)), Entry: e.name,
		Lifetime: e.life(), Sent: time.Now()}
	c.world.ledger.add(out)
	done := *out
	c.send(&done, e)
	done.Ended = time.Now()
	c.world.ledger.locked(func() { *out = done })
	return out
}

func (c *client) send(out *call, e *node) {
	ctx, cancel := context.WithTimeout(context.Background(), out.Route.Timeout+clientPatience)
	defer cancel()
	// The standard client cannot repeat a body that it cannot read again, so that each request is sent once.
	body := io.NopCloser(strings.NewReader(out.Body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+out.Route.Path+out.ID, body)
	if err != nil {
		out.Err = err
		return
	}
	req.Host = "h"
	req.ContentLength = int64(len(out.Body))
	req.Header.Set(target.HeaderID, out.ID)
	req.Header.Set("Authorization", "Bearer key-"+out.Account)
	resp, err := c.http.Do(req)
	if err != nil {
		out.Err = err
		return
	}
	defer resp.Body.Close()
	out.Status, out.Stamped = resp.StatusCode, resp.Header.Get(target.HeaderStamp) != ""
	if resp.StatusCode == http.StatusOK && out.Route.Kind == "stream" {
		out.Events, out.Err = events(resp.Body)
	} else {
		var answer []byte
		answer, out.Err = io.ReadAll(resp.Body)
		out.Answer = string(answer)
	}
	out.Complete = out.Err == nil
}

// events reads the data of whole events.
func events(r io.Reader) ([]string, error) {
	var out []string
	in := bufio.NewReader(r)
	data := ""
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" && data == "" {
			return out, nil
		}
		if err != nil {
			return out, errors.Join(errors.New("the stream ends in the middle of an event"), err)
		}
		switch text, isData := strings.CutPrefix(line, "data: "); {
		case isData:
			data = strings.TrimSpace(text)
		case line == "\n":
			out, data = append(out, data), ""
		}
	}
}
