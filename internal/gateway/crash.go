package gateway

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
	if x.prompt == nil || r.events >= begunEvents || !r.ending.connectionLost() {
		return false
	}
	t := x.lease.Target
	if r.ending != BrokenCrash && !x.g.Pool.Refused(x.ctx, t.Addr) {
		return false
	}
	x.prompt.Crashed(t.Incarnation())
	x.record.Parts = x.call.PromptParts
	return true
}
