package contention

import (
	"math"
	"time"
)

// rateWindow is the time constant of the average of a rate.
const rateWindow = time.Second

// rate is an exponentially weighted average of events per second. The zero value has seen no event.
type rate struct {
	value   float64
	updated time.Time
}

// add records an event.
func (r *rate) add(now time.Time) {
	r.value = r.perSecond(now) + 1/rateWindow.Seconds()
	r.updated = now
}

// perSecond returns the events per second.
func (r *rate) perSecond(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updated).Seconds()/rateWindow.Seconds())
}
