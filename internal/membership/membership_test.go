package membership

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// fakePlatform is a VM list and a clock that the test controls.
type fakePlatform struct {
	vms  []wire.VM
	down bool
	now  time.Time
}

func (p *fakePlatform) List(context.Context) ([]wire.VM, error) {
	if p.down {
		return nil, errors.New("down")
	}
	return p.vms, nil
}

func (p *fakePlatform) Now() time.Time { return p.now }

func newView(vms ...wire.VM) (*fakePlatform, *View) {
	p := &fakePlatform{vms: vms, now: time.Unix(1000, 0)}
	v := New(p, WithSelf("self"), WithClock(p))
	_ = v.Refresh(context.Background())
	return p, v
}

// advance moves the clock forward by d and refreshes the view each second. It calls beforeRefresh before each refresh.
func (p *fakePlatform) advance(v *View, d time.Duration, beforeRefresh func()) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(time.Second)
		beforeRefresh()
		_ = v.Refresh(context.Background())
	}
}

func target(name string, port int) wire.VM {
	return wire.VM{
		Name: name, Role: wire.RoleTarget, State: wire.StateLive, Kind: wire.KindDraft, Serves: "wording",
		Control: fmt.Sprintf("10.0.0.1:%d", port), Data: fmt.Sprintf("10.0.0.2:%d", port),
	}
}

// formatNames lists the names of the VMs, with an exclamation mark after those that are leaving.
func formatNames(vms []wire.VM) string {
	var out []string
	for _, vm := range vms {
		n := vm.Name
		if vm.State == wire.StateLeaving {
			n += "!"
		}
		out = append(out, n)
	}
	return fmt.Sprint(out)
}

func expectTargets(t *testing.T, v *View, what, want string) {
	t.Helper()
	if got := formatNames(v.Targets(wire.KindDraft, "wording")); got != want {
		t.Errorf("%s: targets %s, want %s", what, got, want)
	}
}

// TestAbsentVMs guards against targets that are dropped because the platform does not answer or its list is out of
// date, and against VMs that are gone but never removed from the view.
func TestAbsentVMs(t *testing.T) {
	p, v := newView(target("a", 1), target("b", 2), target("c", 3))
	nothing := func() {}
	p.down = true
	p.advance(v, time.Hour, nothing)
	expectTargets(t, v, "platform silent for an hour", "[a b c]")
	p.down, p.vms = false, []wire.VM{target("a", 1)}
	p.advance(v, absenceGrace, nothing)
	expectTargets(t, v, "two missing from the list", "[a b c]")
	answer := func() { v.Responded("b") }
	p.advance(v, maxAbsence/2, answer)
	expectTargets(t, v, "one of them responds", "[a b]")
	p.advance(v, maxAbsence, answer)
	expectTargets(t, v, "absent for too long", "[a]")
	p.vms = []wire.VM{target("a", 1), target("b", 2)}
	p.advance(v, time.Second, nothing)
	expectTargets(t, v, "listed again", "[a b]")
}

// TestSilentVMIsRemoved guards against a VM that is neither listed nor responding but stays in the view.
func TestSilentVMIsRemoved(t *testing.T) {
	p, v := newView(target("a", 1), target("b", 2))
	v.Responded("b")
	p.vms = p.vms[:1]
	p.advance(v, responseWindow, func() {})
	expectTargets(t, v, "within the response window", "[a b]")
	p.advance(v, 2*time.Second, func() {})
	expectTargets(t, v, "after the response window", "[a]")
}

// TestAddressReuse guards against a target in the view that is gone and whose address now belongs to another VM.
func TestAddressReuse(t *testing.T) {
	p, v := newView(target("a", 1), target("b", 2))
	p.vms = []wire.VM{target("a", 1), target("c", 2)}
	p.advance(v, time.Second, func() { v.Responded("b") })
	expectTargets(t, v, "new VM at the address of an absent one", "[a c]")
	p.vms = []wire.VM{target("a", 1), target("c", 2), target("d", 1)}
	p.advance(v, time.Second, func() {})
	expectTargets(t, v, "both names listed", "[c d]")
	v.Heard(wire.Hello{Name: "e", Control: "10.0.0.1:2"})
	expectTargets(t, v, "another name answers", "[d]")
	p.advance(v, 3*time.Second, func() {})
	expectTargets(t, v, "list still has the old name", "[d]")
	v.Heard(wire.Hello{Name: "c", Control: "10.0.0.1:2"})
	expectTargets(t, v, "the listed name answers", "[c d]")
}

