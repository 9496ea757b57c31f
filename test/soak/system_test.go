package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/platform"
	"github.com/camphorbank/camphorbank/test/faultproxy"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
	"github.com/camphorbank/camphorbank/test/standin/store"
)

// Size of the system under test, and the bounds in its settings.
const (
	entryCount  = 3
	rankCount   = 4 // engines of the streaming service, which form one group
	deskCount   = 3
	chatCount   = 12 // engines of the other streaming service, which form no group
	slots       = 8
	drainBound  = 2 * time.Second
	graceBound  = 8 * time.Second
	applyBound  = 2 * time.Second
	retryShare  = 0.2
	retrySlack  = 30.0
	retryWindow = 10 * time.Second
	// settleTime is the time after a fault in which time bounds do not apply yet.
	settleTime = 3 * time.Second
	// Size of the maps of the group, duration of a step, and time to load one expert.
	groupLayers    = 2
	groupExperts   = 8
	groupStepTime  = 20 * time.Millisecond
	expertLoadTime = 40 * time.Millisecond
	// targetLease is the time without a heartbeat after which the platform removes a target from its list.
	targetLease = 3 * time.Second
)

// route is a route of the configuration.
type route struct {
	Kind, Path, Service string
	Timeout             time.Duration
	Attempts            int
	Version             int // first configuration that contains the route
}

var routes = []route{
	{Kind: "stream", Path: "/draft/", Service: "draft", Timeout: 4 * time.Second, Attempts: 2, Version: 1},
	{Kind: "safe", Path: "/look/", Service: "desk", Timeout: 2 * time.Second, Attempts: 2, Version: 1},
	{Kind: "unsafe", Path: "/book/", Service: "desk", Timeout: 2 * time.Second, Attempts: 1, Version: 1},
	{Kind: "stream", Path: "/chat/", Service: "chat", Timeout: 4 * time.Second, Attempts: 2, Version: 1},
}

// versionRoute returns the route that a configuration adds.
func versionRoute(version int) route {
	return route{Kind: "safe", Path: fmt.Sprintf("/look-%d/", version), Service: "desk", Timeout: 2 * time.Second, Attempts: 2,
		Version: version}
}

// node is a camphorbankd process with its addresses and its link to the store.
type node struct {
	name     string
	settings string
	// Entries only:
	callers, ready, control string
	store                   *faultproxy.Link
	// Processes beside ranks only:
	engine string // address of the engine
	port   string

	mu           sync.Mutex
	process      *localfleet.Process
	incarnation  int
	exitExpected *bool      // the present process was told to end
	busy         sync.Mutex // held while a fault of the process is in force
}

// system is the system under test in one run: the camphorbankd processes, the targets and the store.
type system struct {
	t           *testing.T
	rng         *rand.Rand
	recorder    *recorder
	fleet       *localfleet.Fleet
	store       *store.Store
	entries     []*node
	ranks       []*node
	group       *expertgroup.Group
	mu          sync.Mutex
	targets     []*proxiedTarget
	targetCount int
	version     int

	plannedOnly bool       // only operator actions, so that no fault excuses a request that is cut off
	storeBusy   sync.Mutex // held while a fault of the store is in force
	groupBusy   sync.Mutex // held while the group is broken
	config      string     // last published configuration; guarded by mu
	evacuated   bool       // the operator has evacuated evacuatedDataCentre; guarded by mu

	endlessEngines atomic.Int32 // faults in force that make engines answer some calls without end

	crashPart   atomic.Pointer[string] // id of the part that crashes engines, nil before there is one
	partIsSent  atomic.Bool            // clients put crashPart into a share of their prompts
	chatRunning atomic.Int32           // engines of the service chat that have not crashed
	restarts    sync.WaitGroup         // of engines that have crashed

	restartsTogether bool                          // several processes are restarted together, besides other faults
	armOrders        atomic.Int64                  // accepted orders to arm a rank
	history          atomic.Pointer[reportHistory] // nil while engines report their present state to all processes
}

