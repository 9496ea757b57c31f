package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestGivenUpRequestIsReset guards against a request that its caller has given up and that a target still gets, once it is
// within reach again: the system goes on sending what is left of a connection that is closed in order, but not of one that
// is reset.
func TestGivenUpRequestIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	arrived := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 1)); err != nil {
			ended <- err
			return
		}
		close(arrived)
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-arrived
		leave()
	}()
	_, err = NewPool().Do(ctx, l.Addr().String(), &Request{Method: "POST", URI: "/", Host: "h", Body: []byte("x")})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want that the caller left", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, want a reset", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}
