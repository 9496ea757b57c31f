package mapswitch

import "time"

const (
	// minLeadSteps is the smallest number of steps between the request to prepare and the step of the change.
	minLeadSteps = 4
	// maxLeadSteps limits the lead if the observation of the step rate is too short to be reliable.
	maxLeadSteps = 4096
)

// stepRate measures how many steps the group takes per unit of time while it loads a map.
type stepRate struct {
	firstStep int64
	startedAt time.Time
}

// startStepRate starts a measurement at the given step.
func startStepRate(step int64, now time.Time) stepRate {
	return stepRate{firstStep: step, startedAt: now}
}

// leadSteps returns the number of steps that the group takes in the span, plus a margin. With too few steps, a rank has
// already reached the step of the change and refuses to prepare; too many only delay the change.
func (p stepRate) leadSteps(step int64, now time.Time, span time.Duration) int64 {
	elapsed := now.Sub(p.startedAt)
	if elapsed <= 0 || step <= p.firstStep {
		return minLeadSteps
	}
	n := float64(step-p.firstStep) * float64(span) / float64(elapsed)
	return min(maxLeadSteps, minLeadSteps+int64(n))
}
