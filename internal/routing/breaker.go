package routing

import (
	"math"
	"time"
)

// Limits of the circuit breaker of one target.
const (
	openThreshold = 2 // failure weight at which the circuit opens
	firstBackoff  = 500 * time.Millisecond
	maxBackoff    = 15 * time.Second
)

// Failure is the weight that a failed attempt has for the circuit breaker.
type Failure int

// Weights of failures. A refused connection or a process that does not answer opens the circuit at once, because the
// next attempt would fail in the same way. A single broken stream may be a fault of the network.
const (
	NoVerdict    Failure = -1 // the attempt says nothing about the target, as when the caller left
	NoFailure    Failure = 0
	StreamBroken Failure = 1
	Unreachable  Failure = openThreshold
)

// breaker is the circuit breaker of one target. Times are offsets from the router's start.
type breaker struct {
	failureWeight Failure
	backoff       time.Duration // length of the open period; 0 while the circuit is closed
	openUntil     time.Duration // end of the open period
	probing       bool          // a dispatch is testing the target
}

func (b *breaker) open() bool { return b.backoff > 0 }

// blockedUntil returns the time from which the target may get a dispatch. After the open period, the circuit admits one
// test at a time.
func (b *breaker) blockedUntil() time.Duration {
	switch {
	case !b.open():
		return 0
	case b.probing:
		return math.MaxInt64
	default:
		return b.openUntil
	}
}

// recordDispatch marks a dispatch as the test of the target if the circuit is open.
func (b *breaker) recordDispatch() {
	if b.open() {
		b.probing = true
	}
}

// recordEnd records how a dispatch ended.
func (b *breaker) recordEnd(f Failure, now time.Duration) {
	if f == NoVerdict {
		b.probing = false
		return
	}
	if f == NoFailure {
		*b = breaker{}
		return
	}
	if b.open() && now < b.openUntil {
		return // dispatched before the circuit opened; it must not lengthen the open period
	}
	b.failureWeight += f
	if b.failureWeight < openThreshold {
		return
	}
	b.backoff = min(maxBackoff, max(firstBackoff, 2*b.backoff))
	b.openUntil = now + b.backoff
	b.probing = false
}
