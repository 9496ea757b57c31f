package status

import (
	"context"
	"errors"
	"reflect"
	"testing"

	"github.com/camphorbank/camphorbank/internal/alarm"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// TestCollect guards against a fleet status that leaves out a process that does not answer.
func TestCollect(t *testing.T) {
	vms := []wire.VM{{Name: "b", Control: "b"}, {Name: "c", Control: "c"}, {Name: "a", Control: "a"}}
	f := Collect(context.Background(), vms, func(_ context.Context, addr string) (Process, error) {
		if addr == "c" {
			return Process{}, errors.New("refused")
		}
		return Process{Name: addr}, nil
	})
	if len(f.Processes) != 2 || f.Processes[0].Name != "a" || f.Processes[1].Name != "b" {
		t.Errorf("processes %+v", f.Processes)
	}
	if !reflect.DeepEqual(f.Unreachable, []Unreachable{{Name: "c", Error: "refused"}}) {
		t.Errorf("unreachable %+v", f.Unreachable)
	}
}

// TestProblems guards against a missing problem for processes that have different content under one revision, run an
// older revision, are not ready or are unreachable.
func TestProblems(t *testing.T) {
	f := &Fleet{
		Processes: []Process{
			{Name: "a", Ready: true, Revision: 3, Hash: "x"},
			{Name: "b", Ready: true, Revision: 3, Hash: "y"},
			{Name: "c", Ready: true, Revision: 2, Hash: "w", Alarms: []alarm.Alarm{{Name: alarm.ConfigRejected, Detail: "revision 3: no preset"}}},
			{Name: "d", Revision: 3, Hash: "x"},
			{Name: "e", Draining: true, Revision: 3, Hash: "x"},
		},
		Unreachable: []Unreachable{{Name: "f", Error: "refused"}},
	}
	want := []Problem{
		{"b", "revision 3 has another content here than elsewhere"},
		{"c", "revision 2 is behind 3"},
		{"c", "config-rejected: revision 3: no preset"},
		{"d", "not ready"},
		{"f", "unreachable: refused"},
	}
	if got := f.Problems(); !reflect.DeepEqual(got, want) {
		t.Errorf("problems\n%v\nwant\n%v", got, want)
	}
}
