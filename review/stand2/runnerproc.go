package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leaving is set once the runner leaves; it then says so in its answers.
var leaving atomic.Bool

// serveRunner is the process of a runner whose answers have no length and no chunks: they end with their connection. It
// writes a line for the begin and the end of each run to standard output. A stream that may be resumed goes on after
// Last-Event-Id. A line on standard input says that the runner leaves.
func serveRunner(id, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Println("listening")
	go func() {
		if bufio.NewScanner(os.Stdin).Scan() {
			leaving.Store(true)
		}
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			serveOnce(id, c)
		}()
	}
}

// serveOnce serves one request on a connection.
func serveOnce(id string, c net.Conn) {
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	request := q.Header.Get("X-Camphorbank-Request-Id")
	head := "X-Camphorbank-Request-Id: " + request + "\r\nConnection: close\r\n"
	if leaving.Load() {
		head += "Server-Leaving: 1\r\n"
	}
	if want := q.Header.Get("X-Camphorbank-Target-Instance"); want != "" && want != id {
		_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"X-Camphorbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	events, _ := strconv.Atoi(string(body))
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	fmt.Println("begin", request, first, events)
	_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"X-Camphorbank-Server-Stamp: 3e1b.07.5a2."+request+"\r\nContent-Type: text/event-stream\r\n\r\n")
	for n := first + 1; n <= events && err == nil; n++ {
		time.Sleep(eventPause)
		_, err = fmt.Fprintf(c, "id: %d\ndata: piece %d of %d\n\n", n, n, events)
	}
	if err == nil {
		fmt.Println("end", request)
	}
}

// runnerProcess is a runner that runs as a process of its own.
type runnerProcess struct {
	id, addr string
	born     time.Time
	cmd      *exec.Cmd
	in       io.WriteCloser

	mu   sync.Mutex
	runs []string // its lines, with their times
}

// startRunnerProcess starts a runner on a free port and waits until it listens.
func startRunnerProcess(rec *record, id string) (*runnerProcess, error) {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	return startRunnerAt(rec, id, fmt.Sprintf("127.0.0.1:%d", port))
}

// startRunnerAt starts a runner at an address and waits until it listens.
func startRunnerAt(rec *record, id, addr string) (*runnerProcess, error) {
	r := &runnerProcess{id: id, addr: addr, born: time.Now()}
	r.cmd = exec.Command(os.Args[0], "runner", r.id, r.addr)
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if r.in, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	if err := started.start(r.cmd); err != nil {
		return nil, err
	}
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if lines.Text() == "listening" {
				close(listening)
				continue
			}
			r.mu.Lock()
			r.runs = append(r.runs, fmt.Sprintf("%.3f %s", rec.seconds(time.Now()), lines.Text()))
			r.mu.Unlock()
		}
		_ = r.cmd.Wait()
		started.ended(r.cmd)
	}()
	select {
	case <-listening:
		return r, nil
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("runner %s does not listen", id)
	}
}

// leave makes the runner say in its answers that it leaves.
func (r *runnerProcess) leave() { _, _ = fmt.Fprintln(r.in, "leave") }

// entry returns the value of the runner's key in the store.
func (r *runnerProcess) entry(service, zone, state string, slots int) []byte {
	v, _ := json.Marshal(map[string]any{"service": service, "address": r.addr, "zone": zone, "version": 1, "slots": slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 0, "born": r.born.UnixMilli()})
	return v
}

// runsOf returns what the runner has said of a request.
func (r *runnerProcess) runsOf(request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := ""
	for _, line := range r.runs {
		if strings.Contains(line, request) {
			out += "; " + r.id + " " + line
		}
	}
	return out
}
