// Package httpclient builds the transports of HTTP clients. All of them notice peers that have gone silent, and bound the head
// of an answer.
package httpclient

import (
	"net/http"
	"time"

	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

// MaxHeadBytes bounds the head of one answer, together with informational heads before it. net/http allows 10 MB by default,
// which as header lines need many times as much memory.
const MaxHeadBytes = 64 << 10

// NewTransport returns a transport that opens connections within dialTimeout. It uses no proxy and asks for no compression.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: tcpconn.Dialer(dialTimeout).DialContext, MaxResponseHeaderBytes: MaxHeadBytes, DisableCompression: true}
}

// NewSingleUseTransport returns a transport like NewTransport that uses each connection for one request. A second copy of an
// earlier answer can then not be taken for the answer to the next request, and net/http never sends a request again by itself.
func NewSingleUseTransport(dialTimeout time.Duration) *http.Transport {
	t := NewTransport(dialTimeout)
	t.DisableKeepAlives = true
	return t
}
