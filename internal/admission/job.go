package admission

import "time"

// Priorities of engine requests. Engines run higher ones first.
const (
	priorityLong  = 0
	priorityShort = 10
)

// Priority returns the engine priority of the job.
func (j *Job) Priority() int {
	j.queue.mu.Lock()
	defer j.queue.mu.Unlock()
	if j.lane == Short {
		return priorityShort
	}
	return priorityLong
}

// Lane returns the lane that the job is counted in.
func (j *Job) Lane() Lane {
	j.queue.mu.Lock()
	defer j.queue.mu.Unlock()
	return j.lane
}

// Progress counts generated tokens of a running job. A job that has become too long for the short lane is counted in
// the long lane from then on, so that it does not occupy a slot of the short lane.
func (j *Job) Progress(tokens int) {
	q := j.queue
	q.mu.Lock()
	if j.state != running {
		q.mu.Unlock()
		return
	}
	now := q.opt.Clock.Now()
	q.meter.advance(now, len(q.running))
	done := float64(tokens)
	if j.generated == 0 {
		done += j.promptCost
	}
	q.meter.addTokens(done)
	j.generated += tokens
	var out decisions
	if j.lane == Short &&
		float64(j.generated)+float64(j.work.PromptBytes)/bytesPerToken > float64(j.policy.ShortMaxTokens) {
		q.inLane[Short]--
		q.inLane[Long]++
		j.lane = Long
	}
	q.mu.Unlock()
	out.call()
}

// Done frees the slot of a job that ended by itself, and updates the estimates from it.
func (j *Job) Done() { j.end(true) }

// Leave takes the job out of the queue, or frees its slot, without an update of the estimates.
func (j *Job) Leave() { j.end(false) }

func (j *Job) end(learn bool) {
	q := j.queue
	q.mu.Lock()
	now := q.opt.Clock.Now()
	q.meter.advance(now, len(q.running))
	switch j.state {
	case queued:
		q.lanes[j.lane].remove(j)
		q.dequeued(j, ended)
	case running:
		delete(q.running, j)
		q.inLane[j.lane]--
		if learn {
			q.learn(j, now)
		}
	}
	j.state = ended
	out := q.startJobs()
	q.mu.Unlock()
	out.call()
}

func (q *Queue) learn(j *Job, now time.Time) {
	if q.opt.PlainService {
		q.durations.learn(j.work.Operation, now.Sub(j.started))
		return
	}
	q.lengths.learn(j.work.Account, j.work.MaxTokens, j.generated)
}
