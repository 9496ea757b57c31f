package soak_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// isFromOwnProcess reports whether a connection is from the process beside the engine. All processes share one network
// here, so that the address of the caller does not tell.
func (r *proxiedTarget) isFromOwnProcess(c net.Conn) bool {
	if own, known := r.ownConnections.Load(c); known {
		return own.(bool)
	}
	caller, ok := r.link.ClientOf(c.RemoteAddr())
	if !ok {
		return false // the caller has disconnected
	}
	inode, err := socketInode(caller, r.link.Addr())
	own := err == nil && ownsSocket(r.beside.Load().pid(), inode)
	r.ownConnections.Store(c, own)
	return own
}

// pid returns the id of the node's last process.
func (e *node) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process.PID()
}

// ownsSocket reports whether a socket belongs to a process.
func ownsSocket(pid int, inode uint32) bool {
	fds, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, fd := range fds {
		if target, err := os.Readlink(fd); err == nil && target == want {
			return true
		}
	}
	return false
}

// socketID names a socket to the kernel's interface sock_diag.
type socketID struct {
	FromPort, ToPort [2]byte // in network byte order
	From, To         [16]byte
	Interface        uint32
	Cookie           [2]uint32
}

// socketQuery is a message to sock_diag that asks for one socket.
type socketQuery struct {
	syscall.NlMsghdr
	Family, Protocol, Extensions, _ uint8
	States                          uint32
	Socket                          socketID
}

// Values of the interface sock_diag that package syscall lacks.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	anyCookie        = ^uint32(0)
	inodeOffset      = syscall.SizeofNlMsghdr + 68 // in the answer
)

// socketInode returns the inode of the socket of a TCP connection from one IPv4 address to another. It asks the kernel for this
// socket: reading the list of all sockets takes longer than a process waits for its engine when many tests run.
func socketInode(from, to string) (uint32, error) {
	query := socketQuery{Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: ^uint32(0)}
	query.NlMsghdr = syscall.NlMsghdr{Len: uint32(binary.Size(query)), Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST}
	for addr, ends := range map[string][2][]byte{
		from: {query.Socket.From[:], query.Socket.FromPort[:]},
		to:   {query.Socket.To[:], query.Socket.ToPort[:]},
	} {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			return 0, err
		}
		copy(ends[0], parsed.Addr().AsSlice())
		binary.BigEndian.PutUint16(ends[1], parsed.Port())
	}
	query.Socket.Cookie = [2]uint32{anyCookie, anyCookie}
	var message bytes.Buffer
	if err := binary.Write(&message, binary.NativeEndian, query); err != nil {
		return 0, err
	}
	return askForInode(message.Bytes())
}

func askForInode(message []byte) (uint32, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, message, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	answer := make([]byte, os.Getpagesize())
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, err
	}
	if n < inodeOffset+4 {
		return 0, fmt.Errorf("no socket in an answer of %d bytes", n)
	}
	return binary.NativeEndian.Uint32(answer[inodeOffset:]), nil
}

// TestOwnsSocket guards against engines that take a call of their own process for one of another process, or the reverse.
// The soak would then disturb what it must not, or nothing.
func TestOwnsSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	inode, err := socketInode(c.LocalAddr().String(), c.RemoteAddr().String())
	if err != nil || !ownsSocket(os.Getpid(), inode) {
		t.Errorf("the socket %d is not of this process: %v", inode, err)
	}
	if ownsSocket(os.Getppid(), inode) {
		t.Errorf("the socket %d is of the parent process", inode)
	}
}
