package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/test/standin/target"
)

// TestPlaceIsKeptUntilAnswerIsWritten guards against an answer that is cut because its connection counts as receiving while
// net/http still writes what the handler has left in its buffer.
func TestPlaceIsKeptUntilAnswerIsWritten(t *testing.T) {
	f := newFixture(t, target.Answer(200, "ok"), target.Answer(200, "ok"))
	places, inner := connlimit.New(1), listen(t)
	admits := func() bool {
		other, _ := net.Pipe()
		_, ok := places.Admit(other)
		return ok
	}
	server := gateway.NewServer(f.gateway)
	inTime, later := make(chan bool, 1), make(chan bool, 1)
	next := server.ConnState
	server.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateIdle {
			inTime <- admits()
		}
		next(c, s)
		if s == http.StateIdle {
			later <- admits()
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(&gateway.Listener{Listener: inner, Conns: places, Limits: func() routetable.Limits { return routetable.Limits{} }})
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	if status, _ := sendRaw(t, inner.Addr().String(), validHead+"Content-Length: 1\r\n\r\nx", true); status != 200 {
		t.Errorf("status %d", status)
	}
	for _, c := range []struct {
		admitted <-chan bool
		want     bool
		when     string
	}{{inTime, false, "before the answer counts as written"}, {later, true, "while the connection is idle"}} {
		select {
		case got := <-c.admitted:
			if got != c.want {
				t.Errorf("another connection is admitted %s: %v", c.when, got)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("the connection has not become idle")
		}
	}
}
