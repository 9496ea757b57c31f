package measure

import (
	"container/heap"
	"time"
)

// simulation is a discrete-event simulation in virtual time. It implements port.Clock.
type simulation struct {
	now    time.Time
	events events
	seq    int
}

type event struct {
	at  time.Time
	seq int // orders events of the same time by the order in which they were scheduled
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].seq < e[k].seq
	}
	return e[i].at.Before(e[k].at)
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newSimulation() *simulation {
	return &simulation{now: time.Date(2026, 1, 5, 18, 0, 0, 0, time.UTC)}
}

// Now returns the virtual time.
func (s *simulation) Now() time.Time { return s.now }

// after schedules the function to run when d has passed.
func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: run})
}

// every schedules the function to run at each interval from now, up to and including until.
func (s *simulation) every(interval, until time.Duration, run func()) {
	for at := interval; at <= until; at += interval {
		s.after(at, run)
	}
}

// run runs all events, also those that events schedule, in the order of their times.
func (s *simulation) run() {
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}
