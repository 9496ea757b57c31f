package gateway

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// deadlineConn is a connection that stores its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
	onSet    func() // called before a deadline is stored
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	if f := c.onSet; f != nil {
		c.onSet = nil
		f()
	}
	c.deadline = t
	return nil
}

// TestRevokedReadingStaysEnded guards against a request whose memory is taken back and whose body is read on, because a
// deadline that is set later or at the same moment replaces that of the revocation.
func TestRevokedReadingStaysEnded(t *testing.T) {
	for name, set := range map[string]func(*limitedConn, time.Time) error{
		"body": func(c *limitedConn, t time.Time) error {
			r := httptest.NewRequest("POST", "/", nil)
			return setBodyDeadline(r.WithContext(context.WithValue(r.Context(), connKey{}, net.Conn(c))), t)
		},
		"server": (*limitedConn).SetReadDeadline,
	} {
		for _, to := range []time.Time{{}, time.Now().Add(time.Second), time.Now().Add(time.Hour)} {
			before, during := &deadlineConn{}, &deadlineConn{}
			for _, inner := range []*deadlineConn{before, during} {
				c := &limitedConn{Conn: inner, limits: func() routetable.Limits { return routetable.Limits{} }}
				if inner == before {
					c.expire()
				} else {
					inner.onSet = c.expire
				}
				if err := set(c, to); err != nil || inner.deadline.IsZero() || inner.deadline.After(time.Now()) {
					t.Errorf("%s, expired before: %v: the deadline is %v (%v)", name, inner == before, inner.deadline, err)
				}
			}
		}
	}
}
