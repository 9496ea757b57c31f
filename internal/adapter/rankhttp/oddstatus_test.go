package rankhttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against a reply whose status is none that counts as the success of a command, or as a state.
func TestOddStatus(t *testing.T) {
	for name, call := range clientCalls {
		t.Run(name, func(t *testing.T) {
			oddstatus.Check(t, "{}", func(ctx context.Context, addr string) error { return call(ctx, New("http://"+addr)) })
		})
	}
}
