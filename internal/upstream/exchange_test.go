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

// TestCanceledRequestResetsConnection guards against a target that receives a cancelled request once it can be reached
// again. The kernel continues to send the unsent data of a connection that is closed normally, but not of one that is
// reset.
func TestCanceledRequestResetsConnection(t *testing.T) {
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
		t.Errorf("error %v, want context.Canceled", err)
	}
	select {
	case err := <-ended:
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ended with %v, want a reset", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after 5 s")
	}
}
