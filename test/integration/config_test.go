package integration

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/status"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/harness"
)

// maxPropagationTime is the time within which an accepted revision must be in force in all processes.
const maxPropagationTime = 7 * time.Second

// exampleDocument returns the example configuration document with another revision and preset.
func exampleDocument(t *testing.T, revision int64, preset string) []byte {
	t.Helper()
	body, err := os.ReadFile("../../examples/etikettwerk.toml")
	check(t, err)
	body = bytes.Replace(body, []byte("revision = 1\n"), fmt.Appendf(nil, "revision = %d\n", revision), 1)
	return bytes.Replace(body, []byte("preset_in_force = \"ordinary\""), fmt.Appendf(nil, "preset_in_force = %q", preset), 1)
}

// configFleet starts two processes in each of three data centres: three entries, and three local processes of a
// desk that does not run.
func configFleet(t *testing.T) (*harness.Fleet, []*localfleet.Node) {
	t.Helper()
	f := newFleet(t)
	var nodes []*localfleet.Node
	for i := 1; i <= 3; i++ {
		dataCentre := fmt.Sprintf("zh-%d", i)
		entry, err := f.StartEntry(fmt.Sprintf("entry-%d", i), dataCentre)
		check(t, err)
		vm := wire.VM{Name: fmt.Sprintf("desk-%d", i), DataCentre: dataCentre, Kind: wire.KindCall, Serves: "order-desk"}
		desk, err := f.StartLocal(vm, "http://127.0.0.1:9", 8)
		check(t, err)
		nodes = append(nodes, entry, desk)
	}
	return f, nodes
}

func statusOf(t *testing.T, n *localfleet.Node) status.Process {
	t.Helper()
	p, err := n.Status()
	check(t, err)
	return p
}

func allHaveRevision(t *testing.T, nodes []*localfleet.Node, revision int64) bool {
	for _, n := range nodes {
		if statusOf(t, n).Revision != revision {
			return false
		}
	}
	return true
}

