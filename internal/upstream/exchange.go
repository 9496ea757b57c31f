package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request to a target. It is sent as it stands.
type Request struct {
	Method string
	URI    string // path and query, with the escapes of the caller
	Host   string
	Header http.Header // without headers of one connection, Host and Content-Length
	Body   []byte
	// AtMostOnce restricts the request to connections that the target has just used or that are new.
	AtMostOnce bool
}

// Error is a failed exchange.
type Error struct {
	// Sent says that bytes of the request left, so that the target may have run it.
	Sent bool
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent says whether an exchange failed before any byte of the request left.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Response is the answer of a target. Close or Finish must be called.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1 if unknown
	Body   io.Reader

	http *http.Response
	conn *conn
	pool *Pool
	stop func() bool
}

var longAgo = time.Unix(1, 0)

// Do sends a request and waits for the head of the answer. The end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	maxIdle := time.Hour
	if r.AtMostOnce {
		maxIdle = freshIdle
	}
	c, err := p.take(ctx, addr, maxIdle)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, c.abandon)
	resp, err := p.exchange(c, r)
	if err == nil {
		resp.stop = stop
		return resp, nil
	}
	stop()
	_ = c.Close()
	if cause := context.Cause(ctx); cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	return nil, &Error{Sent: c.sent.n > 0, Err: err}
}

func (p *Pool) exchange(c *conn, r *Request) (*Response, error) {
	c.sent.n = 0
	if err := writeRequest(c, r); err != nil {
		// A target may answer before it has read the whole body. That answer stands, but the connection ends with it.
		if c.sent.n == 0 {
			return nil, err
		}
		_ = c.SetReadDeadline(time.Now().Add(DialTimeout))
		resp, readErr := p.read(c, r.Method)
		if readErr != nil {
			return nil, err
		}
		resp.http.Close = true
		return resp, nil
	}
	return p.read(c, r.Method)
}

func (p *Pool) read(c *conn, method string) (*Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: resp.Body,
				http: resp, conn: c, pool: p}, nil
		}
	}
}

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

// Finish returns the connection to the pool if the body was read completely and nothing follows it, and closes it
// otherwise. whole says that the caller has read the body to its end and accepts the answer as its own.
func (r *Response) Finish(whole bool) {
	if !r.stop() || !whole || r.http.Close || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.conn.idleFor = idleTime(r.Header)
	if r.conn.idleFor <= 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn)
}

// keepAliveTimeout reads the timeout parameter, in whole seconds, of a Keep-Alive header.
func keepAliveTimeout(h string) (time.Duration, bool) {
	for _, part := range strings.Split(h, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") && n >= 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}