func newSystem(t *testing.T, bin string, seed uint64) *system {
	w := &system{t: t, rng: rand.New(rand.NewPCG(seed, 1)), recorder: newRecorder(), store: store.Start(),
		fleet: &localfleet.Fleet{Dir: t.TempDir(), Bin: bin}, plannedOnly: seed%plannedSeedPeriod == 0,
		restartsTogether: seed%plannedSeedPeriod == 1}
	t.Cleanup(w.close)
	w.publish()
	w.startGroup()
	for range deskCount {
		w.addTarget("desk", nil)
	}
	for range chatCount {
		w.addTarget("chat", nil)
	}
	w.chatRunning.Store(chatCount)
	for i := range entryCount {
		w.entries = append(w.entries, w.newEntry(fmt.Sprintf("e%d", i+1)))
	}
	for _, n := range w.nodes() {
		w.writeSettings(n, true)
		w.start(n)
	}
	for _, n := range w.nodes() {
		if err := localfleet.WaitFor(n.name+" ready", n.isReady); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

func (w *system) close() {
	for _, n := range w.nodes() {
		n.mu.Lock()
		*n.exitExpected = true
		n.mu.Unlock()
	}
	if err := w.fleet.Stop(); err != nil {
		w.t.Error(err)
	}
	for _, e := range w.entries {
		e.store.Close()
	}
	w.restarts.Wait()
	for _, r := range w.allTargets() {
		r.close()
	}
	w.store.Close()
}

func (w *system) newEntry(name string) *node {
	e := &node{name: name, settings: filepath.Join(w.fleet.Dir, name+".toml")}
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

// startGroup starts the engines of the group and creates the nodes for the processes beside them.
func (w *system) startGroup() {
	w.group = expertgroup.New(rand.New(rand.NewPCG(w.rng.Uint64(), 0)), expertgroup.Shape{
		Ranks: rankCount, Layers: groupLayers, Experts: groupExperts, StepTime: groupStepTime, Load: expertLoadTime, Popular: 2,
	})
	w.group.Unfenced = w.rng.IntN(2) == 0
	w.group.Trace = w.traceGroup
	ctx, stop := context.WithCancel(context.Background())
	w.t.Cleanup(stop)
	go w.group.Run(ctx)
	for i := range rankCount {
		r := w.addTarget("draft", w.group.Ranks[i])
		addr, err := localfleet.Address()
		if err != nil {
			w.t.Fatal(err)
		}
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			w.t.Fatal(err)
		}
		name := fmt.Sprintf("r%d", i)
		n := &node{name: name, settings: filepath.Join(w.fleet.Dir, name+".toml"), engine: r.link.Addr(), port: port}
		w.ranks = append(w.ranks, n)
		r.beside.Store(n)
	}
}

// nodes returns all camphorbankd processes.
func (w *system) nodes() []*node {
	return append(w.entries[:len(w.entries):len(w.entries)], w.ranks...)
}

// writeSettings writes the settings file of a node. First is set for the first start, which may bootstrap the system.
func (w *system) writeSettings(e *node, first bool) {
	seeds := ""
	for _, other := range w.entries {
		seeds += fmt.Sprintf("%q,", other.control)
	}
	serves, port, listen := `"front", "control"`, "1", fmt.Sprintf("[listen]\nfrontend = %q\nready = %q\ncontrol_plane = %q", e.callers, e.ready, e.control)
	if e.engine != "" {
		serves, port, listen = `"side"`, e.port, ""
	}
	text := fmt.Sprintf(`node_name = %q
serves = [%s]
ip = "127.0.0.1"
zone = "a"
internal_ports = [%s, %s]
seeds = [%s]
bootstrap = %v
app = %q
%s
[limits]
memory_mb = %d
[bounds]
drain_ms = %d
grace_s = %g
config_apply_ms = %d
evacuation_ms = %d
retry_budget_ratio = %g
retry_budget_slack = %g
budget_window_s = %g
fencing_enforced = %v
[platform]
address = %q
`, e.name, serves, port, port, seeds, first, e.engine, listen, nodeMemoryMB, drainBound.Milliseconds(), graceBound.Seconds(),
		applyBound.Milliseconds(), evacuationBound.Milliseconds(), retryShare, retrySlack, retryWindow.Seconds(), !w.group.Unfenced, w.storeOf(e))
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// storeOf returns the address at which a node reaches the store.
func (w *system) storeOf(n *node) string {
	if n.store == nil {
		return w.store.Addr()
	}
	return n.store.Addr()
}

// start starts the process of a node. An earlier process of the node must have ended.
func (w *system) start(e *node) {
	started := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p, err := w.fleet.StartWithEnv([]string{platform.SettingsVariable + "=" + e.settings}, e.name, "camphorbankd", "-platform")
	if err != nil {
		w.t.Error(err)
		return
	}
	expected := new(bool) // of this process, also when the next one has started
	e.process, e.exitExpected = p, expected
	e.incarnation++
	go func() {
		<-p.Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		if !*expected {
			w.t.Errorf("%s %s exited unexpectedly after %v (%s):\n%s", time.Now().Format("05.000"), e.name, time.Since(started), p.EndState(),
				tail(p.Log()))
		}
	}()
}

// end ends the process of a node with a signal, and kills it if it still runs after the grace bound.
func (w *system) end(e *node, s syscall.Signal) {
	e.mu.Lock()
	*e.exitExpected = true
	p := e.process
	e.mu.Unlock()
	if err := p.Signal(s); err != nil {
		return // the process has ended
	}
	select {
	case <-p.Done():
	case <-time.After(graceBound):
		w.t.Errorf("%s still runs after its grace bound", e.name)
		p.Kill()
	}
}

func (e *node) currentIncarnation() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// isReady reports whether an entry is ready. Processes beside ranks have no readiness check and count as ready once they
// listen. A process that has just been started does not handle SIGHUP yet, and a reload would end it.
func (e *node) isReady() bool {
	if e.ready == "" {
		c, err := net.DialTimeout("tcp", net.JoinHostPort("127.0.0.1", e.port), time.Second)
		return err == nil && c.Close() == nil
	}
	resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// publish publishes the next configuration, which adds one route.
func (w *system) publish() {
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
	w.config = fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"draft","engine":%s},{"name":"desk"},
		{"name":"chat","engine":{"slots":%d,"stride":1,"step_ms":1,"per_seq_ms":0.1}}],
		"tenants":[{"name":"one","api_keys":["key-one"]},{"name":"two","api_keys":["key-two"]}]}`, w.version, doc[:len(doc)-1],
		w.engineDoc(), slots)
	w.store.Put("op/config", w.config)
	w.recorder.locked(func() { w.recorder.versions[w.version] = time.Now() })
}

// publishAgain writes the configuration, the evacuation and the states of all targets again, after the store has lost some of them.
func (w *system) publishAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put("op/config", w.config)
	w.publishEvacuation()
	for _, r := range w.targets {
		r.publishState(r.state)
	}
}

// engineDoc returns the configuration of the engines of the group.
func (w *system) engineDoc() string {
	lag := ""
	if w.restartsTogether {
		lag = fmt.Sprintf(`"report_lag_ms":%d,`, statedReportLag.Milliseconds())
	}
	return fmt.Sprintf(`{"slots":%d,"stride":1,"step_ms":1,"per_seq_ms":0.1,"sets":%d,"experts":%d,"placements":%d,"spare":2,%s
		"expert_mb":%g,"link_mbps":1000,"expert_share":0.85}`, slots, groupLayers, groupExperts, groupExperts/2, lag,
		expertLoadTime.Seconds()*1000/8)
}

func (w *system) published() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *system) allTargets() []*proxiedTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*proxiedTarget(nil), w.targets...)
}

var errNoRemovableTarget = errors.New("no target may be removed")

// takeRemovable draws a target to be removed, if at least two of its service stay.
func (w *system) takeRemovable(rng *rand.Rand) (*proxiedTarget, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := map[string][]*proxiedTarget{}
	for _, r := range w.targets {
		if r.listed {
			listed[r.service] = append(listed[r.service], r)
		}
	}
	list := listed["desk"] // without one of its ranks, the group cannot execute steps
	if len(list) < 3 {
		return nil, errNoRemovableTarget
	}
	r := list[rng.IntN(len(list))]
	r.listed = false
	return r, nil
}

func tail(log string) string { return log[max(0, len(log)-2000):] }
