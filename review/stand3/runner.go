package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"
)

// A runner of streams is a process of its own, so that a signal can end it. Its answers have neither a length nor chunks, and end
// with their connection.

// Headers of the platform.
const (
	headerID       = "X-Camphorbank-Request-Id"
	headerStamp    = "X-Camphorbank-Server-Stamp"
	headerTarget   = "X-Camphorbank-Target-Instance"
	headerInstance = "X-Camphorbank-Instance-Id"
	headerNotRun   = "X-Camphorbank-Not-Executed"
	headerLast     = "Last-Event-Id"
)

// event returns one event of the stream of a request.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n) }

// runRunner serves streams until the process is killed. It prints a line for each request that it runs.
func runRunner(args []string) int {
	f := flag.NewFlagSet("runner", flag.ContinueOnError)
	id := f.String("id", "", "id of the runner")
	listen := f.String("listen", "", "address")
	events := f.Int("events", 24, "events of a stream")
	pause := f.Duration("pause", 100*time.Millisecond, "pause between two events")
	if f.Parse(args) != nil {
		return exitNotRun
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &streamRunner{id: *id, events: *events, pause: *pause}
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go s.serve(c)
	}
}

type streamRunner struct {
	id     string
	events int
	pause  time.Duration
	mu     sync.Mutex // guards the standard output
}

func (s *streamRunner) printf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves one connection. An answer of a run ends it.
func (s *streamRunner) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(headerID)
		if req.Header.Get(headerTarget) != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerID, id, headerInstance, s.id, headerNotRun)
			continue
		}
		from, _ := strconv.Atoi(req.Header.Get(headerLast))
		s.printf("run %s after event %d", id, from)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, s.id)
		for n := from + 1; n <= s.events; n++ {
			time.Sleep(s.pause)
			if _, err := io.WriteString(c, event(id, n)); err != nil {
				s.printf("cut %s at event %d", id, n)
				return
			}
		}
		s.printf("end %s", id)
		return
	}
}

// runnerProcess is the process of a runner.
type runnerProcess struct {
	id, addr string
	born     int64 // Unix milliseconds
	cmd      *exec.Cmd
	done     chan struct{}
}

// startRunner starts a runner at an unused address and waits until it listens.
func (e *env) startRunner(id string, args ...string) (*runnerProcess, error) {
	l, err := e.listen()
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	_ = l.Close()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &runnerProcess{id: id, addr: addr, born: time.Now().UnixMilli(), cmd: exec.Command(self, append([]string{"runner", "-id", id, "-listen", addr}, args...)...), done: make(chan struct{})}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.cmd.Stderr = os.Stderr
	if err := e.launch(r.cmd); err != nil {
		return nil, err
	}
	e.runners = append(e.runners, r)
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for n := 0; lines.Scan(); n++ {
			if n == 0 {
				close(listening)
				continue
			}
			e.notef("runner %s: %s", id, lines.Text())
		}
		_ = r.cmd.Wait()
		close(r.done)
	}()
	select {
	case <-listening:
	case <-r.done:
		return nil, fmt.Errorf("runner %s does not start", id)
	}
	return r, nil
}

// put writes the runner's entry to the store.
func (r *runnerProcess) put(e *env, service, state string) {
	e.put("servers/"+r.id, map[string]any{"service": service, "address": r.addr, "zone": "bern-a", "version": "v1", "slots": 12,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.born})
}
