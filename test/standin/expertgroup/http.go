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
	if req.URL.Path == ReportPath {
		r.ServeReport(w, req, r.Status)
		return
	}
	if r.Wait(req.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	switch req.URL.Path {
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

// ReportPath is the path of the report of a rank.
const ReportPath = "/-/report"

// ServeReport answers a call for the report of the rank with the state that state returns, which may be an old one.
func (r *Rank) ServeReport(w http.ResponseWriter, req *http.Request, state func() Status) {
	if r.Wait(req.Context()) != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, r.report(state()))
}

func (r *Rank) report(s Status) map[string]any {
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
