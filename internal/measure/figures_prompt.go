package measure

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Sizes of the figures of kept prompts. The engines process 75 prompt tokens in a millisecond, one prompt at a time.
const (
	promptEngines         = 16
	promptEngineSlots     = 10
	promptEnginePrefill   = 75000 // prompt tokens per second
	promptEngineStep      = 5 * time.Millisecond
	promptEngineMemory    = 120000 // prompt tokens
	promptRequests        = 4000
	promptArrivals        = 160 // per second
	promptPrefixes        = 400
	promptPopularity      = 1.1 // exponent of the Zipf distribution of the prefixes
	promptOwnTokens       = 760 // tokens of a prompt beyond its shared prefix
	promptDecode          = 400 * time.Millisecond
	breakEvenGain         = 0.02 // of the mean time to the first token
	breakEvenTrialsPerLen = 2    // with different seeds
)

// sharedLengths are the lengths of shared prefixes, in tokens, at which the break-even point is looked for.
var sharedLengths = []int{40, 100, 150, 200, 400, 800, 1600, 3200}

// promptFigures lists the figures of kept prompts.
func promptFigures() []Figure {
	return []Figure{
		{Name: "kept_prompt_break_even_tokens", Run: func(_ context.Context, seed int64) (Result, error) { return promptBreakEven(seed, false) }},
		{Name: "in_flight_prompt_break_even_tokens", Run: func(_ context.Context, seed int64) (Result, error) { return promptBreakEven(seed, true) }},
	}
}

var errNoBreakEven = errors.New("no length of shared prefixes pays")

// promptBreakEven measures the shortest shared prefix for which weighing kept prompts shortens the mean time to the first
// token by breakEvenGain. The note states the mean times in milliseconds by length, weighed and ignored.
func promptBreakEven(seed int64, inFlight bool) (Result, error) {
	spec := promptEngineSpec{slots: promptEngineSlots, prefillRate: promptEnginePrefill, serial: true, stepTime: promptEngineStep,
		memory: promptEngineMemory, inFlight: inFlight}
	out, notes := Result{}, []string{}
	for _, shared := range sharedLengths {
		load := promptLoad{requests: promptRequests, perSecond: promptArrivals, prefixes: promptPrefixes, zipf: promptPopularity,
			shared: shared, own: promptOwnTokens, decode: promptDecode}
		weighed, ignored := meanFirstToken(spec, load, promptsWeighed, seed), meanFirstToken(spec, load, promptsIgnored, seed)
		notes = append(notes, fmt.Sprintf("t%d=%.2f/%.2f", shared, 1000*weighed.Seconds(), 1000*ignored.Seconds()))
		if out.Ours == 0 && float64(weighed) <= (1-breakEvenGain)*float64(ignored) {
			out.Ours = float64(shared)
		}
	}
	out.Note = strings.Join(notes, " ")
	if out.Ours == 0 {
		return out, fmt.Errorf("%w: %s", errNoBreakEven, out.Note)
	}
	return out, nil
}

// meanFirstToken returns the mean time to the first token over trials of a load with a policy.
func meanFirstToken(spec promptEngineSpec, load promptLoad, policy promptPolicy, seed int64) time.Duration {
	sum := time.Duration(0)
	for i := range breakEvenTrialsPerLen {
		t, trialSeed := newPromptTrial(promptEngines, spec), uint64(seed)+uint64(i)<<32
		newBalancerPlacer(t, policy, trialSeed).exchange(load.duration())
		sum += t.run(load, trialSeed)
	}
	return sum / breakEvenTrialsPerLen
}
