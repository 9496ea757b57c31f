// Package httpclient builds the transports of HTTP clients. All of them notice peers that have gone silent, bound the head of an
// answer, and accept the statuses of final answers only.
package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/httphead"
	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

// MaxHeadBytes bounds the head of one answer, together with informational heads before it. net/http allows 10 MB by default,
// which as header lines need many times as much memory.
const MaxHeadBytes = 64 << 10

// Transport is a transport of net/http that fails for an answer whose status is not one of a final answer, such as 000.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that opens connections within dialTimeout. It uses no proxy and asks for no compression.
func NewTransport(dialTimeout time.Duration) *Transport {
	return &Transport{&http.Transport{DialContext: tcpconn.Dialer(dialTimeout).DialContext, MaxResponseHeaderBytes: MaxHeadBytes, DisableCompression: true}}
}

// RoundTrip sends a request and returns its final answer. The connection of an answer with another status is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := httphead.CheckFinal(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// NewSingleUseTransport returns a transport like NewTransport that uses each connection for one request. A second copy of an
// earlier answer can then not be taken for the answer to the next request, net/http never sends a request again by itself, and
// the lines of each head are checked.
func NewSingleUseTransport(dialTimeout time.Duration) *Transport {
	t := NewTransport(dialTimeout)
	t.DisableKeepAlives = true
	secure := &tls.Dialer{NetDialer: tcpconn.Dialer(dialTimeout)}
	t.DialContext = checkingDialer(t.DialContext)
	t.DialTLSContext = checkingDialer(secure.DialContext)
	return t
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// checkingDialer returns a dialer whose connections check the lines of the head of an answer.
func checkingDialer(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
}

// checkedConn is a connection for one answer.
type checkedConn struct {
	net.Conn
	lines httphead.Lines
}

func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.lines.Check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
