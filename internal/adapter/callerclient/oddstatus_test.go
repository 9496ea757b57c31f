package callerclient

import (
	"context"
	"net/http"
	"net/url"
	"testing"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against an answer of an entry whose status is none that counts as one, whatever client sends the requests.
func TestOddStatus(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		call func(context.Context, *client.Client) error
	}{
		"call": {`{"outcome":"completed","request_id":"r","status":200,"body":"x","target":"t","repeated":false}`,
			func(ctx context.Context, c *client.Client) error {
				_, err := c.Call()(ctx, &api.CallPayload{Service: "s", Operation: "o"})
				return err
			}},
		"draft": {`{"outcome":"completed","request_id":"r","text":"x","tokens":1,"text_hash":"h","target":"t"}`,
			func(ctx context.Context, c *client.Client) error {
				_, err := c.Draft()(ctx, &api.DraftPayload{Model: "m", Prompt: "p", MaxTokens: 1})
				return err
			}},
		"stream": {"data: {\"kind\":\"end\"}\n\n", func(ctx context.Context, c *client.Client) error {
			_, err := c.DraftStream()(ctx, &api.DraftStreamPayload{Model: "m", Prompt: "p", MaxTokens: 1})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			oddstatus.Check(t, c.body, func(ctx context.Context, addr string) error {
				return c.call(ctx, New(&url.URL{Scheme: "http", Host: addr}, &http.Client{}))
			})
		})
	}
}
