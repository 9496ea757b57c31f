package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/membudget"
)

// TestMessageAfterLargeOne guards against messages that are lost with the buffer of a large one before them.
func TestMessageAfterLargeOne(t *testing.T) {
	_, addr := startServer(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const messages = 5
	for i := range messages {
		text := strings.Repeat("a", (i+1)%2*8*maxKeptBufferBytes)
		go func() {
			_, _ = fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"method":"echo","params":{"Text":%q}}`, i, text)
		}()
		var reply struct {
			ID     int
			Result echoMessage
		}
		if err := json.NewDecoder(c).Decode(&reply); err != nil || reply.ID != i || reply.Result.Text != text {
			t.Fatalf("reply %d to message %d, %d bytes: %v", reply.ID, i, len(reply.Result.Text), err)
		}
	}
}

// TestMessagesHaveBoundedMemory guards against messages that stop just short of their end and together exceed the memory of the
// process, and against memory that is not given back.
func TestMessagesHaveBoundedMemory(t *testing.T) {
	const messageBytes, limit = 200 << 10, 2 << 20
	s, addr := startServer(t, func(s *Server) { s.Memory, s.Conns = membudget.New(limit), connlimit.New(100) })
	for range 30 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, `{"jsonrpc":"2.0","id":"1","method":"echo","params":{"Text":"`+strings.Repeat("a", messageBytes))
	}
	waitFor(t, "connections beyond the memory stay open", func() bool { return s.openConns() < limit/messageBytes })
	if held := s.Memory.Held(); held > limit {
		t.Errorf("%d bytes are held", held)
	}
	var out echoMessage
	waitFor(t, "a call is not answered", func() bool {
		return Call(context.Background(), addr, "echo", echoMessage{"b"}, &out) == nil && out.Text == "b"
	})
	s.Close()
	waitFor(t, "memory is not given back", func() bool { return s.Memory.Held() == 0 && s.Conns.Open() == 0 })
}

// TestManyEmptyElements guards against a message within its limit that takes many times its size when it is decoded: as the
// parameters of a call, and as the reply to one.
func TestManyEmptyElements(t *testing.T) {
	type element struct{ A, B, C, D string }
	const few = 8
	elements := json.RawMessage("[" + strings.Repeat("{},", maxMessageBytes/4) + "{}]")
	_, addr := startServer(t, func(s *Server) {
		s.Handle("count", TypedHandler(func(_ context.Context, in []element) (int, error) { return len(in), nil }))
		s.Handle("sum", TypedHandler(func(_ context.Context, in []int) (n int, _ error) {
			for _, i := range in {
				n += i
			}
			return n, nil
		}))
		s.Handle("list", TypedHandler(func(context.Context, struct{}) (json.RawMessage, error) { return elements, nil }))
	})
	var n int
	if err := Call(t.Context(), addr, "count", elements, &n); err == nil {
		t.Errorf("call: %d elements are taken", n)
	}
	var list []element
	if err := Call(t.Context(), addr, "list", struct{}{}, &list); err == nil {
		t.Errorf("reply: %d elements are taken", len(list))
	}
	if err := Call(t.Context(), addr, "count", make([]element, few), &n); err != nil || n != few {
		t.Errorf("call with %d elements: %d, error %v", few, n, err)
	}
	numbers := json.RawMessage("[" + strings.Repeat("0,", maxMessageBytes/2-100) + "0]")
	if err := Call(t.Context(), addr, "sum", numbers, &n); err != nil || n != 0 {
		t.Errorf("the largest list of numbers: %d, error %v", n, err)
	}
}
