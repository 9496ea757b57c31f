// Package stand starts the programs of the deploy file as separate processes on loopback addresses, with a stand-in for
// the platform's store, and records what a case sees. All cases of the review use it.
package stand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/store"
)

// Exit statuses of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Bounds of the settings, those of the site ew-zentrale.
const (
	Drain            = 2 * time.Second
	Grace            = 8 * time.Second
	ConfigApply      = 2 * time.Second
	StableWindow     = 3 * time.Second
	MemoryMB         = 284 // of a front machine
	reportLagMs      = 200
	startTimeout     = 20 * time.Second
	killWaitTime     = 5 * time.Second
	metricsPort      = "9464" // in the command of the deploy file
	settingsVariable = "CAMPHORBANK_NODE_FILE"
	program          = "target/camphorbankd"
)

// System is the deployment of one case.
type System struct {
	Store *store.Store
	Dir   string
	seeds []string
	net   byte // second byte of the loopback addresses
	port  int  // first of the ports that all machines use

	mu      sync.Mutex
	record  *os.File
	started time.Time
	procs   []*Process
}

// Disrupted reports whether the case injects its disruption: the variable TROUBLE is not 0.
func Disrupted() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case and exits with its status. folder is the case's folder in the repository.
func Main(folder string, limit time.Duration, run func(ctx context.Context, s *System) (broken bool, err error)) {
	os.Exit(runCase(folder, limit, run))
}

func runCase(folder string, limit time.Duration, run func(context.Context, *System) (bool, error)) int {
	s, err := newSystem(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	broken, err := run(ctx, s)
	switch {
	case err != nil:
		s.Logf("the case could not run: %v", err)
		return ExitNotRun
	case broken:
		s.Logf("result: the rule was broken")
		return ExitBroken
	}
	s.Logf("result: the rule held")
	return ExitHeld
}

func newSystem(folder string) (*System, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is not built: %w", program, err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	s := &System{Store: store.Start(), Dir: dir, net: byte(20 + rand.IntN(200)), record: record, started: time.Now()}
	if s.port, err = freePort(); err != nil {
		return nil, err
	}
	s.seeds = []string{s.control(1)}
	return s, nil
}

// freePort returns the first of four consecutive ports on which nothing listens on any loopback address.
func freePort() (int, error) {
	for range 50 {
		port := 20_000 + rand.IntN(10_000)
		free := true
		for p := port; p < port+4; p++ {
			l, err := net.Listen("tcp", "0.0.0.0:"+strconv.Itoa(p))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no free ports")
}

// Logf writes a line with the time since the start to the record and to the standard output.
func (s *System) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
	_, _ = io.WriteString(s.record, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// Notef writes a line to the record only.
func (s *System) Notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.started).Seconds()}, args...)...)
}

// IP returns the loopback address of machine n.
func (s *System) IP(n int) string { return fmt.Sprintf("127.%d.0.%d", s.net, n) }

// Frontend returns the address for clients of entry n.
func (s *System) Frontend(n int) string { return net.JoinHostPort(s.IP(n), strconv.Itoa(s.port)) }

func (s *System) ready(n int) string { return net.JoinHostPort(s.IP(n), strconv.Itoa(s.port+1)) }

func (s *System) control(n int) string { return net.JoinHostPort(s.IP(n), strconv.Itoa(s.port+2)) }

// SetSeeds makes the first n entries the seeds of all processes that are started later.
func (s *System) SetSeeds(n int) {
	s.seeds = nil
	for i := range n {
		s.seeds = append(s.seeds, s.control(i+1))
	}
}

// settings returns the settings file of a machine. app is the address of its runner; empty for a front machine.
func (s *System) settings(n int, app, storeAddr string, first bool) string {
	role, serves, listen := "entry", `"front", "control"`, fmt.Sprintf("frontend = %q\nready = %q\ncontrol_plane = %q\n", s.Frontend(n), s.ready(n), s.control(n))
	memory, share := MemoryMB, 0.304
	if app != "" {
		role, serves, listen, memory, share = "rank", `"side"`, "", 152, 0.24
	}
	return fmt.Sprintf(`node_name = "m-%d"
role = %q
machine_class = %q
serves = [%s]
ip = %q
zone = "bern-a"
region = "ch-mitte"
internal_ports = [%d, %d]
seeds = [%s]
bootstrap = %t
loss_counts = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "experts"]
app = %q
[zones]
bern-a = "ch-mitte"
[listen]
%s[limits]
cpu_share = %g
cores = 1
memory_mb = %d
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = %d
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = %d
grace_s = %g
loss_slack_ms = 200
config_apply_ms = %d
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
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
`, n, role, map[string]string{"entry": "front", "rank": "side"}[role], serves, s.IP(n), s.port+3, s.port+3, quoted(s.seeds), first, app, listen, share, memory,
		StableWindow.Milliseconds(), Drain.Milliseconds(), Grace.Seconds(), ConfigApply.Milliseconds(), storeAddr)
}

