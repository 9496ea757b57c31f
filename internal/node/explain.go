package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// methodExplain asks an entry for its record of a request.
const methodExplain = "entry.explain"

type explainRequest struct {
	ID string `json:"id"`
}

// explainOwn returns this entry's record of a request.
func (e *entry) explainOwn(_ context.Context, in explainRequest) (wire.Explained, error) {
	record, found := e.records.Find(in.ID)
	encoded, err := json.Marshal(record)
	return wire.Explained{Found: found, Record: encoded}, err
}

// serveExplain answers an operator from the records of all entries, this one included.
func (e *entry) serveExplain(w http.ResponseWriter, r *http.Request) {
	in := explainRequest{r.PathValue("id")}
	own := e.settings.Listen.Control
	entries := []wire.VM{{Name: e.settings.Name, Control: own, Role: wire.RoleEntry}}
	for _, other := range e.fleet.Entries() {
		entries = append(entries, wire.VM{Name: other.Name, Control: other.Control, Role: wire.RoleEntry})
	}
	out := status.Explain(r.Context(), entries, func(ctx context.Context, addr string) (found wire.Explained, err error) {
		if addr == own {
			return e.explainOwn(ctx, in)
		}
		err = e.peers.Call(ctx, addr, methodExplain, in, &found)
		return found, err
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // the reader left
}
