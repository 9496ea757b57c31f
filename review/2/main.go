// Command 2 shows that an answer without a length, which its runner resets on the way while the entry is still sending the
// body of the request, reaches the client as a complete success. See claim.txt.
package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/review/stand"
)

const (
	runners     = 3
	firstRunner = 10 // machine
	slots       = 6
	clients     = 4
	requests    = 1200
	limit       = 100 * time.Second

	bodyBytes   = 4 << 20 // max_body_bytes
	answerBytes = 4_000   // of a whole answer, below the largest of the deployment
	brokenShare = 0.02    // of the answers of the faulty runner are broken off
	workTime    = 60 * time.Millisecond
	windowBytes = 8 << 10
	cutDelay    = 30 * time.Millisecond // from the first bytes of an answer to its reset
)

func main() { stand.Main("review/2", limit, run) }

// smallWindows listens with a small receive buffer: "Links have ... small windows, so a peer that does not read blocks the
// writer" (DEPLOY.md).
var smallWindows = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
	})
	return errors.Join(err, failed)
}}

// answerOf returns the whole answer of a runner to a request.
func answerOf(id string) string {
	return strings.Repeat(id+"\n", answerBytes/(len(id)+1))
}

var broken, whole, cut, failed atomic.Int64 // answers that clients got

func run(ctx context.Context, s *stand.System) (bool, error) {
	s.PutConfig(1)
	for i := range runners {
		l, err := smallWindows.Listen(ctx, "tcp", s.IP(firstRunner+i)+":0")
		if err != nil {
			return false, err
		}
		r := &runner{id: fmt.Sprintf("i-%d", i), system: s, faulty: i == 0}
		go r.accept(l)
		s.PutServer(r.id, stand.DeskService, l.Addr().String(), "ready", slots, 1)
	}
	if _, err := s.StartEntry(1, ""); err != nil {
		return false, err
	}
	if err := s.AwaitReady(ctx, 1); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	var next atomic.Int64
	for range clients {
		all.Go(func() {
			for ctx.Err() == nil && broken.Load() == 0 {
				n := next.Add(1)
				if n > requests {
					return
				}
				request(ctx, s, fmt.Sprintf("%016x", n))
			}
		})
	}
	all.Wait()
	s.Logf("answers of clients: %d whole, %d seen to be cut, %d failed, %d cut and complete by their length or chunks", whole.Load(), cut.Load(),
		failed.Load(), broken.Load())
	if whole.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return broken.Load() > 0, nil
}

// request sends one booking and checks its answer.
func request(ctx context.Context, s *stand.System, id string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Frontend(1)+stand.UnsafePath+"2f", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return
	}
	req.Host = stand.Host
	req.Header.Set("X-Camphorbank-Request-Id", id)
	req.Header.Set("X-Camphorbank-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Bearer "+stand.Key)
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.Notef("client: %s: %v", id, err)
		failed.Add(1)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	stamp := resp.Header.Get("X-Camphorbank-Server-Stamp")
	s.Notef("client: %s: status %d, stamp %q, %d bytes, error %v", id, resp.StatusCode, stamp, len(body), err)
	switch {
	case resp.StatusCode != http.StatusOK:
		failed.Add(1)
	case err != nil:
		cut.Add(1)
	case string(body) == answerOf(id):
		whole.Add(1)
	default:
		broken.Add(1)
		s.Logf("MIXED: client: %s got status 200 with stamp %q and a complete body of %d bytes; the runner's whole body has %d", id, stamp, len(body),
			len(answerOf(id)))
	}
}

// runner is a plain service. A faulty one answers some long requests before it has read them.
type runner struct {
	id     string
	faulty bool
	system *stand.System
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

// serve serves the requests of one connection, one at a time.
func (r *runner) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Camphorbank-Request-Id")
		if r.faulty && rand.Float64() < brokenShare {
			r.answerEarly(c, req, id)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		time.Sleep(workTime)
		r.system.Notef("runner %s: runs %s", r.id, id)
		body := answerOf(id)
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head(id), len(body), body); err != nil {
			return
		}
	}
}

func head(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Camphorbank-Request-Id: " + id + "\r\nX-Camphorbank-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
}

// answerEarly answers a request without a length before it has read its body. With the disruption, it resets the connection
// in the middle of the answer. Without, it sends the whole answer, reads the body and closes the connection in order.
func (r *runner) answerEarly(c *net.TCPConn, req *http.Request, id string) {
	body := answerOf(id)
	if !stand.Disrupted() {
		r.system.Notef("runner %s: runs %s and answers early, whole", r.id, id)
		_, _ = io.WriteString(c, head(id)+"\r\n"+body)
		_, _ = io.Copy(io.Discard, req.Body)
		return
	}
	r.system.Notef("runner %s: runs %s, answers early and resets the connection after %d of %d bytes", r.id, id, len(body)/2, len(body))
	_, _ = io.WriteString(c, head(id)+"\r\n"+body[:len(body)/2])
	time.Sleep(cutDelay)
	_ = c.SetLinger(0)
}
