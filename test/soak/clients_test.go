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
	// clientExtraWait is the time after the timeout of the route for which a client still waits for the response.
	clientExtraWait = 3 * time.Second
	meanClientPause = 30 * time.Millisecond
	// newestRouteShare is the share of requests on the route that the newest configuration added.
	newestRouteShare = 0.1
	maxBodyBytes     = 700
)

// client sends one request after another. It keeps its connections open until the other end closes them.
type client struct {
	system *system
	rng    *rand.Rand
	http   *http.Client
	ids    *atomic.Int64
}

// runClients runs the clients until ctx ends, and returns when their last requests have ended.
func (w *system) runClients(ctx context.Context, seed uint64) {
	var ids atomic.Int64
	var all sync.WaitGroup
	for i := range clientCount {
		c := &client{system: w, rng: rand.New(rand.NewPCG(seed, uint64(i))), http: &http.Client{Transport: &http.Transport{}}, ids: &ids}
		all.Go(func() {
			defer c.http.CloseIdleConnections()
			for ctx.Err() == nil {
				c.request(c.drawRequest())
				time.Sleep(time.Duration(c.rng.Int64N(int64(2 * meanClientPause))))
			}
		})
	}
	all.Wait()
}

// drawRequest draws the route of the next request and the entry that gets it.
func (c *client) drawRequest() (route, *node) {
	r := routes[c.rng.IntN(len(routes))]
	if v := c.system.published(); v > 1 && c.rng.Float64() < newestRouteShare {
		r = versionRoute(v)
	}
	return r, c.system.entries[c.rng.IntN(len(c.system.entries))]
}

// request sends one request to an entry and records its result.
func (c *client) request(r route, e *node) *clientRequest {
	n := c.ids.Add(1)
	account := []string{"one", "two"}[n%2]
	out := &clientRequest{ID: fmt.Sprintf("q-%d", n), Route: r, Account: account, Body: strings.Repeat("b", 1+int(n%maxBodyBytes)), Entry: e.name,
		Incarnation: e.currentIncarnation(), Sent: time.Now()}
	if r.Kind == "stream" {
		out.Prompt = c.drawPrompt(account, n, r.Service == "chat" && c.system.sendsPart() && c.rng.Float64() < crashingShare)
	}
	c.system.recorder.addClientRequest(out)
	done := *out
	c.send(&done, e)
	done.Ended = time.Now()
	c.system.recorder.locked(func() { *out = done })
	return out
}

func (c *client) send(out *clientRequest, e *node) {
	ctx, cancel := context.WithTimeout(context.Background(), out.Route.Timeout+clientExtraWait)
	defer cancel()
	// http.Client cannot read this body a second time, so that it never sends a request again by itself.
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
	if out.Prompt != "" {
		req.Header.Set(promptHeader, out.Prompt)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		out.Err = err
		return
	}
	defer resp.Body.Close()
	out.Status, out.Stamped = resp.StatusCode, resp.Header.Get(target.HeaderStamp) != ""
	if resp.Header.Get(leavingHeader) != "" {
		out.Leaving = resp.Header.Get(targetHeader)
	}
	if resp.StatusCode == http.StatusOK && out.Route.Kind == "stream" {
		out.Events, out.Err = readEvents(resp.Body)
	} else {
		var answer []byte
		answer, out.Err = io.ReadAll(resp.Body)
		out.Answer = string(answer)
	}
	out.Complete = out.Err == nil
}

// readEvents returns the data of all complete events. It returns an error if the stream ends within an event.
func readEvents(r io.Reader) ([]string, error) {
	var out []string
	in := bufio.NewReader(r)
	data := ""
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF && line == "" && data == "" {
			return out, nil
		}
		if err != nil {
			return out, errors.Join(errors.New("the stream ends within an event"), err)
		}
		switch text, isData := strings.CutPrefix(line, "data: "); {
		case isData:
			data = strings.TrimSpace(text)
		case line == "\n":
			out, data = append(out, data), ""
		}
	}
}
