// Package localhttp is the entry's client of local processes. It sends attempts over HTTP and reads the streamed frames
// of their answers.
package localhttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// dialTimeout bounds connecting, and the TLS handshake after it. Between data centres one way takes about 1.5 ms.
const dialTimeout = 500 * time.Millisecond

// maxFrameBytes bounds one frame. A plain service's answer has at most 1 MiB, which JSON escapes can make six times as
// long.
const maxFrameBytes = 7 << 20

var (
	errFrameTooLarge    = errors.New("frame from the local process is too large")
	errUnexpectedStatus = errors.New("unexpected status of the local process")
)

// Client sends attempts to local processes.
type Client struct {
	http   *http.Client
	scheme string
}

// frameReader fails when one frame has more bytes than allowed, so that a faulty local process cannot use up the
// memory.
type frameReader struct {
	r              io.Reader
	frameBytesLeft int
}

// Read reads from the connection until the current frame has used its allowed bytes; then it returns errFrameTooLarge.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.frameBytesLeft <= 0 {
		return 0, errFrameTooLarge
	}
	n, err := f.r.Read(p[:min(len(p), f.frameBytesLeft)])
	f.frameBytesLeft -= n
	return n, err
}

// New returns a client that uses the TLS configuration, or plain TCP if it is nil.
func New(tlsConfig *tls.Config) *Client {
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	transport := httpclient.NewTransport(dialTimeout)
	transport.TLSClientConfig, transport.TLSHandshakeTimeout = tlsConfig, dialTimeout
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = 8, 30*time.Second
	return &Client{scheme: scheme, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send sends an attempt and calls onFrame with each frame of its answer, up to and including the last one.
// The error is a *port.NotSentError if no byte of the attempt left the process.
func (c *Client) Send(ctx context.Context, addr string, a wire.Attempt, onFrame func(wire.Frame) error) error {
	return c.stream(ctx, c.scheme+addr+wire.AttemptPath, a, onFrame)
}

// Resume requests the frames of an attempt that was sent before, from q.FromSeq on. The error is port.ErrUnknownAttempt
// if the local process does not know the attempt.
func (c *Client) Resume(ctx context.Context, addr string, q wire.Resume, onFrame func(wire.Frame) error) error {
	return c.stream(ctx, c.scheme+addr+wire.ResumePath, q, onFrame)
}

func (c *Client) stream(ctx context.Context, url string, body any, onFrame func(wire.Frame) error) error {
	var encoded bytes.Buffer
	enc := json.NewEncoder(&encoded)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(body); err != nil {
		return &port.NotSentError{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &encoded)
	if err != nil {
		return &port.NotSentError{Err: err}
	}
	// net/http retries a request that has GetBody by itself when a reused connection breaks.
	req.GetBody = nil
	var connected atomic.Bool
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}))
	res, err := c.http.Do(req)
	if err != nil {
		return markNotSent(err, connected.Load())
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return port.ErrUnknownAttempt
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s", errUnexpectedStatus, res.Status)
	}
	return readFrames(res.Body, onFrame)
}

// readFrames calls onFrame with each frame until one ends the answer. The end of the body before that is an error.
func readFrames(body io.Reader, onFrame func(wire.Frame) error) error {
	limited := &frameReader{r: body}
	dec := json.NewDecoder(limited)
	for {
		limited.frameBytesLeft = maxFrameBytes
		var f wire.Frame
		if err := dec.Decode(&f); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if err := onFrame(f); err != nil {
			return err
		}
		if f.Kind != wire.FrameText {
			return nil
		}
	}
}

// markNotSent returns a *port.NotSentError if the request had no connection yet when it failed. Only then is it certain
// that no byte was written.
func markNotSent(err error, connected bool) error {
	if !connected {
		return &port.NotSentError{Err: err}
	}
	return err
}

// CloseIdle closes the connections that no attempt uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }
