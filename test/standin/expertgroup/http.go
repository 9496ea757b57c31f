package expertgroup

import (
	"encoding/json"
	"errors"
	"net/http"
)

// orderStatusCodes maps the result of an order to the status code of its response.
var orderStatusCodes = map[error]int{nil: http.StatusOK, ErrConflict: http.StatusConflict, ErrFenced: http.StatusPreconditionFailed}

// ServeHTTP serves the HTTP interface of the users' engines for one rank.
func (r *Rank) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/-/order" {
		r.serveOrder(w, req)
		return
	}
	if r.Wait(req.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	switch req.URL.Path {
	case "/-/report":
		writeJSON(w, r.report())
	case "/-/picked":
		if req.URL.Query().Has("lists") {
			version, experts := r.MapAndExperts()
			writeJSON(w, map[string]any{"map": map[string]any{"version": version, "experts": experts}})
			return
		}
		step, epoch, counts := r.Counts()
		writeJSON(w, map[string]any{"step": step, "epoch": epoch, "counts": counts})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *Rank) report() map[string]any {
	s := r.Status()
	state := "broken"
	if s.Open {
		state = "open"
	}
	return map[string]any{
		"group": map[string]any{"name": "g", "epoch": s.Epoch, "rank": s.Index, "state": state}, "size": len(r.group.Ranks),
		"active": 1, "pace": 1.0, "born": 1, "step": s.Step, "map": s.Map, "prepared": s.Prepared, "armed": s.Armed, "held": s.Held,
		"sequence": s.Orders,
	}
}

func (r *Rank) serveOrder(w http.ResponseWriter, req *http.Request) {
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	err := r.Order(req.Context(), o)
	for refusal, status := range orderStatusCodes {
		if errors.Is(err, refusal) {
			w.WriteHeader(status)
			return
		}
	}
	panic(http.ErrAbortHandler) // closes the connection without a response
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has closed the connection
}
