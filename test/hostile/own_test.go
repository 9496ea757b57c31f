package hostile

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// ownMemoryMB and ownMaxSockets bound a process with the product's own interface.
	ownMemoryMB   = 128
	ownMaxSockets = 240
	// ownBodyBytes is below the size of a body that the interface accepts.
	ownBodyBytes = 1 << 20
)

// startOwnFleet starts an entry and a local process beside a model engine.
func startOwnFleet(t *testing.T) (entry, local *process) {
	t.Helper()
	f := &localfleet.Fleet{Dir: t.TempDir(), Bin: binDir,
		Limits: fmt.Sprintf("[limits]\nmemory_mb = %d\nsockets = %d\n", ownMemoryMB, ownMaxSockets)}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Log(err)
		}
	})
	check(t, f.StartPlatform())
	doc, err := os.ReadFile("../../examples/etikettwerk.toml")
	check(t, err)
	check(t, f.PublishConfig(1, doc))
	engine, _, err := f.StartStandIn("engine", "engine")
	check(t, err)
	l, err := f.StartLocal(wire.VM{Name: "wording-1", DataCentre: "zh-1", Kind: wire.KindDraft, Serves: "wording"}, "http://"+engine, 8)
	check(t, err)
	e, err := f.StartEntry("entry-1", "zh-1")
	check(t, err)
	entry = &process{Process: e.Process, callers: e.Callers, control: e.VM.Control, metrics: e.Operators,
		memoryMB: ownMemoryMB, maxSockets: ownMaxSockets}
	local = &process{Process: l.Process, callers: l.VM.Data, control: l.VM.Control, metrics: l.Operators,
		memoryMB: ownMemoryMB, maxSockets: ownMaxSockets}
	check(t, entry.draft())
	return entry, local
}

// draft asks an entry for a short draft until it is answered.
func (p *process) draft() error {
	const body = `{"model":"wording","prompt":"a","max_tokens":2}`
	return attempt(func(int) error {
		return p.sendOnce(p.callers, fmt.Sprintf("POST /v1/drafts HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key\r\n"+
			"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	})
}

// isHealthy asks the operators' listener for the health of the process until it is answered.
func (p *process) isHealthy() error {
	return attempt(func(int) error { return p.sendOnce(p.metrics, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n") })
}

// ownClients returns misbehaving clients of a listener of the own interface whose path takes JSON.
func ownClients(path string) client {
	start := `{"id":{"request":"r","number":1},"kind":"draft","model":"wording","max_tokens":2,"prompt":"` + strings.Repeat("a", ownBodyBytes)
	texts := []string{
		"",
		"POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key\r\nContent-Type: application/json\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", len(start)+3) + start,
		"POST " + path + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer demo-key\r\nContent-Type: application/json\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(start), start),
		manyFields(15 << 10),
		strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n", 2000),
	}
	return func(c net.Conn, n int) { send(c, texts[n%len(texts)]) }
}

// TestCrowdAtOwnCallers guards against clients that use up the memory or the descriptors of an entry with the own interface.
func TestCrowdAtOwnCallers(t *testing.T) {
	entry, _ := startOwnFleet(t)
	withstand(t, entry, []answered{{"a draft", entry.draft}, {"the health check", entry.isHealthy}},
		&crowd{addr: entry.callers, size: crowdSize, reads: true, act: ownClients("/v1/drafts")})
}

// TestCrowdAtOwnOperators guards against the same at the listener of the operators.
func TestCrowdAtOwnOperators(t *testing.T) {
	entry, _ := startOwnFleet(t)
	withstand(t, entry, []answered{{"a draft", entry.draft}, {"the health check", entry.isHealthy}},
		&crowd{addr: entry.metrics, size: crowdSize, reads: true, act: ownClients("/status")})
}

// TestCrowdAtOwnLocalProcess guards against the same at the listeners of a local process for data and control.
func TestCrowdAtOwnLocalProcess(t *testing.T) {
	entry, local := startOwnFleet(t)
	withstand(t, local, []answered{{"a draft", entry.draft}, {"the health check", local.isHealthy}},
		&crowd{addr: local.callers, size: crowdSize / 2, reads: true, act: ownClients(wire.AttemptPath)},
		&crowd{addr: local.control, size: crowdSize / 2, reads: true, act: controlClients()})
}
