package daemon

import (
	"context"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// newPeerServer returns the server of the control protocol, with the methods that the role of the process answers.
func (d *daemon) newPeerServer() *peer.Server {
	s := peer.NewServer()
	s.Handle(wire.MethodStatus, peer.Typed(func(context.Context, struct{}) (status.Process, error) { return d.status(), nil }))
	s.Handle(wire.MethodConfigHead, peer.Typed(d.sync.OnHead))
	s.Handle(wire.MethodConfigFetch, peer.Typed(d.sync.OnFetch))
	s.Handle(wire.MethodHello, peer.Typed(func(_ context.Context, h wire.Hello) (wire.Hello, error) {
		d.view.Heard(h)
		return d.hello(), nil
	}))
	if d.local != nil {
		s.Handle(wire.MethodRevoke, peer.Typed(func(_ context.Context, r wire.Revoke) (wire.Revoked, error) {
			if r.Incarnation != d.incarnation {
				return wire.Revoked{Incarnation: d.incarnation}, nil
			}
			return wire.Revoked{NotRun: d.local.Table().Revoke(r), Incarnation: d.incarnation}, nil
		}))
	}
	if d.group != nil {
		d.group.registerHandlers(s)
	}
	if d.rollout != nil {
		s.Handle(wire.MethodModelVersion, peer.Typed(func(context.Context, struct{}) (wire.ModelVersion, error) {
			return d.rollout.Version(), nil
		}))
	}
	if d.serviceRecorder != nil {
		s.Handle(wire.MethodReport, peer.Typed(func(_ context.Context, q wire.Report) (report.Report, error) {
			return d.serviceRecorder.Report(q.Window), nil
		}))
	}
	if d.decisions != nil {
		s.Handle(wire.MethodExplain, peer.Typed(d.explain))
	}
	return s
}
