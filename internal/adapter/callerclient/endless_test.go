package callerclient

import (
	"context"
	"net/http"
	"net/url"
	"testing"
	"time"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/test/standin/endless"
)

const (
	// endlessTimeout bounds a call. One that ends only by it has no bound of its own.
	endlessTimeout = time.Minute
	// maxEndlessBytes is more than any answer needs.
	maxEndlessBytes = 64 << 20
)

// TestEndlessAnswer guards against a client that keeps an answer without end: one long value, or spaces before it.
func TestEndlessAnswer(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	for name, a := range map[string]endless.Answer{
		"text":    {Start: ok + `{"outcome":"completed","text":"`, Again: "a"},
		"spaces":  {Start: ok, Again: " "},
		"refusal": {Start: "HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\n\r\n" + `{"name":"`, Again: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := endless.Start(a)
			if err != nil {
				t.Fatal(err)
			}
			c := New(&url.URL{Scheme: "http", Host: s.Addr}, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
			ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
			defer cancel()
			_, err = c.Draft()(ctx, &api.DraftPayload{Model: "m", Prompt: "p", MaxTokens: 1})
			if sent := s.Close(); err == nil || ctx.Err() != nil || sent > 2*maxEndlessBytes {
				t.Errorf("error %v after %d bytes", err, sent)
			}
		})
	}
}
