package soak_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

// Size of the world of a run, and the promises of its deployment.
const (
	entryCount  = 3
	draftCount  = 4 // targets of the service with streams
	deskCount   = 3
	slots       = 8
	drainBound  = 2 * time.Second
	graceBound  = 8 * time.Second
	applyBound  = 2 * time.Second
	retryShare  = 0.2
	retrySlack  = 30.0
	retryWindow = 10 * time.Second
	// calmWindow is the time after a disturbance in which bounds of time do not hold yet.
	calmWindow = 3 * time.Second
	// targetLease is the time without a sign of life after which the platform drops a target from its list.
	targetLease = 3 * time.Second
)

// route is one route of the configuration.
type route struct {
	Kind, Path, Service string
	Timeout             time.Duration
	Attempts            int
	Version             int // of the first configuration that has it
}

var routes = []route{
	{Kind: "stream", Path: "/draft/", Service: "draft", Timeout: 4 * time.Second, Attempts: 2, Version: 1},
	{Kind: "safe", Path: "/look/", Service: "desk", Timeout: 2 * time.Second, Attempts: 2, Version: 1},
	{Kind: "unsafe", Path: "/book/", Service: "desk", Timeout: 2 * time.Second, Attempts: 1, Version: 1},
}

// versionRoute is the route that a configuration adds.
func versionRoute(version int) route {
	return route{Kind: "safe", Path: fmt.Sprintf("/look-%d/", version), Service: "desk", Timeout: 2 * time.Second, Attempts: 2,
		Version: version}
}

// entryNode is one entry with what lies between it and its neighbours.
type entryNode struct {
	name, callers, ready, control string
	settings                      string
	store                         *faultproxy.Link

	mu       sync.Mutex
	process  *localfleet.Process
	lifetime int
	expected bool       // the process was told to end
	busy     sync.Mutex // held while a fault of the process is in force
}

// world is the whole system of one run with its outside parties.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	ledger  *ledger
	fleet   *localfleet.Fleet
	store   *store.Store
	entries []*entryNode
	mu      sync.Mutex
	runners []*runner
	named   int
	version int

	plannedOnly bool       // only what operators do, so that nothing excuses a request that is cut off
	storeBusy   sync.Mutex // held while a fault of the store is in force
}

func newWorld(t *testing.T, bin string, rng *rand.Rand) *world {
	w := &world{t: t, rng: rng, ledger: newLedger(), fleet: &localfleet.Fleet{Dir: t.TempDir(), Bin: bin}, store: store.Start()}
	t.Cleanup(w.close)
	w.publish()
	for range draftCount {
		w.join("draft")
	}
	for range deskCount {
		w.join("desk")
	}
	for i := range entryCount {
		w.entries = append(w.entries, w.newEntry(fmt.Sprintf("e%d", i+1)))
	}
	for _, e := range w.entries {
		w.writeSettings(e, true)
		w.start(e)
	}
	for _, e := range w.entries {
		if err := localfleet.WaitFor(e.name+" ready", e.isReady); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func (w *world) close() {
	for _, e := range w.entries {
		e.mu.Lock()
		e.expected = true
		e.mu.Unlock()
	}
	if err := w.fleet.Stop(); err != nil {
		w.t.Error(err)
	}
	for _, e := range w.entries {
		e.store.Close()
	}
	for _, r := range w.all() {
		r.close()
	}
	w.store.Close()
}

func (w *world) newEntry(name string) *entryNode {
	e := &entryNode{name: name, settings: filepath.Join(w.fleet.Dir, name+".toml")}
	link, err := faultproxy.New(w.store.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	e.store = link
	for _, addr := range []*string{&e.callers, &e.ready, &e.control} {
		if *addr, err = localfleet.Address(); err != nil {
			w.t.Fatal(err)
		}
	}
	return e
}

func (w *world) writeSettings(e *entryNode, first bool) {
	seeds := ""
	for _, other := range w.entries {
		seeds += fmt.Sprintf("%q,", other.control)
	}
	text := fmt.Sprintf(`node_name = %q
serves = ["front", "control"]
ip = "127.0.0.1"
zone = "a"
internal_ports = [1, 2]
seeds = [%s]
bootstrap = %v
[listen]
frontend = %q
ready = %q
control_plane = %q
[bounds]
drain_ms = %d
grace_s = %g
config_apply_ms = %d
retry_budget_ratio = %g
retry_budget_slack = %g
budget_window_s = %g
[platform]
address = %q
`, e.name, seeds, first, e.callers, e.ready, e.control, drainBound.Milliseconds(), graceBound.Seconds(), applyBound.Milliseconds(),
		retryShare, retrySlack, retryWindow.Seconds(), e.store.Addr())
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// start starts the process of an entry, which must have ended.
func (w *world) start(e *entryNode) {
	p, err := w.fleet.StartWith([]string{platform.SettingsVariable + "=" + e.settings}, e.name, "camphorbankd", "-platform")
	if err != nil {
		w.t.Error(err)
		return
	}
	e.mu.Lock()
	e.process, e.expected = p, false
	e.lifetime++
	e.mu.Unlock()
	go func() {
		<-p.Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		if !e.expected {
			w.t.Errorf("%s ended by itself:\n%s", e.name, tail(p.Log()))
		}
	}()
}

// end ends the process of an entry with a signal, and kills it when the grace is over.
func (w *world) end(e *entryNode, s syscall.Signal) {
	e.mu.Lock()
	e.expected = true
	p := e.process
	e.mu.Unlock()
	if err := p.Signal(s); err != nil {
		return // it has ended
	}
	select {
	case <-p.Done():
	case <-time.After(graceBound):
		w.t.Errorf("%s runs on after its grace", e.name)
		p.Kill()
	}
}

func (e *entryNode) life() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lifetime
}

func (e *entryNode) isReady() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// publish publishes the next configuration, which adds a route.
func (w *world) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	all := routes
	for v := 2; v <= w.version; v++ {
		all = append(all[:len(all):len(all)], versionRoute(v))
	}
	doc := ""
	for i, r := range all {
		doc += fmt.Sprintf(`{"name":"r%d","hostname":"h","prefix":%q,"route_kind":%q,"timeout_ms":%d,"target_latency_ms":500,
			"service":%q,"max_attempts":%d,"stream_resumption":true},`, i, r.Path, r.Kind, r.Timeout.Milliseconds(), r.Service, r.Attempts)
	}
	w.store.Put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"draft"},{"name":"desk"}],
		"tenants":[{"name":"one","api_keys":["key-one"]},{"name":"two","api_keys":["key-two"]}]}`, w.version, doc[:len(doc)-1]))
	w.ledger.locked(func() { w.ledger.versions[w.version] = time.Now() })
}

func (w *world) published() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) all() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*runner(nil), w.runners...)
}

var errNone = errors.New("none left")

// pick takes a target out of those that may leave, of a service that keeps at least two.
func (w *world) pick(rng *rand.Rand) (*runner, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := map[string][]*runner{}
	for _, r := range w.runners {
		if r.listed {
			listed[r.service] = append(listed[r.service], r)
		}
	}
	list := listed[[]string{"draft", "desk"}[rng.IntN(2)]]
	if len(list) < 3 {
		return nil, errNone
	}
	r := list[rng.IntN(len(list))]
	r.listed = false
	return r, nil
}

func tail(log string) string { return log[max(0, len(log)-2000):] }
