package platformhttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/oddstatus"
)

// TestOddStatus guards against an answer of the platform whose status is none that counts as an empty list or a document.
func TestOddStatus(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, addr string) error{
		"list": func(ctx context.Context, addr string) error {
			_, err := (&VMList{URL: "http://" + addr, HTTP: NewClient()}).List(ctx)
			return err
		},
		"watch": func(ctx context.Context, addr string) error {
			_, err := (&ConfigSource{URL: "http://" + addr, HTTP: NewClient()}).Watch(ctx, 1)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { oddstatus.Check(t, "[]", call) })
	}
}
