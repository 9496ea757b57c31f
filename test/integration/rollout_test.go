package integration

import (
	"bytes"
	"testing"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/outcome"
)

// TestVersionAndPresetChangeLoseNoRequest guards against requests that are lost while a model's targets change their
// version and the preset in force changes, against more than one of four targets out of service at once, and against
// an adapter that is used before an engine has loaded it.
func TestVersionAndPresetChangeLoseNoRequest(t *testing.T) {
	f := startFleet(t, false, 2, engines(4, "-load", "300ms", "-step", "2ms", "-adapters", "de"))
	load := startLoad(t, f, 4)
	check(t, localfleet.WaitFor("load", func() bool { return load.completed() > 50 }))
	body := exampleDocument(t, 2, "peak")
	check(t, f.PublishConfig(2, bytes.Replace(body, []byte("version = \"1\""), []byte("version = \"2\""), 1)))
	atOnce, refusals := 0, map[outcome.Reason]int{}
	check(t, localfleet.WaitFor("all targets serve the new version", func() bool {
		done, updating := 0, 0
		for _, n := range f.targets {
			p := statusOf(t, n)
			if p.Engine.Updating {
				updating++
			}
			if p.Engine.Version == "2" && !p.Engine.Updating && p.Preset == "peak" && len(p.Engine.Adapters) == 3 {
				done++
			}
		}
		atOnce = max(atOnce, updating)
		return done == len(f.targets)
	}))
	completed := load.completed()
	for _, got := range load.finish() {
		refusals[outcome.Reason(got.reason)]++
	}
	t.Logf("%d drafts completed, refusals %v, at most %d of %d targets out of service", completed, refusals, atOnce, len(f.targets))
	if len(refusals) > 0 || atOnce > 1 {
		t.Errorf("refusals %v, %d targets out of service at once", refusals, atOnce)
	}
	for _, n := range f.targets {
		var m struct{ Changes int }
		check(t, localfleet.GetJSON(n.TargetURL+"/v1/model", &m))
		if m.Changes != 1 {
			t.Errorf("%s changed its version %d times", n.VM.Name, m.Changes)
		}
	}
}
