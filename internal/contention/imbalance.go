package contention

import "time"

// Bounds of the reserve, as factors by which the most loaded rank of a group takes longer than the mean.
const (
	// MaxReserve is the imbalance that is allowed for while none is known, and the highest one that is allowed for.
	MaxReserve = 2.3
	// MinReserve is the least imbalance that is allowed for.
	MinReserve = 1.2
)

const (
	// reserveSlots and reserveSlotLength set the time for which a reported imbalance is allowed for. Popularity shifts every few
	// seconds, so that the reserve covers the next shift.
	reserveSlots      = 8
	reserveSlotLength = time.Second
)

// ImbalanceReserve is the imbalance of an engine group that admission allows for: the highest one of the last seconds.
// Times that no report covers count as MaxReserve. The zero value knows no imbalance.
type ImbalanceReserve struct {
	highest [reserveSlots]float64 // by slot of time; 0 for a slot without a report
	slot    int64                 // number of the latest slot
}

// Report records the present imbalance.
func (r *ImbalanceReserve) Report(imbalance float64, now time.Time) {
	slot := slotOf(now)
	if slot-r.slot >= reserveSlots {
		clear(r.highest[:])
		r.slot = slot - reserveSlots
	}
	for r.slot < slot {
		r.slot++
		r.highest[r.slot%reserveSlots] = 0
	}
	h := &r.highest[slot%reserveSlots]
	*h = max(*h, imbalance, MinReserve)
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(reserveSlotLength) }

// Value returns the imbalance to allow for.
func (r *ImbalanceReserve) Value(now time.Time) float64 {
	if slotOf(now) > r.slot+1 {
		return MaxReserve // no report in the whole slot before the present one
	}
	most := 0.0
	for _, h := range r.highest {
		if h == 0 {
			return MaxReserve
		}
		most = max(most, h)
	}
	return min(MaxReserve, most)
}
