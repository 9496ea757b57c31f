package balance

import "time"

const (
	// avoidWeight is the weight of consecutive failures at which a target is avoided.
	avoidWeight = 3
	// firstBackoff is the first time for which a target is avoided. It doubles with each failed probe, up to
	// maxBackoff.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// health is the state of a target as derived from the results of its requests. After the backoff, a single request is
// sent as a probe; the target is used again once it serves a request.
type health struct {
	failureWeight int // weight of the consecutive failures
	backoff       time.Duration
	avoidUntil    time.Time
	probing       bool // a request that tests whether the target works again is in flight
}

// usable reports whether the target may get a request.
func (h *health) usable(now time.Time) bool {
	return h.backoff == 0 || !h.probing && !now.Before(h.avoidUntil)
}

// requestSent marks the request as a probe if the target is being avoided.
func (h *health) requestSent() {
	if h.backoff > 0 {
		h.probing = true
	}
}

// record updates the state with the result of a request.
func (h *health) record(r Result, now time.Time) {
	h.probing = false
	switch r {
	case CallerLeft:
		return
	case Served:
		*h = health{}
		return
	case groupClosed:
		h.failureWeight, h.backoff, h.avoidUntil = avoidWeight, firstBackoff, now.Add(firstBackoff)
		return
	case Refused, Failed:
		h.failureWeight++
	case Broken:
		h.failureWeight += 2
	}
	if h.failureWeight < avoidWeight || h.backoff > 0 && now.Before(h.avoidUntil) {
		return
	}
	h.backoff = min(maxBackoff, max(firstBackoff, 2*h.backoff))
	h.avoidUntil = now.Add(h.backoff)
}
