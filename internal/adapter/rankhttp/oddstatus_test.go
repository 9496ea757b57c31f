package rankhttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against a reply whose status is none that counts as the success of a command, or as a state.
func TestOddStatus(t *testing.T) {
	for name, call := range map[string]func(context.Context, *Client) error{
		"state": func(ctx context.Context, c *Client) error { _, err := c.State(ctx); return err },
		"stage": func(ctx context.Context, c *Client) error { return c.Stage(ctx, 1, port.ExpertMap{}) },
		"fence": func(ctx context.Context, c *Client) error { return c.Fence(ctx, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			oddstatus.Check(t, "{}", func(ctx context.Context, addr string) error { return call(ctx, New("http://"+addr)) })
		})
	}
}
