package balance

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/placement"
	"github.com/camphorbank/camphorbank/internal/promptcache"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// minPromptSaving is the shortest predicted saving by a kept prefix that influences the choice of a target. Shorter ones
// are lost in the differences between targets that the score only estimates, such as that of their distance.
const minPromptSaving = remotePenalty

// promptPlan is what the balancer knows about the prompt of one job. A nil plan is that of a job for whose prompt it does
// not matter which engine processes it.
type promptPlan struct {
	prompt *promptcache.Prompt
	tokens int // length of the prompt
	speed  placement.Speed
	kept   map[*targetState]int // length of the prefix that a target is believed to hold; nil if none holds any
}

// planPrompt returns the plan for the prompt of a job. The caller holds the lock.
func (b *Balancer) planPrompt(job *Job) *promptPlan {
	e := job.engine()
	if e == nil || len(job.Prompt.Prefixes) == 0 {
		return nil
	}
	shared := job.Prompt.Shared()
	p := &promptPlan{prompt: &job.Prompt, tokens: max(job.Prompt.Tokens, shared), speed: promptSpeed(e)}
	if p.speed.Saving(shared) < minPromptSaving {
		return nil
	}
	for _, h := range b.prompts.Kept(&job.Prompt) {
		if p.speed.Saving(h.Tokens) < minPromptSaving {
			continue
		}
		if p.kept == nil {
			p.kept = map[*targetState]int{}
		}
		p.kept[h.Engine] = h.Tokens
	}
	return p
}

// promptSpeed returns how fast an engine processes prompts.
func promptSpeed(e *routetable.Engine) placement.Speed {
	return placement.PerSecond(e.PrefillRate, e.PerMillionPairs)
}

// estimatePrompt returns the time until a target with the pace has processed the prompt. It is 0 if no target holds a part
// of the prompt, since the time is then about the same at all of them. The caller holds the lock.
func (b *Balancer) estimatePrompt(p *promptPlan, t *targetset.Target, pace float64) placement.Estimate {
	if p == nil || p.kept == nil {
		return placement.Estimate{}
	}
	s := b.stateOf(t)
	return placement.Estimate{
		Slot:    time.Duration(pace * float64(s.unprocessed)),
		Prefill: time.Duration(pace * float64(p.speed.Prefill(p.tokens, p.kept[s]))),
	}
}

// spills reports whether another target holds more of the prompt than the chosen one.
func (p *promptPlan) spills(chosen *targetState) bool {
	if p == nil {
		return false
	}
	for _, tokens := range p.kept {
		if tokens > p.kept[chosen] {
			return true
		}
	}
	return false
}

// promptLease is the part of a lease that concerns the prompt.
type promptLease struct {
	KeptTokens int  // beginning of the prompt that the target is believed to hold
	Spilled    bool // another target holds more of the prompt, but its first token is expected later

	use         *promptcache.Use[*targetState] // nil if nothing is recorded
	unprocessed time.Duration                  // expected time for processing the prompt, until the first event
}

// promptSent records that the prompt of a job was sent to a target. The caller holds the lock.
func (b *Balancer) promptSent(job *Job, p *promptPlan, t *targetset.Target, s *targetState) promptLease {
	l := promptLease{}
	if e := job.engine(); e != nil {
		l.unprocessed = promptSpeed(e).Prefill(job.Prompt.Tokens, 0)
	}
	if p != nil {
		l.KeptTokens, l.Spilled = p.kept[s], p.spills(s)
		l.use = b.prompts.Sent(s, b.promptEngine(job.engine(), t, s), p.prompt)
		l.unprocessed = p.speed.Prefill(p.tokens, l.KeptTokens)
	}
	s.unprocessed += l.unprocessed
	return l
}

// promptEngine describes a target as the holder of prompts. The caller holds the lock and has counted the request.
func (b *Balancer) promptEngine(e *routetable.Engine, t *targetset.Target, s *targetState) promptcache.Engine {
	out := promptcache.Engine{Retention: promptcache.InFlight, Memory: e.MemoryTokens}
	if e.KeepsPrompts {
		out.Retention = promptcache.UntilEvicted
	}
	out.Share = float64(s.ownInFlight) / float64(max(1, b.inFlight(t)))
	return out
}

// promptProcessed records that the target has processed the prompt. The caller holds the lock.
func (l *Lease) promptProcessed() {
	l.answered = true
	l.s.unprocessed -= l.unprocessed
	l.unprocessed = 0
}

// promptDone records the end of the request. The caller holds the lock.
func (l *Lease) promptDone(r Result) {
	run := l.answered || r == Served
	l.promptProcessed()
	if l.use != nil {
		l.use.Ended(run)
	}
}
