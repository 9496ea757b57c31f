package stand

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// ownerKey is the context key of the function that tells whether a connection is from the process on the same machine.
type ownerKey struct{}

// MarkOwner returns a ConnContext for the server of a runner. FromOwnMachine then tells for each request whether it is from
// the process that own returns, which runs beside the runner. All machines share one network here, so that the address of
// the caller does not tell.
func MarkOwner(own func() *Process) func(ctx context.Context, c net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		p := own()
		return context.WithValue(ctx, ownerKey{}, p != nil && p.Running() && ownsPeer(p.PID(), c))
	}
}

// FromOwnMachine reports whether a request is from the process beside the runner. See MarkOwner.
func FromOwnMachine(ctx context.Context) bool {
	own, _ := ctx.Value(ownerKey{}).(bool)
	return own
}

// ownsPeer reports whether the other end of a loopback connection is a socket of a process that the case has started.
func ownsPeer(pid int, c net.Conn) bool {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return false
	}
	inode := inodeOf(pid, remote, c.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return false
	}
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// inodeOf returns the inode of the socket from one address to another, as /proc lists it.
func inodeOf(pid int, from, to *net.TCPAddr) string {
	for _, name := range []string{"tcp", "tcp6"} {
		f, err := os.Open(fmt.Sprintf("/proc/%d/net/%s", pid, name))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(f)
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) > 9 && strings.HasSuffix(fields[1], procAddr(from)) && strings.HasSuffix(fields[2], procAddr(to)) {
				_ = f.Close()
				return fields[9]
			}
		}
		_ = f.Close()
	}
	return ""
}

// procAddr returns an IPv4 address as /proc writes it, in the byte order of little-endian machines.
func procAddr(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}
