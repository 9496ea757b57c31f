// Package enginehttp is the local process's client of a model engine. It generates text through the engine's HTTP
// completion interface with server-sent events, reads the load report, and loads model versions and adapters.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/httpclient"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// maxEventBytes bounds one server-sent event of the engine, and each of its reports.
	maxEventBytes = 1 << 20
	// maxTextBytes bounds the text of one response.
	maxTextBytes = wire.MaxAnswerBytes
	// dialTimeout bounds connecting to the engine, which runs on the same VM.
	dialTimeout = time.Second
	// cancelTimeout bounds the request that cancels a stream. The stream's connection is closed as well, so that a lost
	// cancel request is harmless.
	cancelTimeout = time.Second
	// maxResumes limits how often the stream of one request is resumed.
	maxResumes = 3
	// resumeBackoff is the wait before the first resume. The wait grows by the same time with each further resume.
	resumeBackoff = 50 * time.Millisecond

	defaultFirstTokenTimeout = 30 * time.Second
	defaultStallTimeout      = 5 * time.Second
)

// Client implements port.Engine and port.ModelEngine.
type Client struct {
	// FirstTokenTimeout is the longest wait for the first token of each connection, which a long prompt delays.
	// Default 30 s.
	FirstTokenTimeout time.Duration
	// StallTimeout is the longest wait between two tokens. After it the stream is resumed on a new connection. Default
	// 5 s, which is far above the inter-token latency of 57 ms and above the pause of a map switch.
	StallTimeout time.Duration

	base string
	http *http.Client
}

// New returns a client of the engine at the base URL.
func New(base string) *Client {
	return &Client{
		FirstTokenTimeout: defaultFirstTokenTimeout, StallTimeout: defaultStallTimeout, base: strings.TrimRight(base, "/"),
		http: &http.Client{
			Transport:     httpclient.NewSingleUseTransport(dialTimeout),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Generate streams the response to emit. If the stream breaks or stalls after the first token, Generate resumes it
// after the last token received. It cancels the request at the engine when ctx ends, emit fails or the stream is not
// resumed.
func (c *Client) Generate(ctx context.Context, r port.EngineRequest, emit func(port.Chunk) error) error {
	var soFar received
	for resumes := 0; ; resumes++ {
		err := c.stream(ctx, r, &soFar, emit)
		if err == nil {
			return nil
		}
		var streamBroken *brokenError
		if errors.As(err, &streamBroken) && soFar.tokens > 0 && resumes < maxResumes && sleep(ctx, time.Duration(resumes+1)*resumeBackoff) {
			continue
		}
		var notSent *port.NotSentError
		if errors.As(err, &notSent) {
			return hideNotSent(resumes, err)
		}
		c.cancel(r.ID)
		return err
	}
}

// hideNotSent returns an error that does not wrap the *port.NotSentError err if it comes from a resume, since the
// request itself was sent on an earlier connection.
func hideNotSent(resumes int, err error) error {
	if resumes == 0 {
		return err
	}
	return fmt.Errorf("resume: %s", err)
}

// sleep waits for the duration and reports whether it passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Client) post(ctx context.Context, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, &port.NotSentError{Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(raw))
	if err != nil {
		return nil, &port.NotSentError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	return res, port.MarkNotSent(err)
}

// cancel asks the engine to stop a request. It ignores errors.
func (c *Client) cancel(id string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/completions/"+url.PathEscape(id), nil)
	if err != nil {
		return
	}
	if res, err := c.http.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// Load reads the engine's load report, which lags behind the engine's actual load.
func (c *Client) Load(ctx context.Context) (port.EngineLoad, error) {
	var load port.EngineLoad
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/load", nil)
	if err != nil {
		return load, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return load, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return load, fmt.Errorf("load report: %s", res.Status)
	}
	return load, json.NewDecoder(io.LimitReader(res.Body, maxEventBytes)).Decode(&load)
}
