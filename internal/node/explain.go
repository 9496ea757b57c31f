package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// methodExplain is the name of the RPC method that returns an entry's decision record of a request.
const methodExplain = "entry.explain"

// explainRequest is the argument of methodExplain.
type explainRequest struct {
	ID string `json:"id"`
}

// explainLocal returns this entry's own decision record of a request. It serves methodExplain.
func (e *entry) explainLocal(_ context.Context, in explainRequest) (wire.ExplainReply, error) {
	record, found := e.records.Find(in.ID)
	encoded, err := json.Marshal(record)
	return wire.ExplainReply{Found: found, Record: encoded}, err
}

// serveExplain answers an operator's question about a request with the records of all entries, this one included.
func (e *entry) serveExplain(w http.ResponseWriter, r *http.Request) {
	in := explainRequest{r.PathValue("id")}
	own := e.settings.Listen.Control
	entries := []wire.VM{{Name: e.settings.Name, Control: own, Role: wire.RoleEntry}}
	for _, other := range e.fleet.Entries() {
		entries = append(entries, wire.VM{Name: other.Name, Control: other.Control, Role: wire.RoleEntry})
	}
	out := status.Explain(r.Context(), entries, func(ctx context.Context, addr string) (found wire.ExplainReply, err error) {
		if addr == own {
			return e.explainLocal(ctx, in)
		}
		err = e.peers.Call(ctx, addr, methodExplain, in, &found)
		return found, err
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // a write fails only if the client has disconnected
}
