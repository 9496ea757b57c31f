package hostile

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCrowdOfIdleConnections guards against connections that are opened and left, which use up the descriptors.
func TestCrowdOfIdleConnections(t *testing.T) {
	atCallers(t, true, func(net.Conn, int) {})
}

// TestCrowdOfKeptConnections guards against the same after one request each.
func TestCrowdOfKeptConnections(t *testing.T) {
	text := head("GET", "/r/x") + "\r\n"
	atCallers(t, true, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfRequestsSentAhead guards against many requests on one connection whose answers are not read.
func TestCrowdOfRequestsSentAhead(t *testing.T) {
	text := strings.Repeat(head("GET", "/r/x")+"\r\n", 3000)
	atCallers(t, false, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdOfBodiesSentAhead guards against the same with large bodies.
func TestCrowdOfBodiesSentAhead(t *testing.T) {
	text := strings.Repeat(nearlyWhole("/r/x")+"a", 5)
	atCallers(t, false, func(c net.Conn, _ int) { send(c, text) })
}

// TestCrowdThatReadsNoAnswers guards against large answers that are held because they are not read.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	text := strings.Repeat(head("GET", "/l/x")+"\r\n", 60)
	atCallers(t, false, func(c net.Conn, _ int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		send(c, text)
	})
}

// TestCrowdThatReadsSlowly guards against large answers of which a few bytes are read now and then.
func TestCrowdThatReadsSlowly(t *testing.T) {
	text := strings.Repeat(head("GET", "/l/x")+"\r\n", 60)
	atCallers(t, false, func(c net.Conn, _ int) {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
		send(c, text)
		buf := make([]byte, 64)
		for range 400 {
			if _, err := c.Read(buf); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestCrowdAtFrozenEntry guards against what the kernel holds for connections that wait while the process stands still: all of a
// crowd's used to fill a buffer each.
func TestCrowdAtFrozenEntry(t *testing.T) {
	s := startSystem(t)
	freeze(t, s.process, 700*time.Millisecond)
	text := nearlyWhole("/s/x")
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.callers, size: crowdSize, reads: true, act: func(c net.Conn, _ int) { send(c, text) }})
}

// TestCrowdThatLeavesEarly guards against clients that close their connection while a target works for them.
func TestCrowdThatLeavesEarly(t *testing.T) {
	text := head("GET", "/l/x") + "\r\n"
	atCallers(t, true, func(c net.Conn, _ int) {
		send(c, text)
		_, _ = http.ReadResponse(bufio.NewReader(c), nil)
		_ = c.Close()
	})
}
