package gateway_test

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// finalAnswerGrace is the time after the time limit of a request within which its caller must have the final answer.
	finalAnswerGrace = 500 * time.Millisecond
	// timerStep is the unit in which await counts time.
	timerStep = 10 * time.Millisecond
)

// await waits until ended has a value, at most until the time limit and then for the grace. It counts the grace in steps of
// a timer. While a busy machine does not run this process, the timers of the gateway are late, and those steps are as well.
func await[T any](ended <-chan T, limit time.Time, grace time.Duration) (value T, inTime bool) {
	wait := time.Until(limit)
	for range grace/timerStep + 1 {
		select {
		case value = <-ended:
			return value, true
		case <-time.After(wait):
		}
		wait = timerStep
	}
	select {
	case value = <-ended:
		return value, true
	default:
		return value, false
	}
}

// awaitCondition waits until the condition holds, for at most the grace, which it counts as await does.
func awaitCondition(condition func() bool, grace time.Duration) bool {
	for range grace / timerStep {
		if condition() {
			return true
		}
		time.Sleep(timerStep)
	}
	return condition()
}

// countedConn counts the bytes that were read from a connection.
type countedConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
