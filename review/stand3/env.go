// Command stand3 holds the stand-ins and the scenarios of the cases 11 and 12: it starts the project's own programs as separate
// processes, plays one scenario and writes what was sent, answered and run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/store"
)

// env is one small deployment on loopback.
type env struct {
	dir     string // temporary files
	daemon  string // path of camphorbankd
	store   *store.Store
	net     int // second byte of the loopback addresses; the third one follows from the process
	hosts   int // addresses that were given out
	nodes   []*node
	runners []*runnerProcess

	mu     sync.Mutex
	closed bool
	record *os.File
	start  time.Time
}

// node is one process of the system.
type node struct {
	env                     *env
	name, ip, settings      string
	callers, ready, control string
	first                   bool // the deployment starts for the first time
	cmd                     *exec.Cmd
	done                    chan struct{}
	log                     *os.File
	seeds                   []string
	zone                    string
}

func newEnv(recordPath string) (*env, error) {
	dir, err := os.MkdirTemp("", "stand3")
	if err != nil {
		return nil, err
	}
	daemon, err := filepath.Abs("target/camphorbankd")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &env{dir: dir, daemon: daemon, store: store.Start(), net: 2 + rand.IntN(250), record: record, start: time.Now()}, nil
}

// notef adds a line to the record.
func (e *env) notef(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record == nil {
		return
	}
	fmt.Fprintf(e.record, "%9.3f %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// host returns an unused loopback address.
func (e *env) host() string {
	e.hosts++
	return fmt.Sprintf("127.%d.%d.%d", e.net, os.Getpid()%250, e.hosts)
}

// newEntry returns an entry that is not started yet.
func (e *env) newEntry(name, zone string) *node {
	ip := e.host()
	n := &node{env: e, name: name, ip: ip, zone: zone, settings: filepath.Join(e.dir, name+".toml"), callers: ip + ":8227", ready: ip + ":8220",
		control: ip + ":8229", first: true}
	e.nodes = append(e.nodes, n)
	return n
}

// connectSeeds names the first three entries as seeds of all processes.
func (e *env) connectSeeds() {
	var seeds []string
	for _, n := range e.nodes {
		if len(seeds) < 3 {
			seeds = append(seeds, n.control)
		}
	}
	for _, n := range e.nodes {
		n.seeds = seeds
	}
}

// writeSettings writes the settings file, as the platform does before each start.
func (n *node) writeSettings() error {
	seeds, _ := json.Marshal(n.seeds)
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "ch-mitte"
internal_ports = [7340,7355]
seeds = %s
bootstrap = %v
loss_counts = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
[zones]
bern-a = "ch-mitte"
bern-b = "ch-mitte"
olten-c = "ch-mitte"
[listen]
frontend = %q
ready = %q
control_plane = %q
[limits]
memory_mb = 284
max_fds = 4100
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 92
recovery_s = 12
iteration_ms = 120
fencing_enforced = true
[platform]
address = %q
`, n.name, n.ip, n.zone, seeds, n.first, n.callers, n.ready, n.control, n.env.store.Addr())
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// begin starts the process with the command of the deploy file.
func (n *node) begin() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	n.first = false
	var err error
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(n.env.dir, n.name+".log")); err != nil {
			return err
		}
	}
	n.cmd = exec.Command(n.env.daemon, "-platform", "-metrics-port", "9464")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORBANK_NODE_FILE=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	if err := n.env.launch(n.cmd, func() { n.done = make(chan struct{}) }); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(n.cmd, n.done)
	return nil
}

// isReady asks the process as the platform does.
func (n *node) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the entry is ready.
func (n *node) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s does not become ready", n.name)
}

// listen opens a listener at an unused loopback address.
func (e *env) listen() (net.Listener, error) { return net.Listen("tcp", e.host()+":0") }

// close ends all processes and removes the temporary files.
func (e *env) close() {
	e.mu.Lock()
	e.closed = true // nothing is started any more
	e.mu.Unlock()
	for _, n := range e.nodes {
		if n.done == nil {
			continue
		}
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.done
	}
	for _, r := range e.runners {
		_ = r.cmd.Process.Kill() // an error means that it has ended
		<-r.done
	}
	if keep := os.Getenv("STAND3_LOGS"); keep != "" {
		for _, n := range e.nodes {
			data, _ := os.ReadFile(filepath.Join(e.dir, n.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
		}
	}
	go e.store.Close() // waits for its clients; the process ends soon
	_ = os.RemoveAll(e.dir)
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.record.Close()
	e.record = nil
}

// launch starts a process, unless the scenario is over, and calls started, so that close ends the process.
func (e *env) launch(cmd *exec.Cmd, started func()) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return errClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	started()
	return nil
}

var errClosed = errors.New("the scenario is over")

// put writes a value to the store.
func (e *env) put(key string, value any) {
	data, _ := json.Marshal(value)
	e.store.Put(key, string(data))
}

// fail reports a rule that was broken.
func fail(format string, args ...any) error { return &brokenRule{fmt.Sprintf(format, args...)} }

// brokenRule is the error of a scenario that has found a broken rule. Other errors mean that it could not run.
type brokenRule struct{ text string }

func (b *brokenRule) Error() string { return b.text }

// trouble reports whether the scenario brings about its disruption.
func trouble() bool { return strings.TrimSpace(os.Getenv("TROUBLE")) != "0" }
