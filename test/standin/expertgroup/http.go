package expertgroup

import (
	"encoding/json"
	"errors"
	"net/http"
)

// orderStatus are the status codes of the answers to orders.
var orderStatus = map[error]int{nil: http.StatusOK, ErrConflict: http.StatusConflict, ErrFenced: http.StatusPreconditionFailed}

// ServeHTTP serves the interface of the users' engines.
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
		write(w, r.report())
	case "/-/picked":
		if req.URL.Query().Has("lists") {
			write(w, map[string]any{"map": map[string]any{"version": r.Status().Map, "experts": r.Experts()}})
			return
		}
		step, epoch, counts := r.Counts()
		write(w, map[string]any{"step": step, "epoch": epoch, "counts": counts})
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
	for refusal, status := range orderStatus {
		if errors.Is(err, refusal) {
			w.WriteHeader(status)
			return
		}
	}
	panic(http.ErrAbortHandler) // the order stays unanswered
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that left needs no answer
}
