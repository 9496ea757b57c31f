// Package alarm checks conditions of a process that an operator should look at. A condition that lasts raises an alarm,
// which is logged, shown in the status and published as a gauge until it is cleared.
package alarm

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/port"
)

// Name identifies an alarm. docs/OPERATIONS.md says what to do about each.
type Name string

// Names of all alarms.
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

// Names returns the names of all alarms.
func Names() []Name {
	return []Name{
		NoConfiguration, ConfigRejected, ConfigConflict, ConfigServiceSilent, VMListSilent, CertificateExpires,
		RefusalsHigh, OutcomesUnknown, RetryBudgetSpent, FirstTokenSlow, TokenGapLong, QueueLong,
		EngineCommand, GroupWaiting, GroupChange,
	}
}

// Condition is one condition that a Monitor checks.
type Condition struct {
	Name Name
	// Check reports whether the condition holds now, and describes it for the operator.
	Check func() (holds bool, detail string)
	// MinDuration is how long the condition must hold before the alarm is raised. The alarm is cleared after the
	// condition has not held for the same time, so that a condition that flaps raises one alarm.
	MinDuration time.Duration
}

// Alarm is a raised alarm.
type Alarm struct {
	Name   Name      `json:"name"`
	Since  time.Time `json:"since"`
	Detail string    `json:"detail"`
}

// Interval is the time between two rounds of checks.
const Interval = time.Second

// Monitor checks conditions and holds the raised alarms. It is safe for concurrent use.
type Monitor struct {
	clock  port.Clock
	gauges *expvar.Map // 1 for raised alarms, 0 for others; may be nil

	mu         sync.Mutex
	conditions []*conditionState
}

// conditionState is a condition with the result of its last check and its alarm.
type conditionState struct {
	Condition
	holds     bool
	changedAt time.Time // when holds last changed, or when the monitor was created
	raised    *Alarm
}

// NewMonitor returns a monitor of the conditions, which checks nothing before Run or Round is called. gauges may be
// nil.
func NewMonitor(clock port.Clock, gauges *expvar.Map, conditions []Condition) *Monitor {
	m := &Monitor{clock: clock, gauges: gauges}
	for _, c := range conditions {
		m.conditions = append(m.conditions, &conditionState{Condition: c, changedAt: clock.Now()})
		m.setGauge(c.Name, 0)
	}
	return m
}

// Run calls Round once per Interval until ctx ends.
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
	for _, c := range m.conditions {
		m.update(c, now)
	}
}

func (m *Monitor) update(c *conditionState, now time.Time) {
	holds, detail := c.Check()
	if holds != c.holds {
		c.holds, c.changedAt = holds, now
	}
	if holds && c.raised != nil {
		c.raised.Detail = detail
	}
	if holds == (c.raised != nil) || now.Sub(c.changedAt) < c.MinDuration {
		return
	}
	if holds {
		c.raised = &Alarm{Name: c.Name, Since: c.changedAt, Detail: detail}
		m.setGauge(c.Name, 1)
		log.WithFields(log.Fields{"alarm": string(c.Name), "detail": detail}).Warn("alarm raised")
		return
	}
	log.WithFields(log.Fields{"alarm": string(c.Name), "raised_for": now.Sub(c.raised.Since).Round(time.Second).String()}).Info("alarm cleared")
	c.raised = nil
	m.setGauge(c.Name, 0)
}

func (m *Monitor) setGauge(name Name, value int64) {
	if m.gauges == nil {
		return
	}
	v := new(expvar.Int)
	v.Set(value)
	m.gauges.Set(string(name), v)
}

// Raised returns the raised alarms in the order of the conditions. A nil Monitor has none.
func (m *Monitor) Raised() []Alarm {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Alarm
	for _, c := range m.conditions {
		if c.raised != nil {
			out = append(out, *c.raised)
		}
	}
	return out
}
