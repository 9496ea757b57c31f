package admission

import (
	"math"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// predict returns how long a new job of the account would wait in the lane.
func (q *Queue) predict(l Lane, account string, p *Policy) time.Duration {
	return q.waitBehind(l, q.lanes[l].tokensAhead(account, p.weight(account)))
}

// waitBehind returns how long it takes until the given tokens ahead in the lane have started and a slot of the lane is
// free.
func (q *Queue) waitBehind(l Lane, ahead float64) time.Duration {
	reserved, guaranteed := q.slotShares()
	usable := q.usableSlots(l, reserved, guaranteed)
	if ahead == 0 && q.inLane[l] < usable && len(q.running) < q.slots {
		return 0
	}
	rate := q.meter.rate()
	return boundedSeconds(q.tokensUntilFree(l, reserved)/rate + ahead/(float64(usable)*rate))
}

// usableSlots returns the number of slots that the lane can rely on.
func (q *Queue) usableSlots(l Lane, reserved, guaranteed int) int {
	if l == Long {
		if q.lanes[Short].jobs > 0 {
			return max(1, guaranteed)
		}
		return max(1, q.slots-max(reserved, q.inLane[Short]))
	}
	long := q.inLane[Long]
	if q.lanes[Long].jobs > 0 {
		long = max(long, guaranteed)
	}
	return max(1, reserved, q.slots-long)
}

// tokensUntilFree returns the expected number of tokens until a slot of the lane is free, from the remaining cost of
// the running jobs.
func (q *Queue) tokensUntilFree(l Lane, reserved int) float64 {
	full := len(q.running) >= q.slots
	if !full && (l == Short || q.inLane[Long] < q.slots-reserved) {
		return 0
	}
	least := math.Inf(1)
	for j := range q.running {
		if full || j.lane == l {
			least = min(least, j.remainingCost())
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// remainingCost returns the expected cost of the rest of a running job. A job that has exceeded its expected cost is
// expected to generate half of the tokens that its limit still allows.
func (j *Job) remainingCost() float64 {
	if left := j.cost - j.promptCost - float64(j.generated); left > 0 {
		return left
	}
	return max(1, float64(j.work.MaxTokens-j.generated)/2)
}

// requiredTime returns the time that must remain until the deadline when the job starts. It is 0 where a refusal would
// rest on an uncertain estimate that only running work can improve: for calls, whose durations are known by operation
// only; for responses of a size that was not recorded yet; and at an idle target, which may have recovered from being
// slow.
func (q *Queue) requiredTime(j *Job) time.Duration {
	if q.opt.PlainService || !j.costKnown || len(q.running) == 0 {
		return 0
	}
	return boundedSeconds(j.cost / q.meter.rate())
}

// boundedSeconds converts seconds to a duration of at most an hour, the longest life of a request, so that predictions
// never overflow.
func boundedSeconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// SetTarget records what the target reports about itself: its number of slots, and its rate in tokens per second, which
// is used until the queue has measured one. Values that are not positive are ignored.
func (q *Queue) SetTarget(slots int, tokensPerS float64) {
	q.mu.Lock()
	if slots > 0 {
		q.slots = slots
	}
	if tokensPerS > 0 {
		q.meter.setInitial(tokensPerS / float64(q.slots))
	}
	out := q.startJobs()
	q.mu.Unlock()
	out.call()
}

// occupancyExponent is the exponent of the share of taken slots in the reported wait of a lane with free slots. With
// the fourth power, a lane that is half full reports a sixteenth of the wait of a full one.
const occupancyExponent = 4

// reportedWait returns the wait of a lane for a load report. Free slots may be taken by the time that the report is
// used, so a lane with few free slots reports a part of the wait that it would have without them. Otherwise entry
// processes could not distinguish a lane with one free slot from an empty one.
func (q *Queue) reportedWait(l Lane) time.Duration {
	wait := q.waitBehind(l, q.lanes[l].tokens)
	busy := q.inLane[l]
	if wait > 0 || busy == 0 {
		return wait
	}
	reserved, guaranteed := q.slotShares()
	usable := q.usableSlots(l, reserved, guaranteed)
	share := min(1, float64(busy)/float64(usable))
	// turnover is the mean time between two ends of jobs when all usable slots are taken.
	turnover := 0.0
	for j := range q.running {
		if j.lane == l {
			turnover += math.Round(j.remainingCost()) // the sum of whole numbers does not depend on the map order
		}
	}
	turnover /= float64(busy) * float64(usable) * q.meter.rate()
	return boundedSeconds(turnover * math.Pow(share, occupancyExponent))
}

// Load returns the queue's part of a load report. The waits are those of work that comes after all queued work of the
// lane.
func (q *Queue) Load() wire.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate := q.meter.rate()
	load := wire.Load{
		Slots: q.slots, Running: len(q.running), TokensPerS: rate * float64(q.slots),
		WaitShort: q.reportedWait(Short), WaitLong: q.reportedWait(Long),
	}
	for _, l := range q.lanes {
		load.Queued += l.jobs
		load.QueuedTokens += int64(l.tokens)
	}
	for j := range q.running {
		load.RunningTokens += int64(j.remainingCost())
	}
	return load
}