// waitForRevision waits until all nodes have the revision in force and fails the test if that takes longer
// than maxPropagationTime.
func waitForRevision(t *testing.T, what string, nodes []*localfleet.Node, revision int64) {
	t.Helper()
	begin := time.Now()
	for !allHaveRevision(t, nodes, revision) {
		if time.Since(begin) > maxPropagationTime {
			for _, n := range nodes {
				t.Errorf("%s: %s at revision %d, want %d", what, n.VM.Name, statusOf(t, n).Revision, revision)
			}
			t.FailNow()
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%s: revision %d in force in %d processes after %s", what, revision, len(nodes), time.Since(begin).Round(time.Millisecond))
}

type syncMetrics struct {
	Sync struct {
		Older      int `json:"older"`
		Conflicts  int `json:"conflicts"`
		Rejected   int `json:"rejected"`
		PeerErrors int `json:"peer_errors"`
	} `json:"config_sync"`
}

func syncMetricsOf(t *testing.T, n *localfleet.Node) syncMetrics {
	t.Helper()
	var v syncMetrics
	check(t, n.Vars(&v))
	return v
}

// TestConfigServiceDown guards against a revision that does not spread to other processes when only one process read it
// before the configuration service went down.
func TestConfigServiceDown(t *testing.T) {
	f, nodes := configFleet(t)
	check(t, f.SetFaults(nodes[0].VM.Name, localfleet.Faults{}))
	check(t, f.SetFaults("", localfleet.Faults{Down: true}))
	check(t, f.PublishConfig(2, exampleDocument(t, 2, "peak")))
	check(t, localfleet.WaitFor("first process", func() bool { return statusOf(t, nodes[0]).Revision == 2 }))
	check(t, f.SetFaults(nodes[0].VM.Name, localfleet.Faults{Down: true}))
	waitForRevision(t, "service down", nodes, 2)
	check(t, f.SetFaults("", localfleet.Faults{}))
	check(t, f.SetFaults(nodes[0].VM.Name, localfleet.Faults{}))
	check(t, f.PublishConfig(3, exampleDocument(t, 3, "ordinary")))
	waitForRevision(t, "service back", nodes, 3)
}

// TestConfigServiceStale guards against running, restarted or new processes that go back to an older revision because
// the configuration service serves it.
func TestConfigServiceStale(t *testing.T) {
	f, nodes := configFleet(t)
	check(t, f.PublishConfig(2, exampleDocument(t, 2, "peak")))
	waitForRevision(t, "published", nodes, 2)
	check(t, f.SetFaults("", localfleet.Faults{Serve: 1}))
	check(t, localfleet.WaitFor("stale answers", func() bool { return syncMetricsOf(t, nodes[0]).Sync.Older > 0 }))
	nodes[1].Kill()
	check(t, f.Restart(nodes[1]))
	if p := statusOf(t, nodes[1]); p.Revision != 2 || p.Preset != "peak" {
		t.Errorf("restarted process is ready with revision %d, preset %s", p.Revision, p.Preset)
	}
	added, err := f.StartEntry("entry-4", "zh-1")
	check(t, err)
	if p := statusOf(t, added); p.Revision != 2 {
		t.Errorf("new process is ready with revision %d", p.Revision)
	}
	waitForRevision(t, "stale", append(nodes, added), 2)
}

// TestConfigPartition guards against parts of a partitioned fleet that keep different revisions after the partition
// heals.
func TestConfigPartition(t *testing.T) {
	f, nodes := configFleet(t)
	links := map[string]map[string]harness.Links{}
	for _, n := range nodes {
		own, err := f.PublishLinksFor(n.VM.Name)
		check(t, err)
		links[n.VM.Name] = own
	}
	a, b := nodes[:2], nodes[2:]
	forLinksBetween := func(do func(harness.Links)) {
		for _, x := range a {
			for _, y := range b {
				do(links[x.VM.Name][y.VM.Name])
				do(links[y.VM.Name][x.VM.Name])
			}
		}
	}
	cut := func(l harness.Links) { l.Control.Partition() }
	forLinksBetween(cut)
	listed, err := f.PlatformCounts()
	check(t, err)
	check(t, localfleet.WaitFor("all processes read their lists", func() bool {
		now, err := f.PlatformCounts()
		check(t, err)
		return now.VMReads > listed.VMReads+2*len(nodes)
	}))
	for _, n := range b {
		check(t, f.SetFaults(n.VM.Name, localfleet.Faults{Down: true}))
	}
	check(t, f.PublishConfig(2, exampleDocument(t, 2, "peak")))
	waitForRevision(t, "side with the service", a, 2)
	failed := syncMetricsOf(t, a[0]).Sync.PeerErrors
	check(t, localfleet.WaitFor("failed exchanges across the partition", func() bool {
		return syncMetricsOf(t, a[0]).Sync.PeerErrors >= failed+3
	}))
	if !allHaveRevision(t, b, 1) {
		t.Error("the revision crossed the partition")
	}
	forLinksBetween(func(l harness.Links) { l.Control.Heal() })
	waitForRevision(t, "after the partition", nodes, 2)
}

// TestConfigTwoOperators guards against two documents of the same revision that replace each other, and against such a
// conflict that processes do not report.
func TestConfigTwoOperators(t *testing.T) {
	f, nodes := configFleet(t)
	for i, n := range nodes {
		check(t, f.PublishFor(n.VM.Name, 2, exampleDocument(t, 2, []string{"peak", "maintenance"}[i%2])))
	}
	waitForRevision(t, "two documents", nodes, 2)
	before := map[string]string{}
	for _, n := range nodes {
		before[n.VM.Name] = statusOf(t, n).Hash
	}
	check(t, localfleet.WaitFor("reports of the conflict", func() bool {
		for _, n := range nodes {
			if statusOf(t, n).Conflict == "" || syncMetricsOf(t, n).Sync.Conflicts == 0 {
				return false
			}
		}
		return true
	}))
	for _, n := range nodes {
		if p := statusOf(t, n); p.Hash != before[n.VM.Name] {
			t.Errorf("%s changed its content within revision 2", p.Name)
		}
	}
	check(t, f.PublishFor(nodes[0].VM.Name, 3, exampleDocument(t, 3, "ordinary")))
	waitForRevision(t, "next revision", nodes, 3)
	if p := statusOf(t, nodes[0]); p.Conflict != "" {
		t.Errorf("status still reports a conflict: %s", p.Conflict)
	}
}

// TestConfigInvalid guards against an invalid document that comes into force, and against a rejection that operators
// cannot see.
func TestConfigInvalid(t *testing.T) {
	f, nodes := configFleet(t)
	check(t, f.PublishConfig(2, exampleDocument(t, 2, "no-such-preset")))
	check(t, localfleet.WaitFor("rejection", func() bool { return statusOf(t, nodes[0]).Rejected == 2 }))
	p := statusOf(t, nodes[0])
	want := `published:4: preset_in_force: names no preset: "no-such-preset"`
	if p.Revision != 1 || p.RejectedReason != want || syncMetricsOf(t, nodes[0]).Sync.Rejected != 1 {
		t.Errorf("revision %d, reason %q, want 1 and %q", p.Revision, p.RejectedReason, want)
	}
	check(t, f.PublishConfig(3, exampleDocument(t, 3, "peak")))
	waitForRevision(t, "repaired", nodes, 3)
}
