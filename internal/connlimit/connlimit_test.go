package connlimit

import (
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// testConn is a connection that reports its end.
type testConn struct {
	net.Conn
	closed func()
}

func (c *testConn) Close() error {
	c.closed()
	return nil
}

// admit adds connections to a limit until it is full, with a function that states what happens on each.
func admit(t *testing.T, l *Limit, closed *[]string, conns ...func(*Slot)) {
	t.Helper()
	for i, act := range conns {
		name := string(rune('a' + i))
		s, ok := l.Admit(&testConn{closed: func() { *closed = append(*closed, name) }})
		if !ok {
			t.Fatalf("connection %s is refused", name)
		}
		act(s)
		time.Sleep(time.Millisecond)
	}
}

// TestOrderOfClosing guards against a connection that is closed although one that is needed less is open.
func TestOrderOfClosing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, closed, reasons := New(8), []string(nil), []Reason(nil)
		l.Closed = func(r Reason) { reasons = append(reasons, r) }
		admit(t, l, &closed,
			func(s *Slot) { s.Received(10); s.Run() },
			func(s *Slot) { s.Received(900) },
			func(s *Slot) { s.Received(10) },
			func(s *Slot) { s.Received(10); s.Idle() },
			func(s *Slot) { s.Received(10); s.Idle(); s.Received(10) },
			func(s *Slot) {},
			func(s *Slot) {},
			func(s *Slot) { s.Received(10); s.Idle() },
		)
		time.Sleep(graceTime)
		for i := range 8 {
			_, ok := l.Admit(&testConn{closed: func() { closed = append(closed, "new") }})
			if want := i < 8; ok != want {
				t.Errorf("connection %d is admitted: %v", i, ok)
			}
		}
		want := []string{"f", "g", "d", "h", "c", "e", "b", "new"}
		if len(closed) != len(want) {
			t.Fatalf("closed %v, want %v", closed, want)
		}
		for i := range want {
			if closed[i] != want[i] {
				t.Errorf("closed %v, want %v", closed, want)
				break
			}
		}
		if reasons[0] != ReasonSilent || reasons[2] != ReasonIdle || reasons[4] != ReasonSlow || reasons[7] != ReasonNew {
			t.Errorf("reasons %v", reasons)
		}
	})
}

// TestRunningRequestsStay guards against a request at a target that is cut off for a new connection.
func TestRunningRequestsStay(t *testing.T) {
	l, closed := New(2), 0
	for range 2 {
		s, _ := l.Admit(&testConn{closed: func() { closed++ }})
		s.Received(1)
		s.Run()
		defer s.Free()
	}
	if _, ok := l.Admit(&testConn{}); ok || closed != 0 {
		t.Errorf("a third connection is admitted: %v, %d are closed", ok, closed)
	}
}

// TestAnswerIsWrittenBeforeItsConnectionIsClosed guards against an answer that is cut off for a new connection after its handler has
// returned, while the server still writes it.
func TestAnswerIsWrittenBeforeItsConnectionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, closed := New(1), 0
		s, _ := l.Admit(&testConn{closed: func() { closed++ }})
		for range 2 {
			s.Received(1)
			if !s.RunUntilIdle() {
				t.Fatal("the request may not run")
			}
			time.Sleep(2 * graceTime)
			if _, ok := l.Admit(&testConn{}); ok || closed != 0 {
				t.Fatalf("a second connection is admitted: %t, %d are closed", ok, closed)
			}
			s.Idle()
		}
		if _, ok := l.Admit(&testConn{}); !ok || closed != 1 {
			t.Errorf("a second connection is admitted beside an idle one: %t, %d are closed", ok, closed)
		}
	})
}

// TestSlotsAreGivenBack guards against closed connections that use up the limit.
func TestSlotsAreGivenBack(t *testing.T) {
	l := New(2)
	for range 10 {
		s, ok := l.Admit(&testConn{closed: func() { t.Error("closed although there is room") }})
		if !ok {
			t.Fatal("refused although there is room")
		}
		s.Free()
		s.Free()
	}
	if l.Open() != 0 {
		t.Errorf("%d connections are open", l.Open())
	}
}
