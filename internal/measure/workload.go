package measure

import (
	"math/rand/v2"
	"slices"
	"time"
)

// job is one request of a simulated workload and its result. Its times are offsets from the start of the simulation.
type job struct {
	arrivesAt      time.Duration
	account        string
	long           bool
	promptBytes    int
	maxTokens      int
	responseTokens int // length of the response
	deadline       time.Duration
	callerLeavesAt time.Duration // when the caller leaves unless the target has started; 0 for a caller that stays
	slotSpeed      float64       // relative rate of the slot that runs it

	startedAt  time.Duration // when the target started the work
	finishedAt time.Duration // when the response was complete
	refusedAt  time.Duration // when the caller learned of the refusal or gave up
	state      jobState
}

type jobState int

const (
	stateWaiting jobState = iota
	stateRunning
	stateCompleted
	stateRefused
	stateAbandoned // the caller left, or the deadline passed
)

// fakeEngine describes a simulated model engine with a fixed number of slots of equal rate.
type fakeEngine struct {
	slots           int
	tokensPerSecond float64 // of one slot
	prefillRatio    float64 // prompt tokens that take as long as one generated token
	chunkTokens     int     // tokens between two progress reports
}

// cost returns the work of a job as a number of generated tokens.
func (e fakeEngine) cost(j *job) float64 {
	return float64(j.promptBytes)/4/e.prefillRatio + float64(j.responseTokens)
}

func (e fakeEngine) duration(tokens float64, j *job) time.Duration {
	return time.Duration(tokens / (e.tokensPerSecond * j.slotSpeed) * float64(time.Second))
}

// workloadMix describes the requests of a workload.
type workloadMix struct {
	longShare                         float64 // of the number of requests
	shortDeadline                     time.Duration
	longDeadline                      time.Duration
	patience                          time.Duration // how long callers wait for the target to start; 0 for no limit
	shortMaxTokens, longMaxTokens     int
	shortPromptBytes, longPromptBytes int
	shortTokens, longTokens           [2]int
	accounts, bigAccounts             int
	bigAccountsRequestShare           float64
}

// priceCardMix is the workload of the evening press run: short requests for the wording of price cards and a few long
// ones for multilingual card sets. The deadlines are those of the example preset. Callers leave soon after they notice
// a queue: at the latest when the target has not started after the deadline of short work.
var priceCardMix = workloadMix{
	longShare: 0.05, shortDeadline: 5 * time.Second, longDeadline: 60 * time.Second, patience: 5 * time.Second,
	shortMaxTokens: 150, longMaxTokens: 1500, shortPromptBytes: 160, longPromptBytes: 4000,
	shortTokens: [2]int{30, 130}, longTokens: [2]int{400, 1200},
	accounts: 10, bigAccounts: 2, bigAccountsRequestShare: 0.6,
}

func (m workloadMix) drawJob(r *rand.Rand, at time.Duration) *job {
	j := &job{arrivesAt: at, account: m.drawAccount(r), slotSpeed: 0.9 + 0.2*r.Float64()}
	if m.patience > 0 {
		j.callerLeavesAt = at + m.patience
	}
	if r.Float64() < m.longShare {
		j.long, j.maxTokens, j.promptBytes, j.deadline = true, m.longMaxTokens, m.longPromptBytes, at+m.longDeadline
		j.responseTokens = m.longTokens[0] + r.IntN(m.longTokens[1]-m.longTokens[0])
		return j
	}
	j.maxTokens, j.promptBytes, j.deadline = m.shortMaxTokens, m.shortPromptBytes, at+m.shortDeadline
	j.responseTokens = m.shortTokens[0] + r.IntN(m.shortTokens[1]-m.shortTokens[0])
	return j
}

func (m workloadMix) drawAccount(r *rand.Rand) string {
	if r.Float64() < m.bigAccountsRequestShare {
		return string(rune('A' + r.IntN(m.bigAccounts)))
	}
	return string(rune('a' + r.IntN(m.accounts-m.bigAccounts)))
}

// meanCost returns the mean work of a request as a number of generated tokens.
func (m workloadMix) meanCost(e fakeEngine) float64 {
	short := float64(m.shortTokens[0]+m.shortTokens[1])/2 + float64(m.shortPromptBytes)/4/e.prefillRatio
	long := float64(m.longTokens[0]+m.longTokens[1])/2 + float64(m.longPromptBytes)/4/e.prefillRatio
	return short*(1-m.longShare) + long*m.longShare
}

// arrivals draws requests that arrive in a Poisson process of constant rate between two times.
func (m workloadMix) arrivals(r *rand.Rand, from, to time.Duration, perSecond float64) (out []*job) {
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at >= to {
			return out
		}
		out = append(out, m.drawJob(r, at))
	}
}

// inTime reports whether the complete response reached the caller before the deadline, and the target started the work
// before the caller would have left.
func (j *job) inTime() bool {
	stayed := j.callerLeavesAt == 0 || j.startedAt <= j.callerLeavesAt
	return j.state == stateCompleted && stayed && j.finishedAt+dataCentreLatency+clientLatency <= j.deadline
}

// abandonedAt returns the time at which a request that is still queued is abandoned: when its caller leaves, or at its
// deadline.
func (j *job) abandonedAt() time.Duration {
	if j.callerLeavesAt > 0 {
		return min(j.callerLeavesAt, j.deadline)
	}
	return j.deadline
}

// copyJobs returns a copy of the workload, so that both versions receive the same requests.
func copyJobs(jobs []*job) []*job {
	out := make([]*job, len(jobs))
	for i := range jobs {
		j := *jobs[i]
		out[i] = &j
	}
	return out
}

// quantile returns the q-quantile of the values in seconds, or 0 if there are none.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))].Seconds()
}
