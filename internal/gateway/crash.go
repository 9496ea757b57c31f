package gateway

import (
	"context"
	"time"

	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

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

// proofPoll is the time after which a request that waits for its parts to be proven looks again.
const proofPoll = 20 * time.Millisecond

// awaitProof waits until the request may be sent although no answer with one of its parts has begun since the targets
// opened, or one has. It reports whether another attempt follows; if not, the caller has its final answer or has left.
func (x *exchange) awaitProof() bool {
	if x.proofEnd.IsZero() {
		x.proofEnd = x.record.Started.Add(x.maxWait())
		if least := time.Now().Add(quarantine.ProofWait); least.After(x.proofEnd) {
			x.proofEnd = least
		}
	}
	tick := time.NewTicker(proofPoll)
	defer tick.Stop()
	for {
		part := x.prompt.Unproven()
		switch {
		case part == "":
			return true
		case !time.Now().Before(x.proofEnd):
			x.record.Part = part
			x.giveUp(ReasonUnproven, x.refusedRetryAfter())
			return false
		}
		select {
		case <-tick.C:
		case <-x.ctx.Done():
			x.endOnContext()
			return false
		}
	}
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
		go x.g.recordLateCrash(x.prompt, x.lease.Target)
		return false
	}
	x.prompt.Crashed(x.lease.Target.Incarnation())
	x.record.Parts = x.call.PromptParts
	return true
}

// targetCrashed reports whether the process of the present attempt's target has ended.
func (x *exchange) targetCrashed() bool {
	return x.g.hasCrashed(context.WithoutCancel(x.ctx), x.lease.Target)
}

// hasCrashed reports whether the process of a target has ended. One that is leaving may have stopped as planned.
func (g *Gateway) hasCrashed(ctx context.Context, t *targetset.Target) bool {
	return !g.Targets.IsLeaving(t.Incarnation()) && g.Pool.Refused(ctx, t.Addr)
}

// lateCrashDelay is the time after which a target that has lost a request and accepts connections is looked at again. A
// process that ends may close its listener after the connections of its requests.
const lateCrashDelay = 200 * time.Millisecond

// recordLateCrash records a crash for the parts of the prompt if the target refuses connections after lateCrashDelay.
func (g *Gateway) recordLateCrash(p *quarantine.Prompt, t *targetset.Target) {
	time.Sleep(lateCrashDelay)
	if g.hasCrashed(context.Background(), t) {
		p.Crashed(t.Incarnation())
	}
}