func quoted(list []string) string {
	var out []string
	for _, s := range list {
		out = append(out, strconv.Quote(s))
	}
	return strings.Join(out, ", ")
}

// Process is one process of the system on a machine of its own.
type Process struct {
	Name   string
	system *System
	file   string

	restart string // settings for all starts after the first
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
}

// StartEntry starts the entry on machine n. It reads the store at storeAddr; empty stands for the store itself.
func (s *System) StartEntry(n int, storeAddr string) (*Process, error) {
	if storeAddr == "" {
		storeAddr = s.Store.Addr()
	}
	return s.startProcess(n, "", storeAddr)
}

// StartRank starts the process beside a runner on machine n.
func (s *System) StartRank(n int, app string) (*Process, error) {
	return s.startProcess(n, app, s.Store.Addr())
}

func (s *System) startProcess(n int, app, storeAddr string) (*Process, error) {
	name := fmt.Sprintf("m-%d", n)
	p := &Process{Name: name, system: s, file: filepath.Join(s.Dir, name+".toml"), restart: s.settings(n, app, storeAddr, false)}
	if err := os.WriteFile(p.file, []byte(s.settings(n, app, storeAddr, true)), 0o600); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.procs = append(s.procs, p)
	s.mu.Unlock()
	if err := p.Start(); err != nil {
		return nil, err
	}
	return p, nil
}

// Start starts the process, also again after its end, with the command of the deploy file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.system.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if p.cmd != nil {
		if err := os.WriteFile(p.file, []byte(p.restart), 0o600); err != nil {
			return err
		}
	}
	p.cmd = exec.Command(program, "-platform", "-metrics-port", metricsPort)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", settingsVariable + "=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done, cmd := make(chan struct{}), p.cmd
	p.done = done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig)
}

// PID returns the id of the process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Done returns a channel that is closed when the present run of the process has ended.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.Running() {
		_ = p.Signal(syscall.SIGKILL)
	}
	select {
	case <-p.Done():
	case <-time.After(killWaitTime):
	}
}

// AwaitReady waits until entry n says that it is ready.
func (s *System) AwaitReady(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.ready(n)+"/-/readiness", nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		Sleep(ctx, 50*time.Millisecond)
	}
	return fmt.Errorf("entry %d is not ready", n)
}

// Sleep waits for d or until ctx ends, and reports whether ctx has not ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// close ends all processes and removes the temporary folder. With KEEP set, the logs of the processes are kept.
func (s *System) close() {
	for _, p := range s.procs {
		p.Kill()
	}
	s.Store.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.Dir)
	} else {
		_ = os.RemoveAll(s.Dir)
	}
	_ = s.record.Close()
}

// PutServer writes the entry of a runner to the store.
func (s *System) PutServer(id, service, addr, state string, slots int, born int64) {
	s.Store.Put("servers/"+id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":"bern-a","version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"phase":"both","models":[{"name":"m","version":1,"adapters":[]}],"sequence":1,"born":%d}`,
		service, addr, slots, state, born))
}

// Names that the configuration of PutConfig uses.
const (
	Host         = "ficu95.example"
	StreamPath   = "/lohu930/"
	UnsafePath   = "/puxa403/"
	SafePath     = "/cufi504/"
	ModelService = "huvo11a"
	DeskService  = "wuno96b"
	Key          = "n2ctnfzs989anu6wsjnb"
	Tenant       = "hule930"
)

// PutConfig publishes a configuration like that of the site ew-zentrale, with one route of each kind.
func (s *System) PutConfig(version int) {
	s.Store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-stream","hostname":%[2]q,"prefix":%[3]q,"route_kind":"stream","timeout_ms":8000,"target_latency_ms":500,"priority":1,"service":%[6]q,"max_attempts":2,"public":false,"session_affinity":true,"stream_resumption":true,"target_gap_ms":120},
{"name":"r-unsafe","hostname":%[2]q,"prefix":%[4]q,"route_kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":%[7]q,"max_attempts":1,"public":false},
{"name":"r-safe","hostname":%[2]q,"prefix":%[5]q,"route_kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":%[7]q,"max_attempts":2,"public":false}],
"services":[{"name":%[6]q,"health_path":"/health","max_connections":418,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":280000,"kv_token_bytes":35136,"link_mbps":92000.0,"stride":4,"models":[{"name":"m"}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,"read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":%[10]d,"usual":{"prompt":835,"answer":97},"sets":6,"experts":64,"placements":11,"spare":4,"expert_mb":1700.0,"expert_share":0.85,"form_ms":600.0}},
{"name":%[7]q,"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":%[8]q,"api_keys":[%[9]q],"priority":1}]}`, version, Host, StreamPath, UnsafePath, SafePath, ModelService, DeskService, Tenant, Key, reportLagMs))
}
