// Package admission decides which requests a target runs, and when.
//
// A Queue holds the work of one target in a short and a long lane. Within a lane, client accounts take turns by deficit
// round robin. A share of the slots is reserved for short work. Work is refused at once when its predicted wait is too
// long.
package admission

import (
	"math"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
)

// Options configures a queue.
type Options struct {
	Clock        port.Clock
	Policy       func() *Policy // read once for each request, at its admission
	Slots        int            // requests that the target runs at once, until it reports its own number
	PlainService bool           // the target is a plain service, whose work is measured in milliseconds in place of tokens
}

// Work describes a request before it is queued.
type Work struct {
	Account     string
	Operation   string // of a plain service
	PromptBytes int
	MaxTokens   int
	Bytes       int // memory that the request holds while it is queued
	Deadline    time.Time
	// Decide is called once, without locks held: with nil when the work gets a slot, or with a refusal when it is
	// refused after it was queued. It is not called for work that Enter refused or that left the queue.
	Decide func(*Refusal)
}

// Refusal says why work was not admitted.
type Refusal struct {
	Reason     outcome.Reason
	RetryAfter time.Duration
}

type jobState int

const (
	queued jobState = iota
	running
	ended
)

// Job is work in the queue or at the target.
type Job struct {
	queue      *Queue
	work       Work
	policy     *Policy
	lane       Lane
	promptCost float64 // cost of the prompt in tokens of the response
	cost       float64 // expected cost, prompt included
	costKnown  bool    // the cost follows from recent responses
	state      jobState
	generated  int
	entered    time.Time
	started    time.Time
}

// Queue is the queue of one target.
type Queue struct {
	opt Options

	mu          sync.Mutex
	slots       int
	lanes       [laneCount]*lane
	running     map[*Job]struct{}
	inLane      [laneCount]int // running jobs of each lane
	queuedBytes int            // memory of the queued requests
	meter       *rateMeter
	lengths     *lengthEstimator
	durations   *callDurations
}

// New returns an empty queue.
func New(opt Options) *Queue {
	q := &Queue{
		opt: opt, slots: max(1, opt.Slots), running: map[*Job]struct{}{},
		meter: newRateMeter(opt.Clock.Now(), opt.PlainService), lengths: newLengthEstimator(), durations: newCallDurations(),
	}
	for i := range q.lanes {
		q.lanes[i] = newLane(quantumTokens[i])
	}
	return q
}

// Enter queues work or refuses it at once.
func (q *Queue) Enter(w Work) (*Job, *Refusal) {
	q.mu.Lock()
	j, refusal := q.enter(w)
	decided := q.startJobs()
	q.mu.Unlock()
	decided.call()
	return j, refusal
}

func (q *Queue) enter(w Work) (*Job, *Refusal) {
	now := q.opt.Clock.Now()
	j := &Job{queue: q, work: w, policy: q.opt.Policy(), entered: now}
	q.classify(j)
	if j.lane == Long && !j.policy.AdmitLongDrafts && !q.opt.PlainService {
		return nil, &Refusal{outcome.PresetClosed, presetRetryAfter}
	}
	wait := q.predict(j.lane, w.Account, j.policy)
	if q.queuedBytes+w.Bytes > maxQueuedBytes {
		return nil, &Refusal{outcome.QueueFull, retryAfter(wait)}
	}
	if limit := j.policy.MaxWait[j.lane]; wait > limit {
		return nil, &Refusal{outcome.QueueFull, retryAfter(wait - limit)}
	}
	if now.Add(wait + q.requiredTime(j)).After(w.Deadline) {
		return nil, &Refusal{outcome.DeadlineTooNear, retryAfter(wait)}
	}
	q.lanes[j.lane].push(j, j.policy.weight(w.Account))
	q.queuedBytes += w.Bytes
	return j, nil
}

// maxQueuedBytes bounds the memory of the queued requests, in addition to the bound on their predicted wait. The whole
// process has 32 MB.
const maxQueuedBytes = 8 << 20

// dequeued updates the state of a job that was taken from its lane, and subtracts its memory.
func (q *Queue) dequeued(j *Job, next jobState) {
	j.state = next
	q.queuedBytes -= j.work.Bytes
}

// presetRetryAfter is the Retry-After of work that the preset in force refuses. A preset stays in force for hours.
const presetRetryAfter = time.Minute

// retryAfter rounds up to whole seconds, since the header has no smaller unit.
func retryAfter(d time.Duration) time.Duration {
	return max(time.Second, time.Duration(math.Ceil(d.Seconds()))*time.Second)
}

