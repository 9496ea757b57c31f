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
	s := d.resources.NewPeerServer()
	s.Handle(wire.MethodStatus, peer.TypedHandler(func(context.Context, struct{}) (status.Process, error) { return d.status(), nil }))
	s.Handle(wire.MethodConfigHead, peer.TypedHandler(d.sync.OnHead))
	s.Handle(wire.MethodConfigFetch, peer.TypedHandler(d.sync.OnFetch))
	s.Handle(wire.MethodHello, peer.TypedHandler(func(_ context.Context, h wire.Hello) (wire.Hello, error) {
		d.view.Heard(h)
		return d.hello(), nil
	}))
	if d.local != nil {
		s.Handle(wire.MethodRevoke, peer.TypedHandler(func(_ context.Context, r wire.Revoke) (wire.RevokeReply, error) {
			if r.Incarnation != d.incarnation {
				return wire.RevokeReply{Incarnation: d.incarnation}, nil
			}
			return wire.RevokeReply{NotRun: d.local.Table().Revoke(r), Incarnation: d.incarnation}, nil
		}))
	}
	if d.group != nil {
		d.group.registerHandlers(s)
	}
	if d.rollout != nil {
		s.Handle(wire.MethodModelVersion, peer.TypedHandler(func(context.Context, struct{}) (wire.ModelVersion, error) {
			return d.rollout.Version(), nil
		}))
	}
	if d.serviceRecorder != nil {
		s.Handle(wire.MethodReport, peer.TypedHandler(func(_ context.Context, q wire.Report) (report.Report, error) {
			return d.serviceRecorder.Report(q.Window), nil
		}))
	}
	if d.decisions != nil {
		s.Handle(wire.MethodExplain, peer.TypedHandler(d.explain))
	}
	return s
}
