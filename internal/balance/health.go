package balance

import "time"

const (
	// openWeight is the weight of failures in a row at which a target is avoided.
	openWeight = 3
	// firstBackoff is the first time for which a target is avoided; it doubles with each failed trial.
	firstBackoff = 300 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// health judges a target from the answers to real requests.
type health struct {
	weight  int // of failures in a row
	backoff time.Duration
	until   time.Time
	trial   bool // one request tests whether the target works again
}

// usable says whether the target may get a request.
func (h *health) usable(now time.Time) bool {
	return h.backoff == 0 || !h.trial && !now.Before(h.until)
}

func (h *health) dispatched() {
	if h.backoff > 0 {
		h.trial = true
	}
}

func (h *health) done(r Result, now time.Time) {
	h.trial = false
	switch r {
	case Left:
		return
	case Served:
		*h = health{}
		return
	case closed:
		h.weight, h.backoff, h.until = openWeight, firstBackoff, now.Add(firstBackoff)
		return
	case Refused, Failed:
		h.weight++
	case Broken:
		h.weight += 2
	}
	if h.weight < openWeight || h.backoff > 0 && now.Before(h.until) {
		return
	}
	h.backoff = min(maxBackoff, max(firstBackoff, 2*h.backoff))
	h.until = now.Add(h.backoff)
}
