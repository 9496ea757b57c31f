package alarm

import (
	"expvar"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/report"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// TestMonitor guards against an alarm for a condition that is shorter than its For, and against an alarm that is raised
// and cleared along with a flapping condition.
func TestMonitor(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1_000_000, 0)}
	holds, gauges := false, new(expvar.Map)
	m := NewMonitor(clock, gauges, []Condition{{QueueLong, func() (bool, string) { return holds, "detail" }, 3 * Interval}})
	for i, step := range []struct{ holds, raised bool }{
		{false, false}, {true, false}, {false, false}, {true, false}, {true, false}, {true, false}, {true, true},
		{false, true}, {true, true}, {false, true}, {false, true}, {false, true}, {false, false},
	} {
		holds = step.holds
		m.Round()
		want := "0"
		if step.raised {
			want = "1"
		}
		if got := m.Raised(); len(got) != int(want[0]-'0') || gauges.Get(string(QueueLong)).String() != want {
			t.Fatalf("round %d: raised %v, gauge %s, want %s", i, got, gauges.Get(string(QueueLong)), want)
		}
		clock.now = clock.now.Add(Interval)
	}
}

// TestServiceConditions guards against bad service that raises no alarm, and against alarms caused by a few requests.
func TestServiceConditions(t *testing.T) {
	good := report.Observation{Class: report.ClassShort, Outcome: outcome.Completed, FirstToken: 50 * time.Millisecond}
	slowOne, refused, spent, lost := good, good, good, good
	slowOne.FirstToken = time.Second
	refused.Outcome, refused.Reason = outcome.NotRun, outcome.QueueFull
	spent.Outcome, spent.Reason = outcome.NotRun, outcome.RetryBudget
	lost.Outcome, lost.Reason = outcome.Unknown, outcome.StreamBroken
	for name, c := range map[string]struct {
		observations []report.Observation
		each         int
		gap          time.Duration
		want         string
	}{
		"good":    {[]report.Observation{good}, 100, 10 * time.Millisecond, ""},
		"few":     {[]report.Observation{refused, lost}, 5, 10 * time.Millisecond, ""},
		"refused": {[]report.Observation{good, refused}, 100, 10 * time.Millisecond, "refusals-high"},
		"lost":    {[]report.Observation{good, lost}, 100, 10 * time.Millisecond, "outcomes-unknown"},
		"spent":   {[]report.Observation{spent}, 1, 10 * time.Millisecond, "retry-budget-spent"},
		"slow":    {[]report.Observation{slowOne}, 100, time.Second, "first-token-slow token-gap-long"},
	} {
		r := report.NewRecorder(&fakeClock{now: time.Unix(1_000_000, 0)})
		for range c.each {
			for _, o := range c.observations {
				r.RecordRequest(o)
			}
			r.RecordTokenGap(report.ClassShort, c.gap)
		}
		var got []string
		for _, condition := range ServiceConditions(r) {
			if holds, _ := condition.Check(); holds {
				got = append(got, string(condition.Name))
			}
		}
		if strings.Join(got, " ") != c.want {
			t.Errorf("%s: %v, want %s", name, got, c.want)
		}
	}
}

// TestAlarmsAreDocumented guards against an alarm that docs/OPERATIONS.md does not describe.
func TestAlarmsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range Names() {
		if !strings.Contains(string(page), "| `"+string(name)+"` |") {
			t.Errorf("docs/OPERATIONS.md lacks the alarm %s", name)
		}
	}
}
