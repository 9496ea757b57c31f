package integration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/loadgen"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/test/standin"
)

// TestLoadThroughTwoEntries guards against wrong answers, lost answers and bookings that run twice when many requests
// of all classes and several accounts run at once through two entries, with streams that break at the engines and a
// peak that brings refusals.
func TestLoadThroughTwoEntries(t *testing.T) {
	f := startFleet(t, false, 2, engines(2, "-step", "2ms"), desks(2))
	for _, n := range f.targets[:2] {
		check(t, localfleet.PutJSON(n.TargetURL+"/admin/faults", standin.EngineFaults{BreakEvery: 7, BreakAfter: 3}))
	}
	o := loadgen.Defaults()
	o.Entries = []string{"http://" + f.entries[0].Callers, "http://" + f.entries[1].Callers}
	o.Keys = []string{"demo-key", "example-key-verbund-mittelland"}
	o.Model, o.Service, o.Operation, o.BookingOperation = "wording", "order-desk", "status", "reserve"
	o.Seed, o.Rate, o.Duration, o.Peak = seedOf(t), 60, 3*time.Second, loadgen.Peak{Rate: 450, Start: time.Second, Duration: time.Second}
	o.LongestTokens, o.MaxInFlight = 1500, 2000
	res, err := loadgen.Run(t.Context(), o)
	check(t, err)
	var refused int64
	for _, c := range res.Classes {
		t.Logf("%s: arrived %d, dropped %d, completed %d, not run %d, unknown %d, no answer %d, wrong %d, reasons %v",
			c.Class, c.Arrived, c.Dropped, c.Completed, c.NotRun, c.Unknown, c.NoAnswer, c.Wrong, c.Reasons)
		if c.Wrong+c.NoAnswer+c.Dropped > 0 || c.Completed == 0 || c.Completed+c.NotRun+c.Unknown != c.Arrived {
			t.Errorf("%s: wrong, missing or dropped answers: %q", c.Class, res.WrongExamples)
		}
		refused += c.NotRun
	}
	if refused == 0 {
		t.Error("the peak brought no refusal, so that refusals were not tested")
	}
	booked := res.Class(loadgen.ClassBooking)
	var runs int64
	for booking, n := range f.deskRuns(t) {
		if n > 1 && booking[:len("reserve")] == "reserve" {
			t.Errorf("%s ran %d times", booking, n)
		}
		if booking[:len("reserve")] == "reserve" {
			runs++
		}
	}
	if runs < booked.Completed || runs > booked.Completed+booked.Unknown {
		t.Errorf("%d bookings ran, %d were completed and %d unknown", runs, booked.Completed, booked.Unknown)
	}
	f.runLoadCommand(t, o)
}

// runLoadCommand runs camphorbank load once, which must end by itself with status 0 and report the results of all
// classes.
func (f *fleet) runLoadCommand(t *testing.T, o loadgen.Options) {
	t.Helper()
	p, err := f.Start("load", "camphorbank", "load", "-json", "-entries", strings.Join(o.Entries, ","), "-keys", strings.Join(o.Keys, ","),
		"-model", o.Model, "-service", o.Service, "-operation", o.Operation, "-booking-operation", o.BookingOperation,
		"-rate", "30", "-peak", "60@300ms+300ms", "-duration", "1s", "-longest-tokens", "300")
	check(t, err)
	check(t, localfleet.WaitFor("end of camphorbank load", func() bool {
		select {
		case <-p.Done():
			return true
		default:
			return false
		}
	}))
	var report struct {
		Classes []struct{ Completed, Wrong int64 }
	}
	err = json.Unmarshal([]byte(p.Log()), &report)
	if err != nil || p.ExitCode() != 0 || len(report.Classes) != len(loadgen.Classes()) || report.Classes[0].Completed == 0 {
		t.Errorf("status %d, error %v, output\n%s", p.ExitCode(), err, p.Log())
	}
}
