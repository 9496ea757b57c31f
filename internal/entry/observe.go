package entry

import (
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/report"
)

// class returns the class under which the request is reported.
func (r *Request) class() report.Class {
	switch {
	case !r.isDraft():
		return report.ClassCall
	case r.isShort():
		return report.ClassShort
	default:
		return report.ClassLong
	}
}

// observeText records the time since the previous text frame.
func (x *execution) observeText() {
	now := x.entry.opt.Clock.Now()
	if x.firstTextAt.IsZero() {
		x.firstTextAt = now
	} else {
		x.entry.opt.Service.RecordTokenGap(x.req.class(), now.Sub(x.lastTextAt))
	}
	x.lastTextAt = now
}

// observeEnd records the outcome, duration and time to first token of the request.
func (x *execution) observeEnd(rec *decision.Record) {
	o := report.Observation{
		Class: x.req.class(), Account: rec.ClientAccount, Outcome: rec.Outcome, Reason: rec.Reason,
		Attempts: len(rec.Attempts), Total: rec.Duration,
	}
	if !x.firstTextAt.IsZero() {
		o.FirstToken = x.firstTextAt.Sub(x.receivedAt)
	}
	x.entry.opt.Service.RecordRequest(o)
}
