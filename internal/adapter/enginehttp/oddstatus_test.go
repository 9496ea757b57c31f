package enginehttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against an answer of an engine whose status is none that counts as a whole text, a load or a success.
func TestOddStatus(t *testing.T) {
	const text = "data: {\"text\":\"a\",\"tokens\":1}\n\ndata: {\"done\":true}\n\n"
	for name, c := range map[string]struct {
		body string
		call func(context.Context, *Client) error
	}{
		"generate": {text, func(ctx context.Context, c *Client) error {
			return c.Generate(ctx, port.EngineRequest{ID: "r", MaxTokens: 9}, func(port.Chunk) error { return nil })
		}},
		"load":         {"{}", func(ctx context.Context, c *Client) error { _, err := c.Load(ctx); return err }},
		"loaded":       {"{}", func(ctx context.Context, c *Client) error { _, err := c.Loaded(ctx); return err }},
		"load version": {"{}", func(ctx context.Context, c *Client) error { return c.LoadVersion(ctx, 1, "v") }},
	} {
		t.Run(name, func(t *testing.T) {
			oddstatus.Check(t, c.body, func(ctx context.Context, addr string) error { return c.call(ctx, New("http://"+addr)) })
		})
	}
}