// TestDrainMark guards against a target that reports that it drains but is shown as live, and against a drain mark
// that persists after the process restarted.
func TestDrainMark(t *testing.T) {
	p, v := newView(target("a", 1), target("b", 2))
	v.Heard(wire.Hello{Name: "a", Control: "10.0.0.1:1", Draining: true})
	expectTargets(t, v, "draining", "[a! b]")
	if vm, ok := v.VM("a"); !ok || vm.State != wire.StateLeaving {
		t.Errorf("VM: %+v", vm)
	}
	v.Heard(wire.Hello{Name: "a", Control: "10.0.0.1:1"})
	expectTargets(t, v, "restarted", "[a b]")
	v.Heard(wire.Hello{Name: "a", Control: "10.0.0.1:1", Draining: true})
	p.advance(v, drainMarkLifetime+time.Second, func() {})
	expectTargets(t, v, "drain mark expired", "[a b]")
}

// TestLeavingSignal guards against a process that is not signalled when its VM is marked as leaving, or is signalled
// when another VM is.
func TestLeavingSignal(t *testing.T) {
	p, v := newView(target("self", 1), target("b", 2))
	p.vms[1].State = wire.StateLeaving
	p.advance(v, time.Second, func() {})
	select {
	case <-v.Leaving():
		t.Fatal("signal for another VM")
	default:
	}
	if got := formatNames(v.Peers()); got != "[b!]" {
		t.Errorf("peers %s", got)
	}
	p.vms[0].State = wire.StateLeaving
	p.advance(v, 2*time.Second, func() {})
	select {
	case <-v.Leaving():
	default:
		t.Fatal("no signal")
	}
}

// TestTargetsDoesNotAllocate guards against allocations in each routing decision, which reads the targets.
func TestTargetsDoesNotAllocate(t *testing.T) {
	var vms []wire.VM
	for i := range 1200 {
		vms = append(vms, target(fmt.Sprintf("t-%d", i), i+1))
	}
	_, v := newView(vms...)
	if n := testing.AllocsPerRun(100, func() { _ = v.Targets(wire.KindDraft, "wording") }); n != 0 || len(v.Targets(wire.KindDraft, "wording")) != 1200 {
		t.Errorf("%v allocations for %d targets", n, len(v.Targets(wire.KindDraft, "wording")))
	}
}

// TestTargetsHaveDistinctAddresses guards against two targets with the same address, a listed VM that is missing
// although no other claims its address, and an earlier result that changes. It uses random lists, outages and
// responses.
func TestTargetsHaveDistinctAddresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, v := newView()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := v.Targets(wire.KindDraft, "wording")
			kept := slices.Clone(before)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				p.vms = nil
				for _, i := range rapid.SliceOfDistinct(rapid.IntRange(0, 5), rapid.ID[int]).Draw(t, "listed") {
					p.vms = append(p.vms, target(fmt.Sprint("vm-", i), rapid.IntRange(1, 4).Draw(t, "port")))
				}
			case 1:
				p.advance(v, time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second, func() {})
			case 2:
				v.Responded(fmt.Sprint("vm-", rapid.IntRange(0, 5).Draw(t, "vm")))
			case 3:
				p.down = !p.down
			}
			if !slices.Equal(before, kept) {
				t.Fatal("an earlier result changed")
			}
			seen := map[string]string{}
			for _, vm := range v.Targets(wire.KindDraft, "wording") {
				if other := seen[vm.Control]; other != "" {
					t.Fatalf("%s and %s at %s", other, vm.Name, vm.Control)
				}
				seen[vm.Control] = vm.Name
			}
		}
		p.down = false
		p.advance(v, time.Second, func() {})
		for _, vm := range p.vms {
			alone := !slices.ContainsFunc(p.vms, func(o wire.VM) bool { return o.Name != vm.Name && o.Control == vm.Control })
			if got, ok := v.VM(vm.Name); alone && (!ok || got.Control != vm.Control) {
				t.Fatalf("listed VM %s is missing", vm.Name)
			}
		}
	})
}
