package localfleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Listeners get ports below the range from which the system takes the ports of outgoing connections. A port of that
// range may be taken by a connection between the moment it is found free and the start of the process that gets it.
const (
	lowestPort      = 10000
	highestPort     = 32000
	maxPortAttempts = 1000
)

var (
	portsMu   sync.Mutex
	portsUsed = map[int]bool{}
)

// Address returns a free loopback address that this program has not handed out before.
func Address() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range maxPortAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if portsUsed[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		portsUsed[port] = true
		return addr, l.Close()
	}
	return "", errors.New("no free loopback address")
}
