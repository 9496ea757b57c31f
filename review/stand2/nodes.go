package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bounds are those of the Etikettwerk sheet.
const (
	grace       = 8 * time.Second
	boundsTable = `[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 92
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
stall_ms = 1500
fencing_enforced = true
`
)

// started are the processes that run.
var started = processes{running: map[*os.Process]bool{}}

type processes struct {
	mu      sync.Mutex
	over    bool
	running map[*os.Process]bool
}

// start starts a process, unless all have been killed.
func (p *processes) start(cmd *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over {
		return os.ErrProcessDone
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.running[cmd.Process] = true
	return nil
}

func (p *processes) ended(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, cmd.Process)
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	for x := range p.running {
		_ = x.Kill()
	}
}

// front is a front machine with its process.
type front struct {
	name, ip, settings      string
	callers, ready, control string
	cmd                     *exec.Cmd
	done                    chan struct{}
	inRotation              atomic.Bool // the platform sends it new connections
	misses                  int
	mu                      sync.Mutex
	stopping                bool
	termAt                  time.Time // of the last SIGTERM; zero before the first
}

// fleet is the front machines of a case.
type fleet struct {
	rec    *record
	dir    string
	store  *store
	fronts []*front
	closed atomic.Bool
}

// freePort returns a port that is free on an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newFleet starts n front machines with the command of the deploy file. Each has a loopback address of its own.
func newFleet(rec *record, s *store, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: s}
	net2, net3 := 10+rand.IntN(200), 1+rand.IntN(250)
	zones := []string{"bern-a", "bern-b", "olten-c"}
	for i := range n {
		x := &front{name: fmt.Sprintf("front-%s-%d", zones[i%3], i+1), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1)}
		for _, addr := range []*string{&x.callers, &x.ready, &x.control} {
			port, err := freePort(x.ip)
			if err != nil {
				return nil, err
			}
			*addr = fmt.Sprintf("%s:%d", x.ip, port)
		}
		x.settings = filepath.Join(dir, x.name+".toml")
		f.fronts = append(f.fronts, x)
	}
	for i, x := range f.fronts {
		if err := f.write(x, zones[i%3]); err != nil {
			return nil, err
		}
		if err := f.start(x); err != nil {
			return nil, err
		}
	}
	go f.watchReadiness()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, x := range f.fronts {
			ready = ready && x.inRotation.Load()
		}
		if ready {
			return f, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("the fronts are not ready")
		}
	}
}

func (f *fleet) write(x *front, zone string) error {
	var seeds []string
	for _, other := range f.fronts {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", other.control))
		}
	}
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "ch-mitte"
internal_ports = [7340,7355]
seeds = [%s]
bootstrap = %v
loss_counts = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
bern-a = "ch-mitte"
bern-b = "ch-mitte"
olten-c = "ch-mitte"
[listen]
frontend = %q
ready = %q
control_plane = %q
[limits]
cpu_share = 0.304
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
%s[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, x.name, x.ip, zone, strings.Join(seeds, ","), x.cmd == nil, x.callers, x.ready, x.control, boundsTable, f.store.addr)
	return os.WriteFile(x.settings, []byte(text), 0o600)
}

// start starts the process of a front machine, with the command of deploy/system.toml.
func (f *fleet) start(x *front) error {
	out, err := os.OpenFile(filepath.Join(f.dir, x.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/camphorbankd", "-platform", "-metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "CAMPHORBANK_NODE_FILE=" + x.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := started.start(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	x.mu.Lock()
	x.cmd, x.done, x.stopping = cmd, done, false
	x.mu.Unlock()
	f.rec.printf("%s started", x.name)
	go func() {
		err := cmd.Wait()
		started.ended(cmd)
		_ = out.Close()
		close(done)
		f.rec.printf("%s ended (%v)", x.name, err)
	}()
	return nil
}

// terminate sends SIGTERM as the platform does, SIGKILL after grace_s, and starts the process again one second after its end.
func (f *fleet) terminate(x *front) {
	x.mu.Lock()
	cmd, done := x.cmd, x.done
	x.stopping, x.termAt = true, time.Now()
	x.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	f.rec.printf("SIGTERM to %s", x.name)
	select {
	case <-done:
	case <-time.After(grace):
		_ = cmd.Process.Kill()
		f.rec.printf("SIGKILL to %s", x.name)
		<-done
	}
	time.Sleep(time.Second)
	if !f.closed.Load() {
		if err := f.start(x); err != nil {
			f.rec.printf("%s: %v", x.name, err)
		}
	}
}

// watchReadiness asks each front once a second. Two misses take it out of rotation, one answer with 200 brings it back.
func (f *fleet) watchReadiness() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !f.closed.Load() {
		for _, x := range f.fronts {
			go func() {
				resp, err := client.Get("http://" + x.ready + "/-/readiness")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				x.mu.Lock()
				defer x.mu.Unlock()
				if ok {
					x.misses = 0
					x.inRotation.Store(true)
				} else if x.misses++; x.misses >= 2 {
					x.inRotation.Store(false)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick returns the front that gets the next new connection of a client.
func (f *fleet) pick(client int) *front {
	var in []*front
	for _, x := range f.fronts {
		if x.inRotation.Load() {
			in = append(in, x)
		}
	}
	if len(in) == 0 {
		in = f.fronts
	}
	return in[client%len(in)]
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.closed.Store(true)
	for _, x := range f.fronts {
		x.mu.Lock()
		cmd, done := x.cmd, x.done
		x.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		<-done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
