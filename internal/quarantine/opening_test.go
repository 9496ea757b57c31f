package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// waitingPrompt returns the prompt of a request that has waited for targets to open.
func waitingPrompt(t *Tracker, parts ...Part) *Prompt {
	p := t.Prompt(testService, parts)
	p.Waits()
	return p
}

// inOrder returns new trackers that have heard from each other, in the order in which they send probes.
func inOrder(c *clock, n int) []*Tracker {
	var entries []*Tracker
	for range n {
		entries = append(entries, New(c.now))
	}
	slices.SortFunc(entries, func(a, b *Tracker) int { return int(int64(a.id) - int64(b.id)) })
	exchangeAll(c, 1, entries...)
	return entries
}

// TestProbesAfterAnOpening guards against requests with an unproven part that several entries without evidence send when
// their targets open, and against ones that wait although an answer with the part has begun elsewhere.
func TestProbesAfterAnOpening(t *testing.T) {
	c := newClock()
	entries := inOrder(c, 4)
	var first, second []*Prompt
	for _, e := range entries {
		first, second = append(first, waitingPrompt(e, "kind", "bad")), append(second, waitingPrompt(e, "kind"))
	}
	for _, p := range first {
		p.TargetOpen()
	}
	if part := first[0].Unproven(); part != "" {
		t.Errorf("the first request waits for %q", part)
	}
	for _, p := range append(first[1:], second...) {
		if p.Unproven() == "" {
			t.Error("a second request with an unproven part is sent before the first has a result")
		}
	}
	c.advance(probeSlot)
	if first[1].Unproven() != "" || first[2].Unproven() == "" || first[3].Unproven() == "" {
		t.Error("after one slot, not the second entry alone sends a probe")
	}
	p := entries[0].Prompt(testService, []Part{"kind"})
	p.Begun()
	exchangeAll(c, 1, entries...)
	for _, p := range second {
		if part := p.Unproven(); part != "" {
			t.Errorf("a request waits for %q, with which an answer has begun", part)
		}
	}
}

// TestProbeWithoutResult guards against requests that wait for a probe that has ended or hangs.
func TestProbeWithoutResult(t *testing.T) {
	for name, ends := range map[string]func(p *Prompt, c *clock){
		"has ended": func(p *Prompt, _ *clock) { p.Done() },
		"hangs":     func(_ *Prompt, c *clock) { c.advance(probeTimeout) },
	} {
		c := newClock()
		tr := New(c.now)
		first, second := waitingPrompt(tr, "new"), waitingPrompt(tr, "new")
		first.TargetOpen()
		first.Unproven()
		if second.Unproven() == "" {
			t.Errorf("%s: the second request is sent before the first has a result", name)
		}
		ends(first, c)
		if second.Unproven() != "" {
			t.Errorf("%s: the second request waits", name)
		}
	}
}

// TestProbeThatCrashes guards against further probes of a part under which an engine has just crashed, and against requests
// that wait for parts that were in no crash.
func TestProbeThatCrashes(t *testing.T) {
	c := newClock()
	tr := New(c.now)
	probe := waitingPrompt(tr, "kind", "bad")
	probe.TargetOpen()
	probe.Unproven()
	probe.Crashed(engine(1))
	probe.Done()
	if waitingPrompt(tr, "bad").Unproven() == "" {
		t.Error("the part is probed again before the crash is decided on")
	}
	if part := waitingPrompt(tr, "new").Unproven(); part != "" {
		t.Errorf("a request waits for %q, which was not in the crash", part)
	}
}

// TestOpeningsThatDelayNobody guards against delays on a calm day: at the start of a fleet whose targets are open, and when
// targets open again for which the process has evidence.
func TestOpeningsThatDelayNobody(t *testing.T) {
	for name, happens := range map[string]func(tr *Tracker, c *clock){
		"targets were open since the start": func(*Tracker, *clock) {},
		"targets were closed later": func(tr *Tracker, c *clock) {
			c.advance(wakeTime)
			waitingPrompt(tr, "kind").TargetOpen()
		},
		"targets were closed at the start and later": func(tr *Tracker, c *clock) {
			waitingPrompt(tr, "kind").TargetOpen()
			c.advance(wakeTime)
			waitingPrompt(tr, "kind").TargetOpen()
		},
	} {
		c := newClock()
		entries := inOrder(c, 4)
		tr := entries[3]
		happens(tr, c)
		for n := range 20 {
			p := tr.Prompt(testService, []Part{"kind", "new", Part(fmt.Sprintf("own-%d", n))})
			p.TargetOpen()
			if part := p.Unproven(); part != "" {
				t.Fatalf("%s: request %d waits for %q", name, n, part)
			}
		}
		c.advance(time.Second)
		if r := tr.Report(); name != "targets were open since the start" && r != nil {
			t.Errorf("%s: the report is %+v, want none", name, r)
		}
	}
}
