// Package alarm watches conditions of a process that an operator should look at, and logs when they begin and end.
package alarm

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Name names an alarm. docs/OPERATIONS.md says what to do about each.
type Name string

// Alarms.
const (
	NoConfiguration     Name = "no-configuration"
	ConfigRejected      Name = "config-rejected"
	ConfigConflict      Name = "config-conflict"
	ConfigServiceSilent Name = "config-service-silent"
	VMListSilent        Name = "vm-list-silent"
	CertificateExpires  Name = "certificate-expires"
	RefusalsHigh        Name = "refusals-high"
	OutcomesUnknown     Name = "outcomes-unknown"
	RetryBudgetSpent    Name = "retry-budget-spent"
	FirstTokenSlow      Name = "first-token-slow"
	TokenGapLong        Name = "token-gap-long"
	QueueLong           Name = "queue-long"
	EngineCommand       Name = "engine-command-failing"
	GroupWaiting        Name = "group-waiting"
	GroupChange         Name = "group-change-failing"
)

// Names lists every alarm.
func Names() []Name {
	return []Name{
		NoConfiguration, ConfigRejected, ConfigConflict, ConfigServiceSilent, VMListSilent, CertificateExpires,
		RefusalsHigh, OutcomesUnknown, RetryBudgetSpent, FirstTokenSlow, TokenGapLong, QueueLong,
		EngineCommand, GroupWaiting, GroupChange,
	}
}

// Condition is one condition that is watched.
type Condition struct {
	Name Name
	// Check says whether the condition holds now, and describes it.
	Check func() (holds bool, detail string)
	// For is how long the condition must hold before the alarm is raised. It is cleared when the condition has not
	// held for the same time, so that a condition that comes and goes makes one alarm.
	For time.Duration
}

// Alarm is a raised alarm.
type Alarm struct {
	Name   Name      `json:"name"`
	Since  time.Time `json:"since"`
	Detail string    `json:"detail"`
}

// Interval is the time between two rounds of a monitor.
const Interval = time.Second

// Monitor watches conditions. It is safe for concurrent use.
type Monitor struct {
	clock  port.Clock
	gauges *expvar.Map // 1 for raised alarms, 0 for others; may be nil

	mu      sync.Mutex
	watched []*watched
}

type watched struct {
	Condition
	holds   bool
	changed time.Time // when holds last changed
	raised  *Alarm
}

// NewMonitor returns a monitor of the conditions. gauges may be nil.
func NewMonitor(clock port.Clock, gauges *expvar.Map, conditions []Condition) *Monitor {
	m := &Monitor{clock: clock, gauges: gauges}
	for _, c := range conditions {
		m.watched = append(m.watched, &watched{Condition: c, changed: clock.Now()})
		m.gauge(c.Name, 0)
	}
	return m
}

// Run makes rounds until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		m.Round()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Round checks every condition once.
func (m *Monitor) Round() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for _, w := range m.watched {
		m.update(w, now)
	}
}

func (m *Monitor) update(w *watched, now time.Time) {
	holds, detail := w.Check()
	if holds != w.holds {
		w.holds, w.changed = holds, now
	}
	if holds && w.raised != nil {
		w.raised.Detail = detail
	}
	if holds == (w.raised != nil) || now.Sub(w.changed) < w.For {
		return
	}
	if holds {
		w.raised = &Alarm{Name: w.Name, Since: w.changed, Detail: detail}
		m.gauge(w.Name, 1)
		log.WithFields(log.Fields{"alarm": string(w.Name), "detail": detail}).Warn("alarm raised")
		return
	}
	log.WithFields(log.Fields{"alarm": string(w.Name), "raised_for": now.Sub(w.raised.Since).Round(time.Second).String()}).Info("alarm cleared")
	w.raised = nil
	m.gauge(w.Name, 0)
}

func (m *Monitor) gauge(name Name, value int64) {
	if m.gauges == nil {
		return
	}
	v := new(expvar.Int)
	v.Set(value)
	m.gauges.Set(string(name), v)
}

// Raised returns the raised alarms in the order of the conditions. A nil monitor has none.
func (m *Monitor) Raised() []Alarm {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Alarm
	for _, w := range m.watched {
		if w.raised != nil {
			out = append(out, *w.raised)
		}
	}
	return out
}
