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
	lowestPort      = 10000
	highestPort     = 32000 // exclusive
	maxPortAttempts = 1000
)

var (
	portsMu   sync.Mutex
	portsUsed = map[int]bool{}
)

// Address returns a free loopback address with a port that it has not returned before in this process.
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
