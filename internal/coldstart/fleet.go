package coldstart

import "time"

const (
	// assumedEntries is the smallest number of entries that a process assumes while it does not know the fleet.
	assumedEntries = 16
	// settleTime is the time from the first contact with another entry until a process knows the fleet, and is known in it.
	settleTime = 2 * time.Second
	// predecessorTime is the time after a start for which the requests that an earlier process sent in this one's place
	// count against the bound.
	predecessorTime = windowLength
	// fleetMaxAge is the age from which on the knowledge of the fleet is outdated, since the process was suspended.
	fleetMaxAge = time.Second
	// shrinkDelay is the time for which entries that are no longer known still count. They may be cut off and serving.
	shrinkDelay = 10 * time.Minute
)

// Fleet is what a process knows about the entries that share the bound.
type Fleet struct {
	Known     int // entries, this one included
	Reachable int // entries, this one included
	Seeds     int // addresses of other entries in the settings
}

// fleetSize derives the number of entries that share the bound.
type fleetSize struct {
	started    time.Time
	firstStart bool
	joined     time.Time // first contact with another entry, or the start of a process without seeds; zero before it
	size       int
	sizeAt     time.Time // when the fleet last had this size
	updated    time.Time // last call of update
}

func newFleetSize(firstStart bool, now time.Time) fleetSize {
	return fleetSize{started: now, firstStart: firstStart, size: 1}
}

// update records what is known about the fleet.
func (f *fleetSize) update(known Fleet, now time.Time) {
	f.updated = now
	if f.joined.IsZero() && (known.Reachable > 1 || known.Seeds == 0) {
		f.joined = now
	}
	size := max(1, known.Known, known.Seeds+1)
	if size >= f.size || now.Sub(f.sizeAt) > shrinkDelay {
		f.size, f.sizeAt = size, now
	}
}

// entries returns the number of entries among which the bound is divided.
func (f *fleetSize) entries(now time.Time) int {
	if f.joined.IsZero() || now.Sub(f.joined) < settleTime || now.Sub(f.updated) > fleetMaxAge {
		return max(f.size, assumedEntries)
	}
	return f.size
}

// predecessorCounts reports whether requests of an earlier process may still count against the bound.
func (f *fleetSize) predecessorCounts(now time.Time) bool {
	return !f.firstStart && now.Sub(f.started) < predecessorTime
}
