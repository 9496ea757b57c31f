package hostile

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/standin/store"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// Limits in the settings and the configuration of the tests. They are far below those of any deployment.
const (
	memoryMB       = 64
	maxFDs         = 440
	reservedFDs    = 200 // of maxFDs; the platform reserves them for files
	maxBodyBytes   = 512 << 10
	maxHeaderBytes = 16 << 10
	largeBytes     = 200 << 10 // body of an answer of the route "large"
	// answeredWithin bounds the wait for the answer to an ordinary request, with as many attempts as fit.
	answeredWithin = 15 * time.Second
	sampleInterval = 20 * time.Millisecond
)

// process is a camphorbankd process with its addresses.
type process struct {
	*localfleet.Process
	callers, ready, control, metrics string // callers and ready are those of an entry

	memoryMB   int64
	maxSockets int
}

// system is an entry with its store and targets.
type system struct {
	*process
	store *store.Store
	desk  *target.Target
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// configuration has routes that need no key (/r/, /l/ and the stream /s/) and one that needs one (/k/).
func configuration() string {
	route := func(name, kind, service string, public bool) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h","prefix":"/%s/","route_kind":%q,"timeout_ms":10000,"target_latency_ms":500,
			"service":%q,"max_attempts":2,"public":%v}`, name, name, kind, service, public)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s,%s,%s,%s],"services":[{"name":"desk"},{"name":"large"}],
		"tenants":[{"name":"one","api_keys":["key-one"]},{"name":"two","api_keys":["key-two"]}],
		"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		route("r", "safe", "desk", true), route("l", "safe", "large", true), route("s", "stream", "desk", true),
		route("k", "unsafe", "desk", false), maxHeaderBytes, maxBodyBytes)
}

// startSystem starts a store, targets and an entry, and waits until an ordinary request is answered.
func startSystem(t *testing.T) *system {
	t.Helper()
	s := &system{store: store.Start()}
	t.Cleanup(s.store.Close)
	s.store.Put("op/config", configuration())
	s.desk = s.addTarget(t, "desk", target.Answer(http.StatusOK, "ok"))
	s.addTarget(t, "large", target.Answer(http.StatusOK, strings.Repeat("a", largeBytes)))
	s.process = startProcess(t, s.store.Addr(), "entry", "")
	check(t, s.process.request(ordinary))
	return s
}

// addTarget starts a target and lists it in the store.
func (s *system) addTarget(t *testing.T, service string, b target.Behaviour) *target.Target {
	t.Helper()
	r, err := target.Start(b)
	check(t, err)
	t.Cleanup(r.Crash)
	s.list(service, r.Addr)
	return r
}

// list adds a target to the store.
func (s *system) list(service, addr string) {
	s.store.Put("servers/"+service+addr, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"a","slots":200,"state":"ready","born":1}`, service, addr))
}

// startRank starts a process beside an engine that answers every request with 404.
func startRank(t *testing.T) *process {
	t.Helper()
	engine, err := target.Start(target.Answer(http.StatusNotFound, ""))
	check(t, err)
	t.Cleanup(engine.Crash)
	p := startProcess(t, "127.0.0.1:1", "rank", engine.Addr)
	check(t, localfleet.WaitFor("rank answers", func() bool { return p.call() == nil }))
	return p
}

// startProcess starts a process beside the engine at the address, or an entry if that is empty.
func startProcess(t *testing.T, storeAddr, name, engine string) *process {
	t.Helper()
	var addrs [5]string
	for i := range addrs {
		var err error
		addrs[i], err = localfleet.Address()
		check(t, err)
	}
	f := &localfleet.Fleet{Dir: t.TempDir(), Bin: binDir}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Log(err)
		}
	})
	p := &process{callers: addrs[0], ready: addrs[1], control: addrs[2], metrics: addrs[4], memoryMB: memoryMB,
		maxSockets: maxFDs - reservedFDs}
	serves := `"front", "control"`
	if engine != "" {
		serves, p.control = `"side"`, addrs[3]
	}
	file := filepath.Join(f.Dir, name+".toml")
	settings := fmt.Sprintf(`node_name = %q
serves = [%s]
ip = "127.0.0.1"
zone = "a"
internal_ports = [%s, %s]
seeds = []
bootstrap = true
app = %q
[listen]
frontend = %q
ready = %q
control_plane = %q
[limits]
memory_mb = %d
max_fds = %d
[bounds]
drain_ms = 2000
grace_s = 2
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 90
budget_window_s = 10
fencing_enforced = true
[platform]
address = %q
`, name, serves, portOf(addrs[3]), portOf(addrs[3]), engine, addrs[0], addrs[1], addrs[2], memoryMB, maxFDs, storeAddr)
	check(t, os.WriteFile(file, []byte(settings), 0o600))
	var err error
	p.Process, err = f.StartWithEnv([]string{platform.SettingsVariable + "=" + file}, name, "camphorbankd", "-platform",
		"-metrics-port", portOf(addrs[4]))
	check(t, err)
	return p
}

