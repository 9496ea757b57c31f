package rankhttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// clientCalls are calls of the client, by name.
var clientCalls = map[string]func(context.Context, *Client) error{
	"state":      func(ctx context.Context, c *Client) error { _, err := c.State(ctx); return err },
	"map":        func(ctx context.Context, c *Client) error { _, err := c.Map(ctx); return err },
	"popularity": func(ctx context.Context, c *Client) error { _, err := c.Popularity(ctx); return err },
	"stage":      func(ctx context.Context, c *Client) error { return c.Stage(ctx, 1, port.ExpertMap{}) },
	"fence":      func(ctx context.Context, c *Client) error { return c.Fence(ctx, 1) },
}

// TestEndlessReply guards against an engine that sends bytes without end in any part of a reply. A process that keeps them
// uses up the memory of its VM.
func TestEndlessReply(t *testing.T) {
	for name, call := range clientCalls {
		t.Run(name, func(t *testing.T) {
			endless.Check(t, smallReplyBytes, func(ctx context.Context, addr string) error { return call(ctx, New("http://"+addr)) })
		})
	}
}

// smallReplyBytes is more than any of these replies needs before its decoding fails.
const smallReplyBytes = 1 << 20
