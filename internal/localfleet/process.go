package localfleet

import (
	"bytes"
	"fmt"
	"net"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a process that a Fleet started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *syncBuffer
	done chan struct{} // closed when the process has ended
}

// syncBuffer collects the output of a running process. It is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// Log returns what the process has written to its standard output and standard error.
func (p *Process) Log() string { return p.log.String() }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Suspend suspends the process until Resume is called.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume resumes a process that Suspend suspended.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// ExitCode returns the exit code of an ended process.
func (p *Process) ExitCode() int { return p.cmd.ProcessState.ExitCode() }

// EndState returns how an ended process has ended, such as "exit status 1" or "signal: hangup".
func (p *Process) EndState() string { return p.cmd.ProcessState.String() }

// WaitFor polls until the condition holds. After 30 seconds it returns an error that names what was waited for.
func WaitFor(what string, condition func() bool) error {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%s: condition not met within %s", what, waitTimeout)
}

func listening(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	return c.Close() == nil
}
