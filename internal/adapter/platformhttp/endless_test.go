package platformhttp

import (
	"context"
	"testing"

	"github.com/camphorbank/camphorbank/test/standin/endless"
)

// clientCalls are calls of the platform, by name.
var clientCalls = map[string]func(ctx context.Context, addr string) error{
	"list": func(ctx context.Context, addr string) error {
		_, err := (&VMList{URL: "http://" + addr, HTTP: NewClient()}).List(ctx)
		return err
	},
	"document": func(ctx context.Context, addr string) error {
		_, err := (&ConfigSource{URL: "http://" + addr, HTTP: NewClient()}).Read(ctx)
		return err
	},
	"watch": func(ctx context.Context, addr string) error {
		_, err := (&ConfigSource{URL: "http://" + addr, HTTP: NewClient()}).Watch(ctx, 1)
		return err
	},
}

// TestEndlessAnswer guards against a platform that sends bytes without end in any part of an answer. A process that keeps
// them uses up the memory of its VM.
func TestEndlessAnswer(t *testing.T) {
	for name, call := range clientCalls {
		t.Run(name, func(t *testing.T) { endless.Check(t, maxVMListBytes, call) })
	}
}
