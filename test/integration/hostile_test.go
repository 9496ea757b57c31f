package integration

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/standin/endless"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

const (
	// entryMemoryMB and rankMemoryMB are the memory of the smallest VMs of an entry and of a process beside an engine, in
	// megabytes. Half of it must be left when all connections are hostile at once.
	entryMemoryMB = 184
	rankMemoryMB  = 152
	// hostileTime is the time for which all targets and engines send bytes without end.
	hostileTime = 8 * time.Second
	// hostileCallers is the number of callers that send requests at the same time, half of them with large bodies.
	hostileCallers   = 100
	largeBodyBytes   = 4 << 20
	memorySampleTime = 20 * time.Millisecond
)

// platformProcess is a process in one of the roles on the users' platform.
type platformProcess struct {
	*localfleet.Process
	callers, ready string // addresses of an entry
	memoryMB       int64
	peakBytes      int64
}

// startOnPlatform starts a process beside the engine at the address, or an entry if it is empty.
func startOnPlatform(t *testing.T, f *localfleet.Fleet, storeAddr, name, engine string, memoryMB int64) *platformProcess {
	t.Helper()
	var addrs [4]string
	for i := range addrs {
		var err error
		addrs[i], err = localfleet.Address()
		check(t, err)
	}
	p := &platformProcess{callers: addrs[0], ready: addrs[1], memoryMB: memoryMB}
	port := addrs[3][strings.LastIndexByte(addrs[3], ':')+1:]
	serves := `"front", "control"`
	if engine != "" {
		serves = `"side"`
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
[bounds]
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 90
budget_window_s = 10
fencing_enforced = true
[platform]
address = %q
`, name, serves, port, port, engine, addrs[0], addrs[1], addrs[2], memoryMB, storeAddr)
	check(t, os.WriteFile(file, []byte(settings), 0o600))
	var err error
	p.Process, err = f.StartWithEnv([]string{platform.SettingsVariable + "=" + file}, name, "camphorbankd", "-platform")
	check(t, err)
	return p
}

// startHostileTargets starts targets that send bytes without end and lists them in the store. One of them has the signature of
// a target, so that its body is passed on.
func startHostileTargets(t *testing.T, s *store.Store) {
	t.Helper()
	signed := endless.Answer{Name: "signed body", Start: "HTTP/1.1 200 OK\r\nX-Camphorbank-Server-Stamp: s\r\n\r\n", Again: "a"}
	for i, a := range append([]endless.Answer{signed}, endless.Answers...) {
		target, err := endless.Start(a)
		check(t, err)
		t.Cleanup(func() { target.Close() })
		s.Put(fmt.Sprintf("servers/i-%d", i), fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":50,"state":"ready","born":1}`, target.Addr))
	}
}

// TestHostilePeersNeedLittleMemory guards against an entry, or a process beside an engine, that exceeds the memory of its VM and
// is killed while all targets and engines send bytes without end and callers send large bodies.
func TestHostilePeersNeedLittleMemory(t *testing.T) {
	f := newFleet(t)
	s := store.Start()
	t.Cleanup(s.Close)
	s.Put("op/config", fmt.Sprintf(`{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/r/","route_kind":"safe","timeout_ms":2000,
		"target_latency_ms":500,"service":"desk","max_attempts":2}],"services":[{"name":"desk"}],
		"limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, largeBodyBytes))
	startHostileTargets(t, s)
	processes := []*platformProcess{startOnPlatform(t, f.Fleet, s.Addr(), "entry", "", entryMemoryMB)}
	for i, a := range endless.Answers {
		engine, err := endless.Start(a)
		check(t, err)
		t.Cleanup(func() { engine.Close() })
		processes = append(processes, startOnPlatform(t, f.Fleet, s.Addr(), fmt.Sprintf("rank-%d", i), engine.Addr, rankMemoryMB))
	}
	entry := processes[0]
	check(t, localfleet.WaitFor("entry is ready", func() bool {
		resp, err := http.Get("http://" + entry.ready + "/-/readiness")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}))
	end := time.Now().Add(hostileTime)
	var callers sync.WaitGroup
	for n := range hostileCallers {
		callers.Go(func() { sendUntil(end, entry.callers, n) })
	}
	for time.Now().Before(end) {
		for _, p := range processes {
			p.peakBytes = max(p.peakBytes, residentBytes(t, p.Process))
		}
		time.Sleep(memorySampleTime)
	}
	callers.Wait()
	for _, p := range processes {
		t.Logf("%s: at most %d of %d MB resident", p.Name, p.peakBytes/1e6, p.memoryMB)
		if p.peakBytes > p.memoryMB*1e6/2 {
			t.Errorf("%s: %d MB resident, want at most half of %d MB", p.Name, p.peakBytes/1e6, p.memoryMB)
		}
		select {
		case <-p.Done():
			t.Errorf("%s has ended:\n%s", p.Name, p.Log())
		default:
		}
		p.Kill()
	}
}

// sendUntil sends one request after another and reads the answers. Every second caller sends large bodies.
func sendUntil(end time.Time, addr string, n int) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	body := "small"
	if n%2 == 0 {
		body = strings.Repeat("a", largeBodyBytes)
	}
	for i := 0; time.Now().Before(end); i++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/r/x", strings.NewReader(body))
		if err != nil {
			return
		}
		req.Host = "h"
		req.Header.Set("X-Camphorbank-Request-Id", fmt.Sprintf("%d-%d", n, i))
		req.Header.Set("X-Camphorbank-Deadline-Ms", "2000")
		resp, err := client.Do(req)
		if err != nil {
			continue // refused bodies may end with a reset
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
