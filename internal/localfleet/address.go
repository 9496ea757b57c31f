package localfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Listeners get ports below the range from which the operating system assigns ports to outgoing connections. A port in
// that range can be taken by such a connection after Address has found it free and before the process listens on it.
const (
	lowestPort  = 10000
	highestPort = 32000 // exclusive
	blockPorts  = 100   // ports of a block
	maxAttempts = 1000
)

// ports are the ports of this process. A program that is restarted leaves its port free for a while, in which the tests of another
// package, which run at the same time, would take it. Each process therefore claims whole blocks of ports.
var ports struct {
	sync.Mutex
	claims []net.Listener // on the first port of each block that this process has claimed; open until it ends
	next   int            // next port of the last block
	end    int            // of the last block, exclusive
}

// Address returns a free loopback address with a port that neither this process nor another one that uses this function has got
// before.
func Address() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range maxAttempts {
		if ports.next == ports.end && !claimBlock() {
			continue
		}
		port := ports.next
		ports.next++
		if l, err := listenOn(port); err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.New("no free loopback address")
}

// claimBlock claims a block at random. It returns false if another process has claimed it.
func claimBlock() bool {
	first := lowestPort + blockPorts*rand.IntN((highestPort-lowestPort)/blockPorts)
	l, err := listenOn(first)
	if err != nil {
		return false
	}
	ports.claims = append(ports.claims, l)
	ports.next, ports.end = first+1, first+blockPorts
	return true
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}
