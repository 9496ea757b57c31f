package rankhttp

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/jsonsize"
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

// TestManyEmptyElements guards against a reply within its limit that takes many times its size when it is decoded, and against the
// refusal of a large sound one.
func TestManyEmptyElements(t *testing.T) {
	const ranks, layers = 128, 1024
	layer := "[" + strings.Repeat("[100,101,102],", ranks-1) + "[100,101,102]]"
	sound := `{"slots":[` + strings.Repeat(layer+",", layers-1) + layer + "]}"
	empty := `{"tokens":[` + strings.Repeat("[],", maxReplyBytes/4) + "[]]}"
	for _, c := range []struct {
		path, reply string
		call        func(context.Context, *Client) error
		want        error
	}{
		{PathMap, sound, clientCalls["map"], nil},
		{PathPopularity, empty, clientCalls["popularity"], jsonsize.ErrTooLarge},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, c.reply) }))
		if err := c.call(t.Context(), New(s.URL)); !errors.Is(err, c.want) {
			t.Errorf("%s, %d bytes: %v, want %v", c.path, len(c.reply), err, c.want)
		}
		s.Close()
	}
}
