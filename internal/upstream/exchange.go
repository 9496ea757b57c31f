package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/httphead"
)

// Request is one request to a target. It is sent unchanged.
type Request struct {
	Method string
	URI    string // path and query, escaped as the caller sent them
	Host   string
	Header http.Header // without hop-by-hop headers, Host and Content-Length
	Body   []byte
	// AtMostOnce restricts the request to connections that are new or have been idle for less than atMostOnceMaxIdle.
	AtMostOnce bool
	// NewConnection restricts the request to a connection that has carried no other one.
	NewConnection bool
	// MaySend is asked when the connection is open, immediately before the first byte is sent. If it returns false, the
	// exchange fails with ErrMayNotSend and nothing is sent. It may be nil.
	MaySend func() bool
}

// ErrMayNotSend is the error of a request whose MaySend has returned false.
var ErrMayNotSend = errors.New("the request may no longer be sent to the target")

// Error is the error of a failed exchange of request and response.
type Error struct {
	// Sent means that bytes of the request were sent, so that the target may have run it.
	Sent bool
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether an exchange failed before any byte of the request was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Framing is how the head of an answer states where its body ends.
type Framing int

// Framings of answers.
const (
	FramingNone       Framing = iota // the method or the status allows no body
	FramingLength                    // by a length
	FramingChunked                   // by chunks
	FramingConnection                // not at all: the body ends with the connection
)

// Response is the answer of a target. Finish must be called once the body has been read or is no longer needed.
type Response struct {
	Status  int
	Header  http.Header
	Length  int64 // of the body; -1 if unknown
	Framing Framing
	Body    io.Reader
	// Reused means that the connection has carried earlier requests, so that the answer may be a late copy of the answer
	// to one of them.
	Reused bool

	http        *http.Response
	conn        *conn
	pool        *Pool
	stopAbandon func() bool // detaches the connection from the request's context; false if the context has ended
}

var pastTime = time.Unix(1, 0)

// Do sends a request and waits for the head of the answer. If ctx ends before Finish is called, the exchange fails and
// its connection is not used again.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	maxIdle := time.Hour
	if r.AtMostOnce {
		maxIdle = atMostOnceMaxIdle
	}
	if r.NewConnection {
		maxIdle = 0
	}
	c, err := p.get(ctx, addr, maxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		_ = c.Close()
		return nil, &Error{Err: ErrMayNotSend}
	}
	stop := context.AfterFunc(ctx, c.abandon)
	resp, err := p.roundTrip(c, r)
	if err == nil {
		resp.stopAbandon = stop
		return resp, nil
	}
	stop()
	_ = c.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return nil, &Error{Sent: c.sent.n > 0, Err: err}
}

// roundTrip sends a request on a connection and reads the head of the answer.
func (p *Pool) roundTrip(c *conn, r *Request) (*Response, error) {
	c.sent.n = 0
	if err := writeRequest(c, r); err != nil {
		// A target may answer before it has read the whole body. That answer is valid, but the connection cannot be
		// reused.
		if c.sent.n == 0 {
			return nil, err
		}
		_ = c.SetReadDeadline(time.Now().Add(DialTimeout))
		resp, readErr := p.readResponse(c, r.Method)
		if readErr != nil {
			return nil, err
		}
		resp.http.Close = true
		if resp.Framing == FramingConnection {
			resp.Body = &unconfirmedBody{from: resp.Body, writeErr: err}
		}
		return resp, nil
	}
	return p.readResponse(c, r.Method)
}

// unconfirmedBody is the body of an answer that ends with its connection, on a connection to which a write has failed. The
// kernel reports the failure of a connection once, so that after the write the failed connection reads as if it had been
// closed in order. Its end therefore does not show that the body is complete.
type unconfirmedBody struct {
	from     io.Reader
	writeErr error
}

func (b *unconfirmedBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("connection failed while the request was being sent: %w", b.writeErr)
	}
	return n, err
}

// readResponse reads the head of the final answer and skips informational (1xx) ones. All these heads together may have
// maxHeadBytes.
func (p *Pool) readResponse(c *conn, method string) (*Response, error) {
	c.received.beginHead(maxHeadBytes)
	defer c.received.endHead()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := checkHead(resp); err != nil {
			return nil, err
		}
		if httphead.IsInformational(resp.StatusCode) {
			continue
		}
		framing := framingOf(resp, method)
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: bodyOf(resp, framing, c),
			Framing: framing, Reused: c.carried, http: resp, conn: c, pool: p}, nil
	}
}

var errSpaceInName = errors.New("name of a header has a space")

// checkHead returns an error for a head that net/http accepts although it is none of an answer, or does not say where its answer
// ends.
func checkHead(r *http.Response) error {
	if !httphead.IsInformational(r.StatusCode) {
		if err := httphead.CheckFinal(r.StatusCode); err != nil {
			return err
		}
	}
	for name := range r.Header {
		if strings.ContainsAny(name, " \t") { // such as "Content-Length : 4", which net/http doesn't take for the length
			return errSpaceInName
		}
	}
	return nil
}

// bodyOf returns the body of an answer whose head was read from the connection.
func bodyOf(r *http.Response, f Framing, c *conn) io.Reader {
	if f == FramingChunked {
		return &chunkReader{from: c.reader}
	}
	return r.Body
}

// framingOf returns the framing of the answer to a request with the method.
func framingOf(r *http.Response, method string) Framing {
	switch {
	case method == http.MethodHead, r.StatusCode == http.StatusNoContent, r.StatusCode == http.StatusNotModified:
		return FramingNone
	case r.ContentLength >= 0:
		return FramingLength
	case slices.Contains(r.TransferEncoding, "chunked"):
		return FramingChunked
	}
	return FramingConnection
}

// writeRequest writes a request to the connection.
func writeRequest(c *conn, r *Request) error {
	w := c.writer
	w.Reset(c.sent)
	_, _ = w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush()
}

// Finish returns the connection to the pool if the body was read completely and no bytes follow it, and closes it
// otherwise. whole states that the caller has read the body to its end and accepts the answer as that of its request.
func (r *Response) Finish(whole bool) {
	if !r.stopAbandon() || !whole || r.http.Close || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.idleLimit = maxIdleTime(r.Header)
	if r.conn.idleLimit <= 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.carried = true
	r.pool.putIdle(r.conn)
}

const (
	// maxDiscardedBytes and discardTimeout bound the body of an unwanted answer that is read so that its connection can be
	// reused.
	maxDiscardedBytes = 4 << 10
	discardTimeout    = 100 * time.Millisecond
)

// Discard finishes an answer whose body is not wanted. It keeps the connection only if the body is short.
func (r *Response) Discard() {
	_ = r.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardedBytes))
	r.Finish(err == nil && n < maxDiscardedBytes)
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header, which is in whole seconds.
func keepAliveTimeout(h string) (time.Duration, bool) {
	for _, part := range strings.Split(h, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
