package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// idPlaceholder is replaced by the id of the call in the fuzzed reply.
var idPlaceholder = []byte("ID")

// containsReply reports whether one of the JSON values in raw is an object with the id of the call and a result.
func containsReply(raw []byte, id string) bool {
	dec := json.NewDecoder(bytes.NewReader(raw))
	for {
		var m struct {
			ID     json.RawMessage
			Result json.RawMessage
			Method json.RawMessage
		}
		err := dec.Decode(&m)
		var got *string
		if json.Unmarshal(m.ID, &got) == nil && got != nil && *got == id && m.Result != nil {
			return true
		}
		if _, wrongType := err.(*json.UnmarshalTypeError); err != nil && !wrongType {
			return false
		}
	}
}

// FuzzReply guards against a panic in the calling process, and against a call that accepts as its reply what is not
// one: a reply to another call, a part of a message, or a request of the peer.
func FuzzReply(f *testing.F) {
	const good = `{"jsonrpc":"2.0","id":ID,"result":{"Text":"t"}}`
	for _, s := range []string{good, `{"jsonrpc":"2.0","id":99,"result":{"Text":"t"}}`,
		`{"jsonrpc":"2.0","id":"ID","result":{"Text":"t"}}`, `{"jsonrpc":"2.0","id":ID}`, `{"jsonrpc":"2.0","id":ID,"result":null}`,
		`{"jsonrpc":"2.0","id":ID,"result":{"Text":5}}`, `{"jsonrpc":"2.0","id":ID,"error":{"code":1,"message":"m"}}`,
		`{"jsonrpc":"2.0","id":ID,"method":"echo","params":{}}`, `{"id":ID,"result":{"Text":"t"}`, `[{"id":ID,"result":{"Text":"t"}}]`,
		`[]`, `null`, `{}`, `"ID"`, `{"id":null,"result":{}}`, `{"result":null}`, `{"result":{"Text":"t"}}`, `{"id":0,"result":{}}`, `{"id":ID,"result":{},"error":null}{"id":ID,"result":{}}`, "\x00"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, reply []byte) {
		a, b := net.Pipe()
		conn := jsonrpc2.NewConn(context.Background(), newStream(a, 0), ignoreRequests{}, jsonrpc2.SetLogger(discardLogger))
		defer conn.Close()
		type exchange struct {
			raw []byte
			id  string
		}
		sent := make(chan exchange, 1)
		go func() {
			defer b.Close()
			var q struct{ ID string }
			err := json.NewDecoder(b).Decode(&q)
			raw := bytes.ReplaceAll(reply, idPlaceholder, []byte(strconv.Quote(q.ID)))
			sent <- exchange{raw, q.ID}
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, b) }()
			_, _ = b.Write(raw)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		var out echoMessage
		err := call(ctx, conn, "echo", echoMessage{"q"}, &out)
		if ctx.Err() != nil {
			t.Fatalf("the call did not end although the connection was closed: %v", err)
		}
		if string(reply) == good && (err != nil || out.Text != "t") {
			t.Errorf("correct reply: got %+v, error %v", out, err)
		}
		if exchanged := <-sent; err == nil && !containsReply(exchanged.raw, exchanged.id) {
			t.Errorf("accepted %+v from %q as the reply to %q", out, exchanged.raw, exchanged.id)
		}
	})
}
