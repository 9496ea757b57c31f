package balance

import "time"

const (
	// avoidWeight is the weight of failures in a row at which a target is avoided.
	avoidWeight = 3
	// firstBackoff is the first time for which a target is avoided; it doubles with each failed trial.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// health judges a target from the answers to real requests.
type health struct {
	failureWeight int // of failures in a row
	backoff       time.Duration
	avoidUntil    time.Time
	probing       bool // one request tests whether the target works again
}

// usable says whether the target may get a request.
func (h *health) usable(now time.Time) bool {
	return h.backoff == 0 || !h.probing && !now.Before(h.avoidUntil)
}

func (h *health) requestSent() {
	if h.backoff > 0 {
		h.probing = true
	}
}

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
