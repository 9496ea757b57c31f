// Package placement predicts the time from sending a request to a target until its first token, which is the score by
// which targets are compared: the lowest one is the best.
package placement

import "time"

// PromptTokensPerGenerated is the number of prompt tokens that an engine processes in the time in which it generates one
// token, for engines that state only how fast they generate.
const PromptTokensPerGenerated = 20

// Estimate is the predicted time until the first token of a request at one target, by its causes.
type Estimate struct {
	Slot    time.Duration // wait for a slot and for the prompts that are processed before
	Step    time.Duration // step of the batch that yields the token
	Prefill time.Duration // processing of the part of the prompt that the target does not hold
	Network time.Duration // network latency, beyond that to the nearest target
}

// FirstToken returns the time until the first token.
func (e Estimate) FirstToken() time.Duration { return e.Slot + e.Step + e.Prefill + e.Network }

// Speed is how fast an engine processes prompts.
type Speed struct {
	PerToken        time.Duration // 0 if the speed is unknown
	PerMillionPairs time.Duration // attention: time for each million pairs of a token and an earlier one
}

// PerSecond returns the speed of an engine that processes the number of prompt tokens per second, or an unknown one if
// the number is not positive.
func PerSecond(tokens float64, perMillionPairs time.Duration) Speed {
	if tokens <= 0 {
		return Speed{}
	}
	return Speed{PerToken: time.Duration(float64(time.Second) / tokens), PerMillionPairs: perMillionPairs}
}

// Prefill returns the time for processing a prompt of the given length whose first tokens are kept. It is 0 if the speed
// is unknown.
func (s Speed) Prefill(tokens, kept int) time.Duration {
	if s.PerToken <= 0 || kept >= tokens {
		return 0
	}
	const million = 1e6
	pairs := (float64(tokens)*float64(tokens) - float64(kept)*float64(kept)) / 2
	return s.PerToken*time.Duration(tokens-kept) + time.Duration(pairs/million*float64(s.PerMillionPairs))
}

// Saving returns the time that an engine saves if it holds the first tokens of a prompt.
func (s Speed) Saving(kept int) time.Duration { return s.Prefill(kept, 0) }
