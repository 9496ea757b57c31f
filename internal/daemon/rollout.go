package daemon

import (
	"context"

	"github.com/camphorbank/camphorbank/internal/adapter/enginehttp"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rollout"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// newRollout returns the reconciler that brings a model target to the configured model version. It returns nil for a
// rank of a group: all ranks must change their version in the same step, so the whole group is restarted instead.
func (d *daemon) newRollout(engine *enginehttp.Client) *rollout.Reconciler {
	t := d.settings.Target
	if t.Group != "" {
		return nil
	}
	return rollout.New(rollout.Options{
		Self: d.settings.Name, Model: t.Serves, Config: d.config, Engine: engine, Service: d.local, Clock: port.SystemClock{},
		Targets: func() []wire.VM { return d.view.Targets(wire.KindDraft, t.Serves) },
		Ask: func(ctx context.Context, addr string) (wire.ModelVersion, error) {
			return peerQuery[wire.ModelVersion](d, wire.MethodModelVersion, struct{}{})(ctx, addr)
		},
	})
}
