package configsim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// ServiceCallsPerSecond is the rate limit of the configuration service, shared by all readers.
const ServiceCallsPerSecond = 2000

var (
	errUnreachable = errors.New("configsim: peer or service is unreachable")
	errRateLimit   = errors.New("configsim: rate limit of the configuration service exceeded")
)

// Service is a simulated configuration service that holds one document.
type Service struct {
	Up       bool
	Revision int64
	Body     []byte
	Calls    int // all reads, the refused ones included
	Refused  int // reads refused by the rate limit

	sim           *Sim
	windowStart   time.Time
	callsInWindow int
}

func (s *Service) read() (port.Document, error) {
	if now := s.sim.now; now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.callsInWindow = now, 0
	}
	s.Calls++
	if s.callsInWindow++; s.callsInWindow > ServiceCallsPerSecond {
		s.Refused++
		return port.Document{}, errRateLimit
	}
	if !s.Up || s.Body == nil {
		return port.Document{}, errUnreachable
	}
	return port.Document{Revision: s.Revision, Body: s.Body}, nil
}

// serviceReader is the configsync.Source of one node.
type serviceReader struct {
	service *Service
	node    *Node
}

func (r *serviceReader) Read(context.Context) (port.Document, error) {
	if r.node.ServiceUnreachable {
		return port.Document{}, errUnreachable
	}
	return r.service.read()
}

// Watch always fails. The simulation calls ReadService of the watchers itself when a document is published.
func (r *serviceReader) Watch(context.Context, int64) (port.Document, error) {
	return port.Document{}, errUnreachable
}

// peerList lists all processes. All nodes share one list, which therefore includes the node that asks: a separate list
// for each of 1,560 processes would take hundreds of megabytes.
type peerList struct{ sim *Sim }

func (f peerList) Peers() []wire.VM { return f.sim.vms }
func (f peerList) Heard(wire.Hello) {}

// controlCaller delivers the control messages of one node to its peers without delay.
type controlCaller struct {
	sim  *Sim
	node *Node
}

func (c *controlCaller) Call(ctx context.Context, addr, method string, in, out any) error {
	peer := c.sim.byAddr[addr]
	if peer == nil || peer == c.node || !peer.Up || peer.Partition != c.node.Partition {
		return errUnreachable
	}
	result, err := handleCall(ctx, peer, method, in)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(result)
	if err != nil {
		return err
	}
	request, err := json.Marshal(in)
	if err != nil {
		return err
	}
	c.node.ControlBytes += len(raw) + len(request)
	peer.ControlBytes += len(raw) + len(request)
	if method == wire.MethodConfigHead {
		c.sim.scheduleFollowUps(peer)
	}
	return json.Unmarshal(raw, out)
}

func handleCall(ctx context.Context, peer *Node, method string, in any) (any, error) {
	switch method {
	case wire.MethodConfigHead:
		return peer.Syncer.OnHead(ctx, in.(wire.ConfigHead))
	case wire.MethodConfigFetch:
		return peer.Syncer.OnFetch(ctx, in.(wire.ConfigFetch))
	default:
		return nil, errUnreachable
	}
}
