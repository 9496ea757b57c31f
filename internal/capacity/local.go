package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// localProbes lists the probes of the memory and time of a local process.
func localProbes() []Probe {
	return []Probe{
		{"local_ended_bytes", localEndedBytes},
		{"local_queue_bytes", localQueueBytes},
		{"local_attempt_ns", localAttemptNS},
	}
}

// attemptsPerTargetAndHour is the number of attempts that one target receives at the peak in one hour, the time for
// which it remembers them.
const attemptsPerTargetAndHour = RequestsPerSecond / Targets * 3600

// attemptInterval is the time between two attempts at one target at the peak, when 1,200 targets share 6,300 requests a
// second.
const attemptInterval = 190 * time.Millisecond

// localEndedBytes measures the memory that the attempt table keeps for ended attempts with an empty answer.
func localEndedBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "local", Unit: "bytes", Per: "attempts remembered", TargetSize: attemptsPerTargetAndHour}
	return sweep(m, []int{5000, 10000, 20000}, func(attempts int) (float64, error) {
		return heapBytes(func() (any, error) {
			clock := &manualClock{now: time.Unix(1_000_000, 0)}
			table := attempt.NewTable("i", clock)
			for i := range attempts {
				runAttempt(table, i)
				clock.now = clock.now.Add(attemptInterval)
				table.Sweep()
			}
			return table, nil
		})
	})
}

// manualClock is a clock whose time advances only when it is set.
type manualClock struct{ now time.Time }

// Now returns the time that was set last.
func (c *manualClock) Now() time.Time { return c.now }

func runAttempt(table *attempt.Table, i int) {
	a := wire.Attempt{
		ID: wire.AttemptID{Request: fmt.Sprintf("%032x", i), Number: 1}, Incarnation: "i", Kind: wire.KindDraft,
		Account: "account", RemainingMS: 1000, MaxTokens: 10,
	}
	if run, created := table.Begin(a); created && run.Dispatch(func() {}) {
		run.End(0, 0, 0)
	}
}

// localQueueBytes measures the memory of the requests in the queue of a target whose slots are taken.
func localQueueBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "local", Unit: "bytes", Per: "queued requests", TargetSize: 1000}
	return sweep(m, []int{250, 500, 1000}, func(requests int) (float64, error) {
		return heapBytes(func() (any, error) {
			queue := newQueue()
			for i := range requests {
				if _, refusal := queue.Enter(queueWork(i)); refusal != nil {
					return nil, fmt.Errorf("request %d refused: %s", i, refusal.Reason)
				}
			}
			return queue, nil
		})
	})
}

func newQueue() *admission.Queue {
	policy := &admission.Policy{AdmitLongDrafts: true, ShortMaxTokens: 200, MaxWait: [2]time.Duration{time.Hour, time.Hour}}
	return admission.New(admission.Options{Clock: port.SystemClock{}, Slots: 8, Policy: func() *admission.Policy { return policy }})
}

func queueWork(i int) admission.Work {
	return admission.Work{
		Account: fmt.Sprintf("account-%d", i%Accounts), PromptBytes: 400, MaxTokens: 50,
		Deadline: time.Now().Add(time.Hour), Decide: func(*admission.Refusal) {},
	}
}

// localAttemptNS measures the time that the queue and the attempt table take for one attempt, from its registration to
// its end, while other requests are queued.
func localAttemptNS(context.Context) (Measurement, error) {
	m := Measurement{Role: "local", Unit: "ns an attempt", Per: "queued requests beside it", TargetSize: 1000}
	return sweep(m, []int{100, 200, 400}, func(queued int) (float64, error) {
		queue := newQueue()
		for i := range queued {
			queue.Enter(queueWork(i))
		}
		table := attempt.NewTable("i", port.SystemClock{})
		number := 0
		return fastestNanoseconds(500, func(int) {
			number++
			if job, refusal := queue.Enter(queueWork(number)); refusal == nil {
				runAttempt(table, number)
				job.Leave()
			}
		}), nil
	})
}
