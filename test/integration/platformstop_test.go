package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/test/standin/store"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// TestPlatformEntryAnswersUntilItStops guards against an entry that is told to stop several times and then cuts off what it
// still holds near the end of the grace period, or outlasts that.
func TestPlatformEntryAnswersUntilItStops(t *testing.T) {
	const grace = 8 * time.Second // as in the settings of startOnPlatform
	f := newFleet(t)
	s := store.Start()
	t.Cleanup(s.Close)
	tg, err := target.Start(target.Silent(2 * grace))
	check(t, err)
	t.Cleanup(tg.Close)
	s.Put("op/config", `{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/","route_kind":"unsafe","timeout_ms":60000,
		"target_latency_ms":500,"service":"desk"}],"services":[{"name":"desk"}]}`)
	s.Put("servers/i-1", fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":50,"state":"ready","born":1}`, tg.Addr))
	entry := startOnPlatform(t, f.Fleet, s.Addr(), "entry", "", entryMemoryMB)
	check(t, localfleet.WaitFor("entry is ready", func() bool { return getStatus("http://"+entry.ready+"/-/readiness") == http.StatusOK }))
	ask := func(id string) net.Conn {
		c, err := net.Dial("tcp", entry.callers)
		check(t, err)
		t.Cleanup(func() { _ = c.Close() })
		check(t, c.SetDeadline(time.Now().Add(2*grace)))
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 2\r\n\r\nx", target.HeaderID, id)
		check(t, err)
		return c
	}
	running, late := ask("running"), ask("late")
	_, err = io.WriteString(running, "x")
	check(t, err)
	check(t, localfleet.WaitFor("arrival", func() bool { return len(tg.Arrivals()) == 1 }))
	begun := time.Now()
	for range 3 {
		check(t, entry.Signal(syscall.SIGTERM))
		time.Sleep(grace / 16)
	}
	for _, c := range []struct {
		name   string
		conn   net.Conn
		status int
	}{{"late", late, http.StatusServiceUnavailable}, {"running", running, http.StatusBadGateway}} {
		resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
		check(t, err)
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != c.status || !strings.Contains(string(body), "stopping") {
			t.Errorf("%s: status %d, %q, %v", c.name, resp.StatusCode, body, err)
		}
	}
	<-entry.Done()
	if took := time.Since(begun); took > grace || entry.ExitCode() != 0 || len(tg.Arrivals()) != 1 {
		t.Errorf("ended after %v with status %d, %d arrivals", took, entry.ExitCode(), len(tg.Arrivals()))
	}
}
