// Package localfleet builds, starts and stops a camphorbank fleet on the loopback interface, for tests, measurements
// and the demo. The camphorbankd processes are real. The platform and the targets are replaced by stand-ins, which are
// small programs that imitate them.
package localfleet

import (
	"bytes"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	waitTimeout  = 30 * time.Second // bounds each wait for a process to become ready or to end
	pollInterval = 20 * time.Millisecond
)

// Fleet is a set of processes on one machine, with one platform stand-in that serves their configuration and VM list.
type Fleet struct {
	Dir       string // scratch directory
	Bin       string // directory of the built programs
	Platform  string // base URL of the platform stand-in
	Processes []*Process
	Nodes     []*Node
	VMs       []wire.VM // VM list that PublishVMs publishes
	// NewProxy, if set, is called for each new node before its process starts. It may start a proxy in front of the node's
	// listeners and replace the node's addresses in the VM list by those of the proxy. Its result is kept in Node.Proxy.
	NewProxy func(vm *wire.VM) (any, error)
	// Limits is the limits table of the settings files, or empty for the defaults.
	Limits string
	mu     sync.Mutex // guards Processes while several nodes are restarted concurrently

	tls, callersTLS string      // lines of the tls table in the settings files; empty for plain TCP
	operatorTLS     *tls.Config // nil for plain TCP
}

// Build builds the repository's programs and the stand-ins into dir.
func Build(dir string) error {
	root, err := moduleRoot()
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...", "./test/standin/...")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	return filepath.Dir(strings.TrimSpace(string(out))), err
}

// Start starts a program from the directory Bin. The name identifies the process in errors.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	return f.StartWithEnv(nil, name, program, args...)
}

// StartWithEnv is like Start and adds environment variables (NAME=VALUE) to those that the program inherits.
func (f *Fleet) StartWithEnv(variables []string, name, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, log: &syncBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(filepath.Join(f.Bin, program), args...)
	p.cmd.Env = append(os.Environ(), variables...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Processes = append(f.Processes, p)
	return p, nil
}

// StartPlatform starts the platform stand-in and waits until it listens.
func (f *Fleet) StartPlatform() error {
	addr, err := Address()
	if err != nil {
		return err
	}
	if _, err := f.Start("platform", "platform", "-listen", addr); err != nil {
		return err
	}
	f.Platform = "http://" + addr
	return WaitFor("platform", func() bool { return listening(addr) })
}

// PublishConfig publishes the configuration document that all VMs see except those that PublishFor gave another one.
func (f *Fleet) PublishConfig(revision int64, body []byte) error {
	return put(fmt.Sprintf("%s/admin/config?revision=%d", f.Platform, revision), body)
}

// PublishVMs publishes f.VMs as the VM list that all VMs see except those that PublishVMsFor gave another one.
func (f *Fleet) PublishVMs() error { return f.PublishVMsFor("", f.VMs) }

// PublishVMsFor publishes a VM list that only the named VM sees, instead of the list that all others see.
func (f *Fleet) PublishVMsFor(reader string, vms []wire.VM) error {
	return PutJSON(f.Platform+"/admin/vms?reader="+url.QueryEscape(reader), vms)
}

// PutJSON sends v as JSON in a PUT request, for example to set the faults of a stand-in.
func PutJSON(url string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return put(url, body)
}

func put(url string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return fmt.Errorf("PUT %s: %s %s", url, res.Status, text)
	}
	return nil
}

// Node is a running camphorbankd process.
type Node struct {
	*Process
	VM        wire.VM
	Callers   string // address of the callers' listener; only entries have one
	Operators string // address of the operators' listener
	TargetURL string // base URL of the target that a local process serves
	Settings  string // path of the settings file
	Proxy     any    // result of Fleet.NewProxy
}

// StartEntry adds an entry to the VM list, starts it and waits until it is ready.
func (f *Fleet) StartEntry(name, dataCentre string) (*Node, error) {
	n := &Node{VM: wire.VM{Name: name, DataCentre: dataCentre, Role: wire.RoleEntry, State: wire.StateLive}}
	addrs, err := addresses(3)
	if err != nil {
		return nil, err
	}
	n.Callers, n.VM.Control, n.Operators = addrs[0], addrs[1], addrs[2]
	body := fmt.Sprintf("role = \"entry\"\n%s[listen]\ncallers = %q\ncontrol = %q\noperators = %q\n%s",
		f.commonSettings(n), n.Callers, n.VM.Control, n.Operators, f.platformAndTLSSettings("entry", name))
	return n, f.startNode(n, body)
}

