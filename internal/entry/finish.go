package entry

import (
	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/outcome"
)

// finish counts, records and logs a request that was answered or refused.
func (e *Entry) finish(x *execution, ans *Answer, r *Refusal) {
	rec := decision.Record{
		RequestID: x.req.ID, Kind: string(x.req.Attempt.Kind), Serves: x.req.serves(),
		ClientAccount: x.req.Account.Name, Revision: x.req.Snapshot.Revision(), Preset: x.req.Snapshot.Preset().Name,
		Received: x.receivedAt, Duration: e.opt.Clock.Now().Sub(x.receivedAt),
		Outcome: outcome.Completed, Attempts: x.attempts,
	}
	if r != nil {
		rec.Outcome, rec.Reason, rec.Message = r.Outcome, r.Reason, r.Message
		e.opt.Refusals.Add(r.Reason)
	}
	e.opt.Decisions.Add(rec)
	x.observeEnd(&rec)
	target := ""
	if n := len(x.attempts); n > 0 {
		target = x.attempts[n-1].Target
	}
	line := log.WithFields(log.Fields{
		"request_id": rec.RequestID, "client_account": rec.ClientAccount, "kind": rec.Kind, "serves": rec.Serves,
		"outcome": rec.Outcome, "duration_ms": rec.Duration.Milliseconds(), "attempts": len(x.attempts),
		"target": target, "revision": rec.Revision, "preset": rec.Preset,
	})
	if r != nil {
		line = line.WithField("reason", r.Reason)
	}
	if ans != nil && ans.Status != 0 {
		line = line.WithField("status", ans.Status)
	}
	line.Info("request finished")
}

// Refuse counts and logs the refusal of a request that was malformed or not authenticated, and so didn't reach Do.
func (e *Entry) Refuse(r *Refusal) {
	e.opt.Refusals.Add(r.Reason)
	log.WithFields(log.Fields{
		"request_id": r.RequestID, "outcome": r.Outcome, "reason": r.Reason, "message": r.Message,
	}).Info("request refused")
}
