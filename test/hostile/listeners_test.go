package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// messageBytes is just below the size that a message between processes may have.
const messageBytes = 1000 << 10

// httpClients returns misbehaving clients of a listener of HTTP whose path is served.
func httpClients(path string) client {
	texts := []string{
		"",
		head("GET", path) + "\r\n",
		manyFields(15 << 10),
		strings.Repeat(head("GET", path)+"\r\n", 2000),
		nearlyWhole(path),
		nearlyWhole("/none"),
		head("POST", path, "Transfer-Encoding: chunked") + "\r\n" + strings.Repeat(chunkOf(4<<10, ""), 100),
		head("GET", path+"?"+strings.Repeat("a", 2<<20)) + "\r\n",
	}
	return func(c net.Conn, n int) { send(c, texts[n%len(texts)]) }
}

// controlClients returns misbehaving clients of a control listener.
func controlClients() client {
	open := `{"jsonrpc":"2.0","id":"1","method":"test.none","params":"`
	texts := []string{
		"",
		open + strings.Repeat("a", messageBytes),
		`{"jsonrpc":"2.0","id":"1","method":"test.none","params":[` + strings.Repeat("[],", messageBytes/3),
		strings.Repeat(`{"jsonrpc":"2.0","id":"1","method":"test.none","params":{}}`, 20_000),
		open + strings.Repeat("a", 3<<20),
		strings.Repeat(" ", 3<<20),
		open + strings.Repeat("a", messageBytes) + `"}`, // whole, and then silence
	}
	return func(c net.Conn, n int) { send(c, texts[n%len(texts)]) }
}

// TestCrowdAtReady guards against clients that use up memory or descriptors through the listener of the readiness check.
func TestCrowdAtReady(t *testing.T) {
	s := startSystem(t)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.ready, size: crowdSize, reads: true, act: httpClients("/-/readiness")})
}

// TestCrowdAtMetrics guards against the same through the listener of the metrics, with answers that are not read.
func TestCrowdAtMetrics(t *testing.T) {
	s := startSystem(t)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.metrics, size: crowdSize, act: httpClients("/metrics")})
}

// TestCrowdsAtOtherListenersOfFrozenEntry guards against connections that wait at the other listeners of a process that stands
// still.
func TestCrowdsAtOtherListenersOfFrozenEntry(t *testing.T) {
	s := startSystem(t)
	freeze(t, s.process, 700*time.Millisecond)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.control, size: crowdSize / 3, act: controlClients()},
		&crowd{addr: s.ready, size: crowdSize / 3, reads: true, act: httpClients("/-/readiness")},
		&crowd{addr: s.metrics, size: crowdSize / 3, act: httpClients("/metrics")})
}

// TestCrowdAtControl guards against messages to the control listener that stop just short of their end.
func TestCrowdAtControl(t *testing.T) {
	s := startSystem(t)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.control, size: crowdSize, reads: true, act: controlClients()})
}

// TestCrowdAtControlThatReadsNothing guards against calls whose answers are not read.
func TestCrowdAtControlThatReadsNothing(t *testing.T) {
	s := startSystem(t)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.control, size: crowdSize, act: controlClients()})
}

// TestCrowdAtRank guards against the same at a process beside a rank.
func TestCrowdAtRank(t *testing.T) {
	p := startRank(t)
	requests := []answered{{"a call of another process", p.call}, {"the metrics", p.readMetrics}}
	withstand(t, p, requests, &crowd{addr: p.control, size: crowdSize, reads: true, act: controlClients()})
}

// TestCrowdAtRankThatReadsNothing guards against clients that read no answers at a process beside a rank.
func TestCrowdAtRankThatReadsNothing(t *testing.T) {
	p := startRank(t)
	requests := []answered{{"a call of another process", p.call}, {"the metrics", p.readMetrics}}
	withstand(t, p, requests, &crowd{addr: p.control, size: crowdSize / 2, act: controlClients()},
		&crowd{addr: p.metrics, size: crowdSize / 2, act: httpClients("/metrics")})
}

// TestCrowdsAtAllListeners guards against limits that hold for each listener but not for all of them together.
func TestCrowdsAtAllListeners(t *testing.T) {
	s := startSystem(t)
	body, fields := nearlyWhole("/r/x"), manyFields(60<<10)
	ahead := strings.Repeat(head("GET", "/l/x")+"\r\n", 60)
	withstand(t, s.process, s.ordinaryRequests(),
		&crowd{addr: s.callers, size: 60, reads: true, act: func(c net.Conn, _ int) { send(c, body) }},
		&crowd{addr: s.callers, size: 60, reads: true, act: func(c net.Conn, _ int) { send(c, fields) }},
		&crowd{addr: s.callers, size: 60, act: func(c net.Conn, _ int) { send(c, ahead) }},
		&crowd{addr: s.ready, size: 60, reads: true, act: httpClients("/-/readiness")},
		&crowd{addr: s.metrics, size: 60, act: httpClients("/metrics")},
		&crowd{addr: s.control, size: 100, reads: true, act: controlClients()})
}

// TestCrowdOfEndlessTargets guards against targets that send bytes without end to the requests of many clients, some of which
// do not read.
func TestCrowdOfEndlessTargets(t *testing.T) {
	s := startSystem(t)
	signed := endless.Answer{Name: "signed body", Start: "HTTP/1.1 200 OK\r\nX-Camphorbank-Server-Stamp: s\r\n\r\n", Again: "a"}
	for _, a := range append([]endless.Answer{signed}, endless.Answers...) {
		r, err := endless.Start(a)
		check(t, err)
		t.Cleanup(func() { r.Close() })
		s.list("large", r.Addr)
	}
	text := head("GET", "/l/x") + "\r\n"
	withstand(t, s.process, s.ordinaryRequests(),
		&crowd{addr: s.callers, size: crowdSize / 2, reads: true, act: func(c net.Conn, n int) { send(c, text) }},
		&crowd{addr: s.callers, size: crowdSize / 2, act: func(c net.Conn, n int) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			send(c, text)
			_, _ = io.ReadFull(c, make([]byte, 100))
		}})
	if err := s.request(strings.Replace(ordinary, "/r/x", fmt.Sprintf("/r/%d", 1), 1)); err != nil {
		t.Error(err)
	}
}
