package hostile

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 400
	// settleTime is the time that a crowd has to connect and send, before ordinary requests are sent beside it.
	settleTime = 2 * time.Second
	// stayTime is the time for which a crowd stays at least.
	stayTime = 5 * time.Second
	// reconnectDelay is the time after which a client whose connection was closed opens another one.
	reconnectDelay = time.Second
)

// client is what one client of a crowd does on a connection. n is its number. It may return at any time; the connection then
// stays open until the process or the end of the crowd closes it.
type client func(c net.Conn, n int)

// crowd is a number of misbehaving clients.
type crowd struct {
	addr  string
	size  int
	act   client
	reads bool // the clients read answers and notice that they are closed; they then connect again

	stop chan struct{}
	wait sync.WaitGroup
}

func (c *crowd) start() {
	c.stop = make(chan struct{})
	for n := range c.size {
		c.wait.Go(func() { c.run(n) })
	}
}

func (c *crowd) end() {
	close(c.stop)
	c.wait.Wait()
}

func (c *crowd) run(n int) {
	for {
		c.connect(n)
		select {
		case <-c.stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// connect opens one connection, acts on it and keeps it open.
func (c *crowd) connect(n int) {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-c.stop:
		case <-ended:
		}
		_ = conn.Close()
	}()
	if !c.reads {
		c.act(conn, n)
		<-c.stop
		return
	}
	go c.act(conn, n)
	_, _ = io.Copy(io.Discard, conn)
}

// answered is an ordinary request that must be answered.
type answered struct {
	what string
	ask  func() error
}

// withstand runs crowds against a process. It checks that ordinary requests are answered while they stay and afterwards, that
// the process lives, and that its memory and sockets stay within its settings.
func withstand(t *testing.T, p *process, requests []answered, crowds ...*crowd) {
	t.Helper()
	stop := make(chan struct{})
	used := p.watch(stop)
	for _, c := range crowds {
		c.start()
	}
	began := time.Now()
	time.Sleep(settleTime)
	for _, r := range requests {
		if err := r.ask(); err != nil {
			t.Errorf("%s, while the crowd stays: %v", r.what, err)
		}
	}
	time.Sleep(time.Until(began.Add(stayTime)))
	for _, c := range crowds {
		c.end()
	}
	for _, r := range requests {
		if err := r.ask(); err != nil {
			t.Errorf("%s, after the crowd: %v", r.what, err)
		}
	}
	close(stop)
	u := <-used
	t.Logf("at most %.1f MB resident, %.1f MB unread, %d sockets", float64(u.resident)/1e6, float64(u.unread)/1e6, u.sockets)
	if u.resident+u.unread > p.memoryMB*1e6 {
		t.Errorf("%.1f MB resident and %.1f MB unread, want at most %d MB", float64(u.resident)/1e6, float64(u.unread)/1e6, p.memoryMB)
	}
	if u.sockets > p.maxSockets {
		t.Errorf("%d sockets, want at most %d", u.sockets, p.maxSockets)
	}
	select {
	case <-p.Done():
		t.Errorf("the process has ended:\n%s", tail(p.Log()))
	default:
	}
}

func tail(log string) string { return log[max(0, len(log)-2000):] }

// atCallers runs a crowd against the callers' listener of a new entry.
func atCallers(t *testing.T, reads bool, act client) {
	t.Helper()
	s := startSystem(t)
	withstand(t, s.process, s.ordinaryRequests(), &crowd{addr: s.callers, size: crowdSize, reads: reads, act: act})
}

// ordinaryRequests returns the requests that an entry must answer beside a crowd.
func (s *system) ordinaryRequests() []answered {
	return []answered{{"an ordinary request", func() error { return s.request(ordinary) }},
		{"an ordinary request in chunks", func() error { return s.request(ordinaryChunked) }}, {"the readiness check", s.isReady}, {"the metrics", s.readMetrics}, {"a call of another process", s.call}}
}

// send writes text to a connection, and reports whether all of it was taken.
func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendRepeatedly writes text to a connection a number of times, with a pause after each.
func sendRepeatedly(c net.Conn, text string, times int, pause time.Duration) bool {
	for range times {
		if !send(c, text) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// head returns the start of a head without the blank line that ends it.
func head(method, path string, fields ...string) string {
	all := append([]string{method + " " + path + " HTTP/1.1", "Host: h", "X-Camphorbank-Request-Id: crowd",
		"X-Camphorbank-Deadline-Ms: 10000"}, fields...)
	return strings.Join(all, "\r\n") + "\r\n"
}
