package integration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/adapter/rankhttp"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rankmodel"
	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/harness"
)

const groupRanks = 4

// rankFleet is a fleet with a rank group of stand-in engines and a local process beside each engine.
type rankFleet struct {
	*harness.Fleet
	recordURL string // URL of the stand-in's record of steps and map changes
	locals    []*localfleet.Node
}

func startRankGroup(t *testing.T, args ...string) *rankFleet {
	t.Helper()
	f := newFleet(t)
	f.Proxied = true
	doc, err := os.ReadFile("../../examples/etikettwerk.toml")
	check(t, err)
	edit := strings.NewReplacer("ranks = 8", fmt.Sprintf("ranks = %d", groupRanks), "layers = 24", "layers = 2", "experts = 64", "experts = 8",
		"slots_per_rank = 10", "slots_per_rank = 4", "expert_bytes = 44040192", "expert_bytes = 1000000", "revision = 1\n", "revision = 2\n",
		"rebalance_skew = 1.02\n", "rebalance_skew = 1.001\n", "rebalance_interval = \"60s\"", "rebalance_interval = \"300ms\"")
	check(t, f.PublishConfig(2, []byte(edit.Replace(string(doc)))))
	var addrs []string
	for range groupRanks {
		a, err := localfleet.Address()
		check(t, err)
		addrs = append(addrs, a)
	}
	addr, _, err := f.StartStandIn("ranks", "rankgroup", append([]string{"-ranks", strings.Join(addrs, ","), "-report", "40ms"}, args...)...)
	check(t, err)
	g := &rankFleet{Fleet: f, recordURL: "http://" + addr + "/record"}
	for r, a := range addrs {
		vm := wire.VM{Name: fmt.Sprintf("rank-%d", r), DataCentre: "zh-1", Kind: wire.KindDraft, Serves: "wording", Group: "wording-a", Rank: r}
		n, err := f.StartLocal(vm, "http://"+a, 8)
		check(t, err)
		g.locals = append(g.locals, n)
	}
	return g
}

// engineRecord returns the stand-in's record of the steps and map changes of all ranks.
func (g *rankFleet) engineRecord(t *testing.T) rankmodel.Record {
	t.Helper()
	var r rankmodel.Record
	check(t, localfleet.GetJSON(g.recordURL, &r))
	return r
}

func (g *rankFleet) states(t *testing.T) []port.RankState {
	t.Helper()
	out := make([]port.RankState, groupRanks)
	for r, n := range g.locals {
		check(t, localfleet.GetJSON(n.TargetURL+rankhttp.PathState, &out[r]))
	}
	return out
}

// waitForHold waits until the engine of a rank holds a step.
func (g *rankFleet) waitForHold(t *testing.T, r int) {
	t.Helper()
	check(t, localfleet.WaitFor(fmt.Sprintf("hold at rank %d", r), func() bool { return g.states(t)[r].Hold != nil }))
}

// waitForMapChange waits until all ranks use the map of an epoch after oldEpoch and have no hold, and until the group
// runs further steps.
func (g *rankFleet) waitForMapChange(t *testing.T, oldEpoch int64) {
	t.Helper()
	check(t, localfleet.WaitFor(fmt.Sprintf("a map after epoch %d", oldEpoch), func() bool {
		for _, s := range g.states(t) {
			if s.Epoch <= oldEpoch || s.Hold != nil {
				return false
			}
		}
		return g.engineRecord(t).Epoch > oldEpoch
	}))
	steps := g.engineRecord(t).Steps
	check(t, localfleet.WaitFor("further steps", func() bool { return g.engineRecord(t).Steps > steps+10 }))
}

