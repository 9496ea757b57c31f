package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"

	"github.com/camphorbank/camphorbank/internal/adapter/caller"
	"github.com/camphorbank/camphorbank/internal/adapter/localhttp"
	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/ticket"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// decisionRecords is the number of the latest decision records that an entry keeps. They take about 1 MB.
const decisionRecords = 1024

// entryHandler creates the parts of the entry role and returns the handler for callers.
func (d *daemon) entryHandler() http.Handler {
	d.decisions = decision.NewRing(decisionRecords)
	d.serviceRecorder = report.NewRecorder(port.SystemClock{})
	d.entry = entry.New(entry.Options{
		DataCentre: d.settings.DataCentre, Seed: rand.Uint64(),
		Fleet: d.view, Sender: localhttp.New(d.tls.peerClient), Control: controlClient{&d.peerPool},
		Tickets: ticket.NewSealer([]byte(d.settings.TicketKey)), Clock: port.SystemClock{},
		Refusals: outcome.NewCounters("refusals"), Retries: outcome.NewCounters("retries"), Decisions: d.decisions,
		Service:   d.serviceRecorder,
		Responded: d.view.Responded,
	})
	svc := &caller.Service{Entry: d.entry, Config: d.config, Clock: port.SystemClock{}, Memory: d.resources.Requests}
	return svc.Handler()
}

// handleExplain registers the handler that serves decision records to operators.
func (d *daemon) handleExplain(mux *http.ServeMux) {
	mux.HandleFunc("GET /explain/{request_id}", func(w http.ResponseWriter, r *http.Request) {
		rec, ok := d.decisions.Find(r.PathValue("request_id"))
		if !ok {
			http.Error(w, "no record of this request at this process", http.StatusNotFound)
			return
		}
		writeJSON(w, rec)
	})
}

// explain serves decision records to peers.
func (d *daemon) explain(_ context.Context, q wire.Explain) (wire.ExplainReply, error) {
	rec, ok := d.decisions.Find(q.RequestID)
	if !ok {
		return wire.ExplainReply{}, nil
	}
	raw, err := json.Marshal(rec)
	return wire.ExplainReply{Found: true, Record: raw}, err
}

// controlClient sends an entry's messages to local processes over the control protocol.
type controlClient struct{ peers *peer.Pool }

// Revoke tells the local process at the control address never to run an attempt.
func (c controlClient) Revoke(ctx context.Context, addr string, r wire.Revoke) (wire.RevokeReply, error) {
	var out wire.RevokeReply
	err := c.peers.Call(ctx, addr, wire.MethodRevoke, r, &out)
	return out, err
}

// Incarnation asks the process at the control address for its incarnation.
func (c controlClient) Incarnation(ctx context.Context, addr string) (string, error) {
	var out struct {
		Incarnation string `json:"incarnation"`
	}
	err := c.peers.Call(ctx, addr, wire.MethodStatus, struct{}{}, &out)
	return out.Incarnation, err
}
