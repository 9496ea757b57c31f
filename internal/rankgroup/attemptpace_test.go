package rankgroup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// silentEngine is an engine that leaves the first attempts of an order unanswered and answers the others after a time.
type silentEngine struct {
	Engine
	silent     int // attempts that are not answered
	answerTime time.Duration
	attempts   int
}

func (e *silentEngine) Order(ctx context.Context, _ Order) error {
	e.attempts++
	if e.attempts <= e.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(e.answerTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestUnansweredOrderHoldsGroupBriefly guards against a group that is held for a fixed, long wait for each attempt of an order that an
// engine leaves unanswered, although its answers take a few milliseconds. An engine that answers slowly must still be waited for.
func TestUnansweredOrderHoldsGroupBriefly(t *testing.T) {
	for name, c := range map[string]struct {
		engine   silentEngine
		longest  time.Duration
		attempts int
	}{
		"fast, answers at once":         {silentEngine{answerTime: 2 * time.Millisecond}, 2 * time.Millisecond, 1},
		"fast, two attempts unanswered": {silentEngine{answerTime: 2 * time.Millisecond, silent: 2}, 25 * time.Millisecond, 3},
		"fast, five unanswered":         {silentEngine{answerTime: 2 * time.Millisecond, silent: 5}, 110 * time.Millisecond, 6},
		"slow":                          {silentEngine{answerTime: 45 * time.Millisecond}, 250 * time.Millisecond, 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := NewAgent(&c.engine, 0)
				start := time.Now()
				reply, err := a.Order(t.Context(), OrderRequest{Order: Order{Op: OpArm}, TimeoutMs: armTimeout.Milliseconds()})
				if took := time.Since(start); err != nil || reply.Result != ResultDone || took > c.longest || c.engine.attempts > c.attempts {
					t.Errorf("%v, %v after %v and %d attempts; want done within %v and %d", reply.Result, err, took, c.engine.attempts, c.longest, c.attempts)
				}
			})
		})
	}
}

// TestSlowOrderToLoadIsNotRepeated guards against a map that is never loaded, because an engine needs some time to answer the order:
// an engine refuses to load a version twice.
func TestSlowOrderToLoadIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := silentEngine{answerTime: 40 * time.Millisecond}
		a := NewAgent(&engine, 0)
		reply, err := a.Order(t.Context(), OrderRequest{Order: Order{Op: OpPrepare}, TimeoutMs: prepareTimeout.Milliseconds()})
		if err != nil || reply.Result != ResultDone || engine.attempts != 1 {
			t.Errorf("%v, %v after %d attempts, want done after 1", reply.Result, err, engine.attempts)
		}
	})
}

// TestAttemptPaceFollowsAnswers guards against orders to an engine whose answers have become slow that are given up and sent again
// each time, and against a wait that stays long after a single slow answer.
func TestAttemptPaceFollowsAnswers(t *testing.T) {
	var p attemptPace
	p.observe(12 * time.Millisecond)
	if got := p.timeout(0); got != 48*time.Millisecond {
		t.Errorf("timeout %v after an answer that took 12 ms, want 48 ms", got)
	}
	for range 100 {
		p.observe(time.Millisecond)
	}
	if got := p.timeout(0); got != minAttemptTimeout {
		t.Errorf("timeout %v after 100 answers that took 1 ms, want %v", got, minAttemptTimeout)
	}
}
