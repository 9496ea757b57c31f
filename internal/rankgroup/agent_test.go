package rankgroup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestReadOfSilentEngineEnds guards against readings that wait for an engine without a bound. They would use up the calls
// that a connection between two processes may have in progress, so that the process would count as silent after its engine
// has recovered, and a second coordinator would take the group over.
func TestReadOfSilentEngineEnds(t *testing.T) {
	for name, read := range map[string]func(context.Context, *Agent) error{
		"status": func(ctx context.Context, a *Agent) error {
			_, err := a.Read(ctx, ReadRequest{StatusOnly: true})
			return err
		},
		"counts":  func(ctx context.Context, a *Agent) error { _, err := a.Read(ctx, ReadRequest{}); return err },
		"experts": func(ctx context.Context, a *Agent) error { _, err := a.Experts(ctx); return err },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1, smallSize)
				f.g.Ranks[0].SetUnresponsive(true)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				start := time.Now()
				if err := read(ctx, f.agents[0]); err == nil || time.Since(start) > readTimeout {
					t.Errorf("error %v after %v, want an error after %v at most", err, time.Since(start), readTimeout)
				}
			})
		})
	}
}
