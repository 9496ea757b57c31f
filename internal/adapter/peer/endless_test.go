package peer

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/endless"
)

const (
	// endlessCallTime is the deadline of a call to a peer that sends bytes without end.
	endlessCallTime = time.Second
	// endlessHeapBytes bounds the heap meanwhile: the buffers of a message of the largest size, and what was not collected yet.
	endlessHeapBytes = 64 << 20
)

// TestEndlessReply guards against a process that keeps what a faulty peer sends without end in place of the reply to a call: bytes that
// are no message, a message without an end, and messages that belong to no call.
func TestEndlessReply(t *testing.T) {
	for name, a := range map[string]endless.Answer{
		"no message":            {Again: "\x00"},
		"answer of HTTP":        {Start: "HTTP/1.1 200 OK\r\n", Again: "A: b\r\n"},
		"spaces":                {Again: " "},
		"string":                {Start: `{"jsonrpc":"2.0","id":"a","result":"`, Again: "a"},
		"members":               {Start: `{"jsonrpc":"2.0"`, Again: `,"a":1`},
		"arrays":                {Again: "["},
		"replies to no call":    {Again: `{"jsonrpc":"2.0","id":"other","result":"a"}` + "\n"},
		"requests":              {Again: `{"jsonrpc":"2.0","id":1,"method":"m","params":{}}` + "\n"},
		"notifications":         {Again: `{"jsonrpc":"2.0","method":"m","params":{}}` + "\n"},
		"replies of many calls": {Start: "[", Again: `{"jsonrpc":"2.0","id":"other","result":"a"},`},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := endless.Start(a)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(t.Context(), endlessCallTime)
			defer cancel()
			ended := make(chan error, 1)
			go func() {
				var out echoMessage
				ended <- Call(ctx, s.Addr, "echo", echoMessage{"a"}, &out)
			}()
			largest := uint64(0)
			for err, done := error(nil), false; !done; {
				select {
				case err = <-ended:
					if done = true; err == nil {
						t.Error("the call has a reply")
					}
				case <-time.After(10 * time.Millisecond):
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					largest = max(largest, m.HeapAlloc)
				}
			}
			s.Close() // waits until the connection is closed
			if largest > endlessHeapBytes {
				t.Errorf("the heap had %d bytes", largest)
			}
		})
	}
}
