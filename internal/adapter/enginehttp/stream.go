package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
)

type completionRequest struct {
	ID         string `json:"id"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from"` // tokens already received
	Stream     bool   `json:"stream"`
}

type completionEvent struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
	Done   bool   `json:"done"`
}

// brokenError means that a stream ended early and may continue after a resume.
type brokenError struct{ err error }

func (e *brokenError) Error() string { return "stream broken: " + e.err.Error() }
func (e *brokenError) Unwrap() error { return e.err }

var (
	errTokenTimeout  = errors.New("no token in time")
	errTooManyTokens = errors.New("engine sent more tokens than asked for")
	errTextTooLong   = errors.New("engine sent too much text")
	errNoTokenCount  = errors.New("engine sent text without tokens")
)

// received is what has arrived of a response, on all connections.
type received struct {
	tokens int
	bytes  int // of text
}

// stream sends the request on one connection, passes the tokens of the response to emit and adds them to soFar. The engine
// starts after the tokens already received.
func (c *Client) stream(ctx context.Context, r port.EngineRequest, soFar *received, emit func(port.Chunk) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(c.FirstTokenTimeout, func() { cancel(errTokenTimeout) })
	defer stallTimer.Stop()
	res, err := c.post(ctx, "/v1/completions", completionRequest{
		ID: r.ID, Model: r.Model, Adapter: r.Adapter, Prompt: r.Prompt, MaxTokens: r.MaxTokens,
		Priority: r.Priority, ResumeFrom: soFar.tokens, Stream: true,
	})
	if err != nil {
		return classifyStreamError(ctx, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &port.TargetError{Status: res.StatusCode, RetryAfter: port.RetryAfter(res.Header, time.Now())}
	}
	lines := bufio.NewScanner(res.Body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	lines.Split(scanWholeLines)
	for lines.Scan() {
		before := soFar.tokens
		done, err := readEvent(lines.Text(), r.MaxTokens, soFar, emit)
		if done || err != nil {
			return err
		}
		if soFar.tokens > before { // comments and blank lines are no sign that the engine works on the request
			stallTimer.Reset(c.StallTimeout)
		}
	}
	if err := lines.Err(); err != nil {
		return classifyStreamError(ctx, err)
	}
	return classifyStreamError(ctx, io.ErrUnexpectedEOF)
}

// scanWholeLines splits a stream into lines. Unlike bufio.ScanLines, it drops an unterminated last line, which is an
// incomplete event.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if !bytes.ContainsRune(data, '\n') {
		return 0, nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// classifyStreamError returns a *brokenError if a resume may succeed after the error. It may not if the ctx of the
// caller ended, an event is too large or the request was not sent.
func classifyStreamError(ctx context.Context, err error) error {
	if errors.Is(err, bufio.ErrTooLong) {
		return err
	}
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errTokenTimeout) {
		return cause
	}
	if errors.Is(context.Cause(ctx), errTokenTimeout) {
		err = errTokenTimeout
	}
	var notSent *port.NotSentError
	if errors.As(err, &notSent) {
		return err
	}
	return &brokenError{err}
}

// readEvent passes the tokens in one line of the stream to emit and reports whether the line ends the stream.
func readEvent(line string, maxTokens int, soFar *received, emit func(port.Chunk) error) (done bool, err error) {
	data, ok := strings.CutPrefix(line, "data:") // a space may follow, which JSON permits
	if !ok {
		return false, nil
	}
	var ev completionEvent
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		return false, fmt.Errorf("decode event from the engine: %w", err)
	}
	switch {
	case ev.Done:
		return true, nil
	case ev.Tokens <= 0:
		// Without a token count the stream could not be resumed after the right token.
		return false, errNoTokenCount
	case soFar.tokens+ev.Tokens > maxTokens:
		return false, errTooManyTokens
	case soFar.bytes+len(ev.Text) > maxTextBytes:
		return false, errTextTooLong
	}
	soFar.tokens += ev.Tokens
	soFar.bytes += len(ev.Text)
	return false, emit(port.Chunk{Text: ev.Text, Tokens: ev.Tokens})
}
