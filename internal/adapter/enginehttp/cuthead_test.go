package enginehttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/cuthead"
	"github.com/camphorbank/camphorbank/test/standin/latecopy"
)

// TestCutHeadIsNoResponse guards against a head that was cut off and counts as a response, so that events that follow the cut are
// taken for header lines and their text is missing; and against a command that counts as carried out after that.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, cl *Client) error{
		"command": func(ctx context.Context, cl *Client) error { return cl.LoadVersion(ctx, 1, "v2") },
		"text": func(ctx context.Context, cl *Client) error {
			_, err := cl.post(ctx, "/v1/completions", completionRequest{ID: "id", MaxTokens: 5, Stream: true})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			cuthead.Check(t, func(ctx context.Context, addr string) error { return call(ctx, New("http://"+addr)) })
		})
	}
}

// TestEventsAfterACutHead guards against text that is missing because an event after a cut head was taken for a header line.
func TestEventsAfterACutHead(t *testing.T) {
	whole := "data: {\"text\":\"a\",\"tokens\":1}\n\ndata: {\"text\":\"b\",\"tokens\":1}\n\ndata: {\"done\":true}\n\n"
	cl := New("http://" + latecopy.Start(t, "HTTP/1.1 200 OK\r\nConte"+whole))
	if text, err := generate(t, cl); err == nil {
		t.Errorf("text %q counts as whole", text)
	}
}