// freeze stops a process for a time, which it does not wait for.
func freeze(t *testing.T, p *process, d time.Duration) {
	t.Helper()
	check(t, syscall.Kill(p.PID(), syscall.SIGSTOP))
	time.AfterFunc(d, func() { _ = syscall.Kill(p.PID(), syscall.SIGCONT) }) // an error means that the process has ended
}

func portOf(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

// ordinary is a small request of a client that behaves.
const ordinary = "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Camphorbank-Request-Id: ID\r\nX-Camphorbank-Deadline-Ms: 3000\r\n" +
	"Content-Length: 5\r\n\r\nhello"

// ordinaryChunked is the same with a body whose length is not stated.
const ordinaryChunked = "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Camphorbank-Request-Id: ID\r\nX-Camphorbank-Deadline-Ms: 3000\r\n" +
	"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"

// request sends a request until it is answered with 200. Each attempt has its own connection and id.
func (p *process) request(text string) error {
	return attempt(func(n int) error {
		id := fmt.Sprintf("ordinary-%d-%d", time.Now().UnixNano(), n)
		return p.sendOnce(p.callers, strings.Replace(text, "ID", id, 1))
	})
}

// isReady asks for readiness until the answer is 200.
func (p *process) isReady() error {
	return attempt(func(int) error { return p.sendOnce(p.ready, "GET /-/readiness HTTP/1.1\r\nHost: h\r\n\r\n") })
}

// readMetrics reads the metrics until they are answered.
func (p *process) readMetrics() error {
	return attempt(func(int) error { return p.sendOnce(p.metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n") })
}

// call calls the control listener until it answers. The method does not exist, so that the answer is an error.
func (p *process) call() error {
	return attempt(func(int) error {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		err := peer.Call(ctx, p.control, "test.none", struct{}{}, nil)
		var answer *jsonrpc2.Error
		if errors.As(err, &answer) {
			return nil
		}
		return err
	})
}

// attempt runs f until it succeeds. It returns the last error after answeredWithin.
func attempt(f func(n int) error) error {
	deadline := time.Now().Add(answeredWithin)
	for n := 0; ; n++ {
		err := f(n)
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (p *process) sendOnce(addr, text string) error {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s: %.100s", resp.Status, body)
	}
	return nil
}

// usage is the highest use of memory and sockets of a process.
type usage struct {
	resident int64 // bytes, the peak that the kernel reports
	unread   int64 // bytes that the kernel holds for the process because it has not read them
	sockets  int
}

// watch samples the use of a process until stop is closed, and sends the highest.
func (p *process) watch(stop <-chan struct{}) <-chan usage {
	out := make(chan usage, 1)
	ports := map[string]bool{}
	for _, addr := range []string{p.callers, p.ready, p.control, p.metrics} {
		n, _ := strconv.Atoi(portOf(addr))
		ports[fmt.Sprintf("%04X", n)] = true
	}
	go func() {
		var u usage
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				out <- u
				return
			case <-tick.C:
				u.resident = max(u.resident, p.peakResident())
				u.unread = max(u.unread, unreadBytes(ports))
				u.sockets = max(u.sockets, p.openSockets())
			}
		}
	}()
	return out
}

// peakResident returns the most memory that the process has had, in bytes, or 0 if it has ended.
func (p *process) peakResident() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// openSockets returns the number of sockets that the process has open.
func (p *process) openSockets() (n int) {
	dir := fmt.Sprintf("/proc/%d/fd", p.PID())
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	for _, f := range files {
		if link, err := os.Readlink(filepath.Join(dir, f.Name())); err == nil && strings.HasPrefix(link, "socket:") {
			n++
		}
	}
	return n
}

// Fields of a line of /proc/net/tcp.
const (
	localAddressField = 1
	stateField        = 3
	queuesField       = 4
)

// unreadBytes returns the number of bytes that the kernel has received on connections to the ports and that were not read.
func unreadBytes(ports map[string]bool) (n int64) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) <= queuesField {
			continue
		}
		_, port, _ := strings.Cut(f[localAddressField], ":")
		if !ports[port] || f[stateField] != "01" && f[stateField] != "08" { // established, or closed by the other end
			continue
		}
		_, received, _ := strings.Cut(f[queuesField], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		n += bytes
	}
	return n
}
