// Package integration tests entries, local processes and the camphorbank command as real processes on loopback, with
// stand-ins for the targets and the platform, and with faults injected between and into the processes.
package integration

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"

	goahttp "goa.design/goa/v3/http"

	api "github.com/camphorbank/camphorbank/gen/camphorbank"
	"github.com/camphorbank/camphorbank/gen/http/camphorbank/client"
	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/harness"
	"github.com/camphorbank/camphorbank/test/standin"
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(harness.RunWithPrograms(m, &binDir))
}

// newFleet starts the platform stand-in with the example configuration. After the test it stops all processes and fails
// the test if one of them reported a data race or a panic.
func newFleet(t *testing.T) *harness.Fleet {
	t.Helper()
	f := harness.NewFleet(t.TempDir(), binDir)
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
		for _, p := range f.Processes {
			if strings.Contains(p.Log(), "DATA RACE") || strings.Contains(p.Log(), "panic: ") {
				t.Errorf("%s reported a data race or a panic", p.Name)
			}
		}
		if t.Failed() {
			for _, p := range f.Processes {
				t.Logf("log of %s:\n%s", p.Name, p.Log())
			}
		}
	})
	check(t, f.StartPlatform())
	doc, err := os.ReadFile("../../examples/etikettwerk.toml")
	check(t, err)
	check(t, f.PublishConfig(1, doc))
	return f
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func startTarget(t *testing.T, f *harness.Fleet, name, program string, kind wire.Kind, serves string, args ...string) *localfleet.Node {
	t.Helper()
	return startTargetWithSlots(t, f, 8, name, targetSpec{1, program, serves, kind, args})
}

func startTargetWithSlots(t *testing.T, f *harness.Fleet, slots int, name string, s targetSpec) *localfleet.Node {
	t.Helper()
	addr, _, err := f.StartStandIn(name+"-target", s.program, s.args...)
	check(t, err)
	n, err := f.StartLocal(wire.VM{Name: name, DataCentre: "zh-1", Kind: s.kind, Serves: s.serves}, "http://"+addr, slots)
	check(t, err)
	return n
}

func newClient(n *localfleet.Node) *client.Client {
	return client.NewClient("http", n.Callers, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
}

func bearer() *string {
	key := "Bearer demo-key"
	return &key
}

// TestPathServesDraftsAndCalls guards against a break anywhere between a caller and the two kinds of target.
func TestPathServesDraftsAndCalls(t *testing.T) {
	f := newFleet(t)
	startTarget(t, f, "wording-1", "engine", wire.KindDraft, "wording")
	startTarget(t, f, "desk-1", "desk", wire.KindCall, "order-desk")
	n, err := f.StartEntry("entry-1", "zh-1")
	check(t, err)
	cl := newClient(n)
	res, err := cl.Draft()(context.Background(), &api.DraftPayload{Authorization: bearer(), Model: "wording", Prompt: "Käse", MaxTokens: 10})
	check(t, err)
	if want := strings.Join(standin.Words("wording", "Käse", 10), ""); res.(*api.DraftResult).Text != want {
		t.Errorf("text %q, want %q", res.(*api.DraftResult).Text, want)
	}
	res, err = cl.Call()(context.Background(), &api.CallPayload{Authorization: bearer(), Service: "order-desk", Operation: "reserve", Body: "slot-1"})
	check(t, err)
	if got := res.(*api.CallResult); got.Body != "reserve done: slot-1" || got.Outcome != "completed" {
		t.Errorf("unexpected answer %+v", got)
	}
}