// StartLocal adds the VM of a target to the VM list, starts the local process of the target, which is at url, and waits
// until it is ready.
func (f *Fleet) StartLocal(vm wire.VM, url string, slots int) (*Node, error) {
	addrs, err := addresses(3)
	if err != nil {
		return nil, err
	}
	vm.Role, vm.State = wire.RoleTarget, wire.StateLive
	vm.Data, vm.Control = addrs[0], addrs[1]
	n := &Node{VM: vm, Operators: addrs[2], TargetURL: url}
	body := fmt.Sprintf("role = \"local\"\n%s[listen]\ndata = %q\ncontrol = %q\noperators = %q\n%s[target]\nkind = %q\nserves = %q\nurl = %q\nslots = %d\n",
		f.commonSettings(n), vm.Data, vm.Control, n.Operators, f.platformAndTLSSettings("local", vm.Name), vm.Kind, vm.Serves, url, slots)
	if vm.Group != "" {
		body += fmt.Sprintf("group = %q\nrank = %d\n", vm.Group, vm.Rank)
	}
	return n, f.startNode(n, body)
}

func addresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		a, err := Address()
		if err != nil {
			return nil, err
		}
		out[i] = a
	}
	return out, nil
}

// commonSettings returns the top-level settings that all roles have.
func (f *Fleet) commonSettings(n *Node) string {
	return fmt.Sprintf("name = %q\ndata_centre = %q\nticket_key = %q\ndrain_delay = \"200ms\"\n",
		n.VM.Name, n.VM.DataCentre, strings.Repeat("ab", 32))
}

// platformAndTLSSettings returns the platform, tls and limits tables of the settings file.
func (f *Fleet) platformAndTLSSettings(role, reader string) string {
	return fmt.Sprintf("[platform]\nconfig_url = \"%s/readers/%s/config\"\nvm_list_url = \"%s/vms?reader=%s\"\n",
		f.Platform, reader, f.Platform, reader) + f.tlsSettings(role) + f.Limits
}

func (f *Fleet) startNode(n *Node, body string) error {
	n.Settings = filepath.Join(f.Dir, n.VM.Name+".toml")
	if err := os.WriteFile(n.Settings, []byte(body), 0o600); err != nil {
		return err
	}
	if f.NewProxy != nil {
		proxy, err := f.NewProxy(&n.VM)
		if err != nil {
			return err
		}
		n.Proxy = proxy
	}
	f.VMs = append(f.VMs, n.VM)
	f.Nodes = append(f.Nodes, n)
	if err := f.PublishVMs(); err != nil {
		return err
	}
	return f.Restart(n)
}

// Restart starts the process of a node, which must have ended, with the same settings and waits until it is ready.
func (f *Fleet) Restart(n *Node) error {
	p, err := f.Start(n.VM.Name, "camphorbankd", "-config", n.Settings)
	if err != nil {
		return err
	}
	n.Process = p
	err = WaitFor(n.VM.Name+" ready", func() bool { return f.operatorOK(n.Operators, "/readyz") })
	if err != nil {
		return fmt.Errorf("%w\n%s", err, p.Log())
	}
	return nil
}

// StartStandIn starts a stand-in that has a flag -listen, waits until it listens, and returns its address.
func (f *Fleet) StartStandIn(name, program string, args ...string) (string, *Process, error) {
	addr, err := Address()
	if err != nil {
		return "", nil, err
	}
	p, err := f.Start(name, program, append([]string{"-listen", addr}, args...)...)
	if err != nil {
		return "", nil, err
	}
	return addr, p, WaitFor(name, func() bool { return listening(addr) })
}

// Terminate sends SIGTERM to the processes of nodes, suspended ones included, and waits until they have ended.
func Terminate(nodes ...*Node) error {
	for _, n := range nodes {
		_ = n.Resume()
		_ = n.Signal(syscall.SIGTERM)
	}
	for _, n := range nodes {
		select {
		case <-n.Done():
		case <-time.After(waitTimeout):
			return fmt.Errorf("%s did not stop in time", n.Name)
		}
	}
	return nil
}

// Stop stops all processes with SIGTERM, the latest started first, and kills those that do not end in time.
func (f *Fleet) Stop() error {
	var failed []string
	for i := len(f.Processes) - 1; i >= 0; i-- {
		p := f.Processes[i]
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Signal(syscall.SIGTERM)
		select {
		case <-p.Done():
		case <-time.After(waitTimeout):
			p.Kill()
			failed = append(failed, p.Name)
		}
	}
	if failed != nil {
		return fmt.Errorf("did not stop in time: %v", failed)
	}
	return nil
}
