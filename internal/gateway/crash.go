package gateway

import "context"

// begunEvents is the number of events after which the answer of an engine has begun for certain. An engine that crashes
// under a prompt may still send the first one.
const begunEvents = 2

// refuseQuarantined refuses the request if a part of its prompt is quarantined or held off, and reports whether it did.
func (x *exchange) refuseQuarantined() bool {
	part, left := x.prompt.Blocked()
	if part == "" {
		return false
	}
	x.record.Part = part
	x.giveUp(ReasonQuarantined, left)
	return true
}

// recordCrash reports whether the target of an attempt has crashed before its answer had begun. If so, it records the
// crash for the parts of the prompt.
func (x *exchange) recordCrash(r result) bool {
	if r.ending != "" && !r.ending.Complete() {
		x.prompt.Lost()
	}
	if x.prompt == nil || x.prompt.HasBegun() || !r.ending.connectionLost() {
		return false
	}
	if r.ending != BrokenCrash && !x.targetCrashed() {
		return false
	}
	x.prompt.Crashed(x.lease.Target.Incarnation())
	x.record.Parts = x.call.PromptParts
	return true
}

// targetCrashed reports whether the process of the present attempt's target has ended. One that is leaving may have
// stopped as planned.
func (x *exchange) targetCrashed() bool {
	t := x.lease.Target
	return !x.g.Targets.IsLeaving(t.Incarnation()) && x.g.Pool.Refused(context.WithoutCancel(x.ctx), t.Addr)
}
