// Package servicehttp is the local process's HTTP client of a plain service, which runs operations such as bookings.
// It sends each request at most once, since an operation may not be idempotent.
package servicehttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/tcpconn"
)

const (
	// maxBodyBytes bounds the body of a service's response.
	maxBodyBytes = 1 << 20
	// dialTimeout bounds connecting to the service, which runs on the same VM.
	dialTimeout = time.Second
)

// Client implements port.PlainService.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the service at the base URL.
func New(base string) *Client {
	return &Client{base: strings.TrimRight(base, "/"), http: &http.Client{
		Transport:     httpclient.NewSingleUseTransport(dialTimeout),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call runs the operation once. It forwards no header of the caller, since an Idempotency-Key would make net/http retry
// the request by itself. The error is a *port.NotSentError if no byte of the request left the process.
func (c *Client) Call(ctx context.Context, operation, body string) (port.ServiceResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/"+url.PathEscape(operation), strings.NewReader(body))
	if err != nil {
		return port.ServiceResponse{}, &port.NotSentError{Err: err}
	}
	req.GetBody = nil
	written := make(chan error, 1)
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written <- info.Err },
	}))
	res, err := c.http.Do(req)
	if err != nil {
		return port.ServiceResponse{}, port.MarkNotSent(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes+1))
	if err != nil {
		return port.ServiceResponse{}, err
	}
	if len(text) > maxBodyBytes {
		return port.ServiceResponse{}, errors.New("response of the service is too large")
	}
	if isUnframed(res) {
		if err := awaitWritten(written); err != nil {
			return port.ServiceResponse{}, err
		}
		if c.crashed(ctx) {
			return port.ServiceResponse{}, errCrashed
		}
	}
	return port.ServiceResponse{Status: res.StatusCode, Body: string(text), RetryAfter: port.RetryAfter(res.Header, time.Now())}, nil
}

// writtenTimeout bounds the wait for the end of the write of a request whose response has ended. net/http closes the
// connection after such a response, which ends the write.
const writtenTimeout = time.Second

var errNotWritten = errors.New("response ended with its connection before the request was written")

// awaitWritten returns an error unless the whole request was written. The kernel reports the failure of a connection once: if
// the write has got it, the read of the response sees an end in order.
func awaitWritten(written <-chan error) error {
	select {
	case err := <-written:
		if err != nil {
			return fmt.Errorf("%w: %w", errNotWritten, err)
		}
		return nil
	case <-time.After(writtenTimeout):
		return errNotWritten
	}
}

var errCrashed = errors.New("service ended before the end of its response was certain")

// isUnframed reports whether the response has neither a length nor chunks, so that its end is known only from that of its
// connection.
func isUnframed(r *http.Response) bool { return r.ContentLength < 0 && len(r.TransferEncoding) == 0 }

// crashed reports whether the service refuses connections, as it does when its process has ended. The operating system
// closes the connections of a process that crashes in order.
func (c *Client) crashed(ctx context.Context) bool {
	base, err := url.Parse(c.base)
	if err != nil {
		return false
	}
	conn, err := tcpconn.Dialer(dialTimeout).DialContext(context.WithoutCancel(ctx), "tcp", base.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
