package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/platform"
)

// rankSettings are the settings of a process beside an engine, with its port and the address of its engine.
const rankSettings = `node_name = "r"
serves = ["side"]
ip = "127.0.0.1"
zone = "a"
internal_ports = [%s, %[1]s]
app = %[2]q
[limits]
memory_mb = 152
[bounds]
drain_ms = 2000
grace_s = 8.0
config_apply_ms = 2000
budget_window_s = 10.0
[platform]
address = %[2]q
`

// TestReloadSignalDuringStart guards against a SIGHUP that ends a process which is still reading its settings. The process
// reads them from a named pipe, so that the signal always arrives before the settings.
func TestReloadSignalDuringStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	cmd := exec.Command("camphorbankd", "-platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = &log, &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the process has opened the pipe
	if err != nil {
		t.Fatal(err)
	}
	own, engine := freeAddress(t), freeAddress(t)
	_, port, err := net.SplitHostPort(own)
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(pipe, rankSettings, port, engine) // fails if the signal has ended the process
	_ = pipe.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	listensOrEnded := func() bool {
		c, err := net.Dial("tcp", own)
		return len(ended) > 0 || err == nil && c.Close() == nil
	}
	if err := localfleet.WaitFor("listener", listensOrEnded); err != nil {
		t.Error(err)
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended
	if err := <-ended; err != nil {
		t.Errorf("the process ended with %v:\n%s", err, log.String())
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := localfleet.Address()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}
