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

// A runner is a process of its own, so that a signal can end it. Its answers have neither a length nor chunks, and end with their
// connection.

// Headers of the platform.
const (
	headerID       = "X-Camphorbank-Request-Id"
	headerStamp    = "X-Camphorbank-Server-Stamp"
	headerTarget   = "X-Camphorbank-Target-Instance"
	headerInstance = "X-Camphorbank-Instance-Id"
	headerNotRun   = "X-Camphorbank-Not-Executed"
	headerLast     = "Last-Event-Id"
)

// runRunner serves requests until the process is killed. It prints a line for each request that it runs.
func runRunner(args []string) int {
	f := flag.NewFlagSet("runner", flag.ContinueOnError)
	id := f.String("id", "", "id of the runner")
	listen := f.String("listen", "", "address")
	prefix := f.String("prefix", "", "prefix of the paths, which says what is served")
	if f.Parse(args) != nil {
		return exitNotRun
	}
	work := &drafts
	if *prefix == bookings.prefix {
		work = &bookings
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &runner{id: *id, work: work}
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go s.serve(c)
	}
}

type runner struct {
	id   string
	work *load
	mu   sync.Mutex // guards the standard output
}

func (s *runner) printf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves one connection. An answer of a run ends it.
func (s *runner) serve(c net.Conn) {
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
		s.printf("run %s after piece %d", id, from)
		contentType := "text/plain"
		if s.work.stream {
			contentType = "text/event-stream"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", headerID, id, headerStamp, s.id, contentType)
		for n := from + 1; n <= s.work.pieces; n++ {
			time.Sleep(s.work.pause)
			if _, err := io.WriteString(c, s.work.piece(id, n)); err != nil {
				s.printf("cut %s at piece %d", id, n)
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
	cmd      *exec.Cmd
	done     chan struct{}
}

// startRunner starts a runner at an unused address, waits until it listens, and enters it in the store.
func (e *env) startRunner(work *load, number int) (*runnerProcess, error) {
	id := fmt.Sprintf("i-%d", number)
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
	r := &runnerProcess{id: id, addr: addr, cmd: exec.Command(self, "runner", "-id", id, "-listen", addr, "-prefix", work.prefix), done: make(chan struct{})}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.cmd.Stderr = os.Stderr
	if err := e.launch(r.cmd, func() { e.runners = append(e.runners, r) }); err != nil {
		return nil, err
	}
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
	e.put("servers/"+id, map[string]any{"service": work.service, "address": addr, "zone": "bern-a", "version": "v1", "slots": work.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	return r, nil
}