// classify sets the lane and the expected cost of the job.
func (q *Queue) classify(j *Job) {
	if q.opt.PlainService {
		j.cost = q.durations.expected(j.work.Operation)
		if j.cost > longCallMS {
			j.lane = Long
		}
		return
	}
	promptTokens := float64(j.work.PromptBytes) / bytesPerToken
	expected, cautious, known := q.lengths.estimate(j.work.Account, j.work.MaxTokens)
	j.promptCost = promptTokens / promptTokensPerGenerated
	j.cost, j.costKnown = j.promptCost+expected, known
	if promptTokens+cautious > float64(j.policy.ShortMaxTokens) {
		j.lane = Long
	}
}

// decisions are the calls of Decide to make after the lock is released.
type decisions []decision

type decision struct {
	call    func(*Refusal)
	refusal *Refusal
}

func (d decisions) call() {
	for _, one := range d {
		one.call(one.refusal)
	}
}

// startJobs starts queued jobs while their lanes have free slots. It refuses those that cannot meet their deadline any
// more.
func (q *Queue) startJobs() (out decisions) {
	now := q.opt.Clock.Now()
	for {
		l, ok := q.nextLane()
		if !ok {
			return out
		}
		j := q.lanes[l].pop()
		if now.Add(q.requiredTime(j)).After(j.work.Deadline) {
			q.dequeued(j, ended)
			out = append(out, decision{j.work.Decide, &Refusal{outcome.DeadlineTooNear, time.Second}})
			continue
		}
		q.meter.advance(now, len(q.running))
		q.dequeued(j, running)
		j.started = now
		q.running[j] = struct{}{}
		q.inLane[l]++
		out = append(out, decision{j.work.Decide, nil})
	}
}

// nextLane chooses the lane that gets the next free slot, and returns false if no lane may use it. Short work goes
// first, unless long work is waiting and runs in fewer slots than it is guaranteed. Long work never takes the reserved
// slots.
func (q *Queue) nextLane() (Lane, bool) {
	if len(q.running) >= q.slots {
		return 0, false
	}
	reserved, guaranteed := q.slotShares()
	short, long := q.lanes[Short].jobs > 0, q.lanes[Long].jobs > 0
	mayLong := long && q.inLane[Long] < q.slots-reserved
	if mayLong && q.inLane[Long] < guaranteed {
		return Long, true
	}
	if short {
		return Short, true
	}
	return Long, mayLong
}

// guaranteedDivisor divides the number of unreserved slots to give the number guaranteed to waiting long work. At 3 and
// a reserved share of 0.25, long work keeps a quarter of the target, so that it goes on at a peak of short work.
const guaranteedDivisor = 3

// slotShares returns the number of slots reserved for short work, and of those guaranteed to long work that waits.
func (q *Queue) slotShares() (reserved, guaranteed int) {
	share := q.opt.Policy().ReservedShare
	if share > 0 {
		reserved = min(int(math.Ceil(share*float64(q.slots))), q.slots-1)
	}
	return reserved, max(1, (q.slots-reserved)/guaranteedDivisor)
}

// Expire refuses queued work that cannot meet its deadline any more, and work that has waited for much longer than
// predicted, as after a stall of the target. It must be called several times a second.
func (q *Queue) Expire() {
	q.mu.Lock()
	now := q.opt.Clock.Now()
	q.meter.advance(now, len(q.running))
	var out decisions
	for _, l := range q.lanes {
		for _, j := range l.jobsWhere(func(j *Job) bool { return q.expired(j, now) }) {
			l.remove(j)
			q.dequeued(j, ended)
			reason := outcome.QueueFull
			if now.Add(q.requiredTime(j)).After(j.work.Deadline) {
				reason = outcome.DeadlineTooNear
			}
			out = append(out, decision{j.work.Decide, &Refusal{reason, retryAfter(q.predict(j.lane, j.work.Account, j.policy))}})
		}
	}
	out = append(out, q.startJobs()...)
	q.mu.Unlock()
	out.call()
}

// overdueFactor is the longest time that work may be queued, as a multiple of the longest predicted wait at which it is
// admitted. Predictions are off by less than a factor of two unless the target stalls.
const overdueFactor = 2

// expired returns whether a queued job cannot meet its deadline any more or has waited too long.
func (q *Queue) expired(j *Job, now time.Time) bool {
	return now.Add(q.requiredTime(j)).After(j.work.Deadline) || now.Sub(j.entered) > overdueFactor*j.policy.MaxWait[j.lane]
}

// jobsWhere returns the queued jobs of the lane that match.
func (l *lane) jobsWhere(matches func(*Job) bool) (out []*Job) {
	for _, f := range l.ring {
		for _, j := range f.jobs {
			if matches(j) {
				out = append(out, j)
			}
		}
	}
	return out
}
