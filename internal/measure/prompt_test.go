package measure

import (
	"fmt"
	"testing"
	"time"
)

// keptEngines is the number of engines in the trials of kept prompts.
const keptEngines = 16

// promptTrialCase is one combination of engines, popularity of prefixes and load.
type promptTrialCase struct {
	name     string
	balancer bool
	spec     promptEngineSpec
	load     promptLoad
	slow     int // engines that are slower than the others by slowdown
}

// slowdown is the factor by which slow engines are slower.
const slowdown = 3

// promptTrialCases lists the combinations that weighing must serve well.
func promptTrialCases() (out []promptTrialCase) {
	router := promptEngineSpec{slots: 8, prefillRate: 20000, stepTime: 10 * time.Millisecond, memory: 120000}
	balanced := promptEngineSpec{slots: 10, prefillRate: 75000, serial: true, stepTime: 5 * time.Millisecond, memory: 120000}
	brief := balanced
	brief.inFlight = true
	for _, zipf := range []float64{0, 1.1} {
		for _, high := range []bool{false, true} {
			load := promptLoad{requests: 4000, prefixes: 400, zipf: zipf, shared: 2000, own: 400, decode: 200 * time.Millisecond, perSecond: 80}
			if high {
				load.perSecond = 330
			}
			name := fmt.Sprintf("zipf=%v/high=%v", zipf, high)
			out = append(out, promptTrialCase{"router/" + name, false, router, load, 0},
				promptTrialCase{"router with slow engines/" + name, false, router, load, keptEngines / 4})
			load.decode, load.perSecond = 400*time.Millisecond, 55
			if high {
				load.perSecond = 270
			}
			out = append(out, promptTrialCase{"balancer/" + name, true, balanced, load, 0},
				promptTrialCase{"balancer with slow engines/" + name, true, balanced, load, keptEngines / 4},
				promptTrialCase{"in flight/" + name, true, brief, load, 0})
		}
	}
	return out
}

// run returns the mean time to the first token and the share of cached tokens under a policy.
func (c *promptTrialCase) run(policy promptPolicy, seed uint64) (time.Duration, float64) {
	t := newPromptTrial(keptEngines, c.spec)
	for _, e := range t.engines[:c.slow] {
		e.slowdown = slowdown
	}
	if c.balancer {
		newBalancerPlacer(t, policy, seed).exchange(c.load.duration())
	} else {
		newRouterPlacer(t, policy, c.load.decode, seed)
	}
	mean := t.run(c.load, seed)
	return mean, t.hitShare()
}

// maxExcess is how much longer the mean time to the first token may be than under the better one of the simple policies.
const maxExcess = 0.05

// TestKeptPromptsAreWeighed guards against weighing that serves callers worse than ignoring what engines keep, or than
// always following it.
func TestKeptPromptsAreWeighed(t *testing.T) {
	for _, c := range promptTrialCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			weighed, hits := c.run(promptsWeighed, 1)
			ignored, ignoredHits := c.run(promptsIgnored, 1)
			followed, followedHits := c.run(promptsFollowed, 1)
			t.Logf("weighed %v (%.2f cached), ignored %v (%.2f), followed %v (%.2f)", weighed, hits, ignored, ignoredHits, followed, followedHits)
			if limit := time.Duration((1 + maxExcess) * float64(min(ignored, followed))); weighed > limit {
				t.Errorf("%v to the first token, want at most %v", weighed, limit)
			}
		})
	}
}
