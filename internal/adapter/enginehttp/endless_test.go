package enginehttp

import (
	"context"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// endlessStall is the longest wait for a token in these tests.
const endlessStall = 300 * time.Millisecond

// TestEndlessResponse guards against an engine that sends bytes without end in any part of a response. A local process that keeps
// them uses up the memory of its VM.
func TestEndlessResponse(t *testing.T) {
	for name, call := range map[string]func(context.Context, *Client) error{
		"generate":     generateNothing,
		"load":         func(ctx context.Context, c *Client) error { _, err := c.Load(ctx); return err },
		"loaded":       func(ctx context.Context, c *Client) error { _, err := c.Loaded(ctx); return err },
		"load version": func(ctx context.Context, c *Client) error { return c.LoadVersion(ctx, 1, "v") },
	} {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, maxEventBytes, func(ctx context.Context, addr string) error { return call(ctx, New("http://"+addr)) })
		})
	}
}

// TestEndlessEvents guards against a stream of lines without end, each of which is sound, that is read until the deadline of its caller
// or kept.
func TestEndlessEvents(t *testing.T) {
	for name, again := range map[string]string{
		"comments":    ": a\n",
		"blank lines": "\n",
		"tokens":      "data: {\"text\":\"a\",\"tokens\":1}\n\n",
		"no tokens":   "data: {\"text\":\"\",\"tokens\":0}\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			s, err := endless.Start(endless.Answer{Start: "HTTP/1.1 200 OK\r\n\r\n", Again: again})
			if err != nil {
				t.Fatal(err)
			}
			c := New("http://" + s.Addr)
			c.FirstTokenTimeout, c.StallTimeout = endlessStall, endlessStall
			begun := time.Now()
			if err := generateNothing(t.Context(), c); err == nil {
				t.Error("the stream counts as whole")
			}
			if took := time.Since(begun); took > 10*endlessStall+cancelTimeout {
				t.Errorf("the stream ended after %v", took)
			}
			s.Close()
		})
	}
}

// generateNothing asks for a text of few tokens and drops it.
func generateNothing(ctx context.Context, c *Client) error {
	return c.Generate(ctx, port.EngineRequest{ID: "r", MaxTokens: 100}, func(port.Chunk) error { return nil })
}
