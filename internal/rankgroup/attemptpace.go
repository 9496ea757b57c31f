package rankgroup

import (
	"errors"
	"time"
)

const (
	// minAttemptTimeout and maxAttemptTimeout bound the wait for the answer to one attempt of an order.
	minAttemptTimeout = 10 * time.Millisecond
	maxAttemptTimeout = 60 * time.Millisecond
	// answerTimeFactor is the number of usual answer times after which an attempt is given up.
	answerTimeFactor = 4
	// attemptsPerTimeout is the number of attempts after which the wait is doubled, in case that the engine has become slow.
	attemptsPerTimeout = 2
	// answerTimeDecay is the part of the longest answer time that is kept with each shorter one.
	answerTimeDecay = 0.95
)

// attemptPace decides how long an agent waits for the answer to an attempt of an order. A group may be held meanwhile, and an
// engine that answers at all does so within a few milliseconds, so that a fixed wait would hold the group for long.
type attemptPace struct {
	answerTime time.Duration // longest time of the latest answers; 0 before the first one
}

// observe adds the time that an answer has taken.
func (p *attemptPace) observe(took time.Duration) {
	p.answerTime = max(took, time.Duration(answerTimeDecay*float64(p.answerTime)))
}

// timeout returns the wait for the answer to an attempt, given the number of attempts of the same order before it.
func (p *attemptPace) timeout(before int64) time.Duration {
	t := max(minAttemptTimeout, answerTimeFactor*p.answerTime)
	for range before / attemptsPerTimeout {
		t = min(2*t, maxAttemptTimeout)
	}
	return min(t, maxAttemptTimeout)
}

// isAnswer reports whether the result of an order is an answer of the engine.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrFenced) || errors.Is(err, ErrInvalid) || errors.Is(err, ErrOtherEngine)
}