// checkReports checks the status of the group that operators see, and the dry run of a plan.
func (g *rankFleet) checkReports(t *testing.T) {
	t.Helper()
	p, err := g.locals[0].Status()
	check(t, err)
	if p.Group == nil || p.Group.Decision == nil || !p.Group.Decision.Commit || p.Group.Plan == nil || p.Group.Skew < 1 {
		t.Errorf("status of the group: %+v", p.Group)
	}
	var plan status.DryRun
	out, err := exec.Command(filepath.Join(g.Bin, "camphorbank"), "plan", "-json", "-group", p.Group.Name, "-process", g.locals[1].Operators).Output()
	check(t, err)
	check(t, json.Unmarshal(out, &plan))
	if plan.Reason == "" || plan.Bound < 1 || plan.SkewBefore < plan.Bound-1e-9 {
		t.Errorf("dry run: %+v", plan)
	}
}

// injectFault injects a fault into the group in the middle of a map change and returns the function that ends it.
func (g *rankFleet) injectFault(t *testing.T, rng *rand.Rand, kind int) func() {
	t.Helper()
	other := 1 + rng.IntN(groupRanks-1)
	n := g.locals[other]
	g.waitForHold(t, rng.IntN(groupRanks))
	switch kind {
	case 0: // the coordinator is killed between the promises of the ranks and the end of the decision
		g.locals[0].Kill()
		return func() { check(t, g.Restart(g.locals[0])) }
	case 1: // a local process is suspended during the change and resumed after another coordinator has taken over
		check(t, n.Suspend())
		g.locals[0].Kill()
		check(t, g.Restart(g.locals[0]))
		return func() { check(t, n.Resume()) }
	case 2: // a participant is killed
		n.Kill()
		return func() { check(t, g.Restart(n)) }
	case 3: // a participant does not receive the decision
		harness.LinksOf(n).Control.Partition()
		return harness.LinksOf(n).Control.Heal
	default: // the coordinator is suspended and later continues where it was
		check(t, g.locals[0].Suspend())
		return func() { check(t, g.locals[0].Resume()) }
	}
}

// TestGroupSwitchUnderFaults guards against a step in which two ranks use different maps, and against a map change
// that does not complete after the faults end, with engines that check fencing numbers and engines that ignore them.
func TestGroupSwitchUnderFaults(t *testing.T) {
	const kinds = 5
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks_fence=%t", checks), func(t *testing.T) {
			t.Parallel()
			seed := seedOf(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			g := startRankGroup(t, fmt.Sprintf("-checks-fence=%t", checks), "-stall", "100ms", "-seed", fmt.Sprint(seed))
			g.waitForMapChange(t, 0)
			g.checkReports(t)
			for _, kind := range rng.Perm(kinds) {
				end := g.injectFault(t, rng, kind)
				before := g.engineRecord(t)
				end()
				g.waitForMapChange(t, before.Epoch)
			}
			if r := g.engineRecord(t); len(r.Mixed) > 0 {
				t.Errorf("steps %v had two maps", r.Mixed)
			} else {
				t.Logf("%d steps, maps changed at %v", r.Steps, r.Changes)
			}
		})
	}
}

// TestGroupJudgeSeesTwoMaps guards against a check that cannot fail: if engines begin steps in spite of their holds and
// a local process is suspended during the decision, the record must show steps with two maps.
func TestGroupJudgeSeesTwoMaps(t *testing.T) {
	t.Parallel()
	g := startRankGroup(t, "-ignore-hold", "-stall", "100ms") // without stalls, holds end before a poll sees them
	for range 20 {
		g.waitForHold(t, groupRanks-1)
		check(t, g.locals[groupRanks-1].Suspend())
		begun := g.engineRecord(t).Steps
		check(t, localfleet.WaitFor("steps past the change", func() bool { return g.engineRecord(t).Steps > begun+300 }))
		mixed := g.engineRecord(t).Mixed
		check(t, g.locals[groupRanks-1].Resume())
		if len(mixed) > 0 {
			t.Logf("step %d is the first of %d with two maps", mixed[0], len(mixed))
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("no step with two maps although holds were ignored")
}
