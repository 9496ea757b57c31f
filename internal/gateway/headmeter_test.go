package gateway

import (
	"net"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/membudget"
)

// TestHeadMeter guards against heads whose short fields cost more than is accounted for, against bodies that are counted as
// heads, and against heads that are not counted since an empty line arrives before them: net/http skips it after a POST, and it
// is the end of a head whose other lines were read together with the request before.
func TestHeadMeter(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 100) + "\r\n"
	for _, before := range []string{"", "\r\n", "\n\r\n"} {
		want := int64(len(before+head) + (103+strings.Count(before, "\n"))*headerFieldBytes)
		for _, step := range []int{1, 2, 3, 4096} {
			m, cost := headMeter{}, int64(0)
			for rest := before + head + "\r\nbody\r\n\r\n"; rest != ""; rest = rest[min(step, len(rest)):] {
				cost += m.add([]byte(rest[:min(step, len(rest))]))
			}
			if cost != want || !m.ended {
				t.Errorf("%q before the head, in steps of %d: cost %d, want %d", before, step, cost, want)
			}
		}
	}
}

// TestOnlyHeadsAreMetered guards against bytes after a head that take memory as if they belonged to one, and against the memory
// of a request that has arrived and is taken back because of them.
func TestOnlyHeadsAreMetered(t *testing.T) {
	b := membudget.New(1 << 20)
	client, server := net.Pipe()
	defer client.Close()
	c := &limitedConn{Conn: server, memory: b.Lease("")}
	defer c.Close()
	receive := func(text string) {
		t.Helper()
		go func() { _, _ = client.Write([]byte(text)) }()
		if n, err := c.Read(make([]byte, 4096)); n != len(text) || err != nil {
			t.Fatalf("read %d of %d bytes: %v", n, len(text), err)
		}
	}
	c.headArrived() // its head was read together with the request before
	if !c.memory.Complete() {
		t.Fatal("the memory was taken back")
	}
	receive("a body\r\nof two lines")
	if b.Held() != 0 || !c.head.begun {
		t.Errorf("a body took %d bytes as a head; receiving: %v", b.Held(), c.head.begun)
	}
	c.awaitRequest()
	receive("GET / HTTP/1.1\r\n")
	if want := int64(len("GET / HTTP/1.1\r\n") + headerFieldBytes); b.Held() != want {
		t.Errorf("the next head took %d bytes, want %d", b.Held(), want)
	}
}

// TestHeadArrivesDuringRead guards against a data race: net/http may read the first byte of the next request while the handler
// of one without a body begins.
func TestHeadArrivesDuringRead(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	c := &limitedConn{Conn: server, memory: membudget.New(1 << 20).Lease("")}
	defer c.Close()
	go func() { _, _ = client.Write([]byte("G")) }()
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = c.Read(make([]byte, 1))
	}()
	c.headArrived()
	<-read
}
