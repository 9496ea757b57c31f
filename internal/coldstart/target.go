package coldstart

import (
	"math"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	// bucketLength and buckets set the resolution and the length of the window in which the requests to a target are
	// counted. The window exceeds the second of the bound by at least one bucket, since a request may be sent up to
	// sendDelay after it is counted.
	bucketLength = 50 * time.Millisecond
	buckets      = 22
	windowLength = buckets * bucketLength
	// turnLength is the length of a turn; see inTurn.
	turnLength = time.Second
	// turnInterval is the time between the starts of two turns, in units of the time for one request at the limit. With it and
	// boundShare, the processes that have a turn in some second send half of the bound at most on average.
	turnInterval = 2.4
)

// target is the state of one target. The limiter's lock guards it.
type target struct {
	startedAtMs int64              // latest start time that was seen
	position    targetset.Position // of the entry that was read last
	coldUntil   time.Time
	created     time.Time      // start of the first bucket
	phase       float64        // of the turns, as a part of the time between two of them
	counts      [buckets]int32 // requests by bucket
	newest      int64          // number of the newest bucket, counted from created
	lastCounted time.Time
}

// cold reports whether the target is known to be cold.
func (t *target) cold(now time.Time) bool { return now.Before(t.coldUntil) }

// within reports whether one more request is within the limits.
func (t *target) within(r Rates, now time.Time) bool {
	return t.withinWindow(r.perSecond, now) && (!t.cold(now) || t.spaced(t.ramp(r, now), now))
}

// withinWindow reports whether one more request is within a limit for any second. A limit below one is kept by one request
// in each turn.
func (t *target) withinWindow(limit float64, now time.Time) bool {
	if limit < 1 {
		return t.inTurn(limit, now) && (t.lastCounted.IsZero() || now.Sub(t.lastCounted) >= windowLength)
	}
	t.advance(now)
	sum := int32(0)
	for _, n := range t.counts {
		sum += n
	}
	return float64(sum)+1 <= limit
}

// inTurn reports whether a process whose limit is below one request in any second may send one now. If it could send
// one at any time, all processes could do so at the same moment, as soon as the target comes back. Each has its turns at
// random times instead.
func (t *target) inTurn(limit float64, now time.Time) bool {
	if limit <= 0 {
		return false
	}
	turns := now.Sub(t.created).Seconds()*limit/turnInterval + t.phase
	return turns-math.Floor(turns) < turnLength.Seconds()*limit/turnInterval
}

// spaced reports whether enough time has passed since the last request for a rate in requests per second.
func (t *target) spaced(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	return t.lastCounted.IsZero() || now.Sub(t.lastCounted).Seconds()*rate >= 1
}

// ramp returns the rate at which a cold target gets requests.
func (t *target) ramp(r Rates, now time.Time) float64 {
	if r.coldStart <= 0 {
		return r.coldRate
	}
	left := min(1, float64(t.coldUntil.Sub(now))/float64(r.coldStart))
	return r.coldRate * (1 - (1-rampStart)*left)
}

// count counts a request.
func (t *target) count(now time.Time) {
	t.advance(now)
	t.counts[t.newest%buckets]++
	t.lastCounted = now
}

// uncount removes a request that was counted at a time and has not been sent.
func (t *target) uncount(counted, now time.Time) {
	t.advance(now)
	if bucket := t.bucket(counted); t.newest-bucket < buckets {
		t.counts[bucket%buckets]--
	}
	if t.lastCounted.Equal(counted) {
		t.lastCounted = time.Time{}
	}
}

// bucket returns the number of the bucket of a time. Times are monotonic, as the time of day may jump.
func (t *target) bucket(at time.Time) int64 { return int64(at.Sub(t.created) / bucketLength) }

// advance clears the buckets that have left the window.
func (t *target) advance(now time.Time) {
	bucket := t.bucket(now)
	if bucket-t.newest >= buckets {
		t.counts, t.newest = [buckets]int32{}, bucket
	}
	for ; t.newest < bucket; t.newest++ {
		t.counts[(t.newest+1)%buckets] = 0
	}
}
