package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// servingPeer answers requests for state as another entry does.
type servingPeer struct{ entry *Fleet }

func (p servingPeer) Call(ctx context.Context, _, _ string, in, out any) error {
	reply, err := p.entry.serveState(ctx, in.(StateRequest))
	*out.(*StateReply) = reply
	return err
}

// TestEvacuationReachesPeers guards against entries that do not read the platform and send requests to an evacuated data
// centre, or none after the evacuation has ended.
func TestEvacuationReachesPeers(t *testing.T) {
	reader := stateFleet(unreachable{})
	peer := stateFleet(servingPeer{reader})
	at := func(revision int64) targetset.Position { return targetset.Position{Revision: revision} }
	reader.opt.Tables.Offer(routetable.Config{Version: 1})
	reader.opt.Targets.Replace(at(3), []targetset.Target{{ID: "x", Service: "s", DataCentre: "a"}}, time.Now())
	exchange := func() (used int) {
		peer.handleHeartbeat(t.Context(), Heartbeat{From: Entry{Name: "reader", Control: "reader"}, Config: 1,
			List: reader.opt.Targets.Snapshot().Position, Members: peer.memberHash()})
		return len(peer.opt.Targets.Snapshot().ByService["s"])
	}
	if used := exchange(); used != 1 {
		t.Fatalf("%d targets in use before the evacuation", used)
	}
	reader.opt.Targets.Apply(at(4), nil, time.Now(), targetset.EvacuationChange{DataCentre: "a", Position: at(4)})
	if used := exchange(); used != 0 {
		t.Errorf("%d targets in use during the evacuation", used)
	}
	reader.opt.Targets.Apply(at(5), nil, time.Now(), targetset.EvacuationChange{DataCentre: "a", Position: at(5), Ended: true})
	if used := exchange(); used != 1 {
		t.Errorf("%d targets in use after the evacuation", used)
	}
}
