package status

import (
	"context"
	"encoding/json"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Explanation is the decision record of a request. If no record was found, Unreachable lists the entries that may hold
// it.
type Explanation struct {
	Found       bool            `json:"found"`
	Entry       string          `json:"entry,omitempty"` // entry that served the request
	Record      decision.Record `json:"record"`
	Unreachable []Unreachable   `json:"unreachable"` // entries that did not answer
}

// Explain asks every entry of the list for its decision record of a request.
func Explain(ctx context.Context, vms []wire.VM, ask func(ctx context.Context, addr string) (wire.ExplainReply, error)) *Explanation {
	answers, unreachable := Ask(ctx, entryVMs(vms), ask)
	e := &Explanation{Unreachable: unreachable}
	for _, a := range answers {
		if !a.Value.Found {
			continue
		}
		if err := json.Unmarshal(a.Value.Record, &e.Record); err != nil {
			e.Unreachable = append(e.Unreachable, Unreachable{Name: a.Name, Error: err.Error()})
			continue
		}
		e.Found, e.Entry = true, a.Name
	}
	return e
}
