// Command 1 shows that a group of engines begins a pass with two maps when one process beside a rank is down while some
// orders stay unanswered. See claim.txt.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/review/stand"
	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

const (
	groups       = 2
	ranks        = 8  // of a group
	firstMachine = 10 // machine of rank 0 of the first group
	stepTime     = 30 * time.Millisecond
	loadTime     = 148 * time.Millisecond // expert_mb at link_mbps
	shiftTime    = 1100 * time.Millisecond
	clients      = 12
	events       = 24 // of a stream

	reportLag = 200 * time.Millisecond // report_lag_ms
	sampling  = 5 * time.Millisecond

	victim           = ranks - 1 // rank whose process is killed
	unansweredShare  = 0.5       // of the orders to arm a rank
	downTime         = 3500 * time.Millisecond
	lateTime         = 5500 * time.Millisecond
	calmTime         = 500 * time.Millisecond
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	cycles           = 16
	limit            = 115 * time.Second
)

// served is the number of streams that clients have received whole.
var served atomic.Int64

func main() { stand.Main("review/1", limit, run) }

// engines is one group of engines, with the disturbance of its orders.
type engines struct {
	name    string
	machine int // of rank 0
	system  *stand.System
	group   *expertgroup.Group
	procs   [ranks]*stand.Process
	addrs   [ranks]string // of the engines

	late       atomic.Bool // some orders are left unanswered
	orders     atomic.Int64
	unanswered atomic.Int64
	mu         sync.Mutex
	samples    []sample
}

// sample is the state of all ranks at one time.
type sample struct {
	at     time.Time
	status [ranks]expertgroup.Status
}

func run(ctx context.Context, s *stand.System) (bool, error) {
	s.PutConfig(1)
	var all []*engines
	for i := range groups {
		e, err := newEngines(ctx, s, i)
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	if _, err := s.StartEntry(1, ""); err != nil {
		return false, err
	}
	if err := s.AwaitReady(ctx, 1); err != nil {
		return false, err
	}
	for _, e := range all {
		if err := e.startProcesses(); err != nil {
			return false, err
		}
		go e.shift(ctx)
	}
	for i := range clients {
		go client(ctx, s, i)
	}
	for _, e := range all {
		if err := e.awaitSwitches(ctx); err != nil {
			return false, err
		}
	}
	for i := 0; i < cycles && !anyMixed(all); i++ {
		cycle(ctx, s, all, i)
	}
	for _, e := range all {
		s.Logf("group %s: orders %d, unanswered %d, map switches %d", e.name, e.orders.Load(), e.unanswered.Load(), e.group.Switches())
		if err := e.group.MixedMaps(); err != nil {
			s.Logf("MAP: group %s: %v", e.name, err)
		}
	}
	s.Logf("whole streams: %d", served.Load())
	if served.Load() == 0 {
		return false, errors.New("no stream was served")
	}
	return anyMixed(all), nil
}

// anyMixed reports whether a pass has begun with two maps.
func anyMixed(all []*engines) bool {
	return slices.ContainsFunc(all, func(e *engines) bool { return e.group.MixedMaps() != nil })
}

// newEngines starts the engines of the i-th group and lists them in the store.
func newEngines(ctx context.Context, s *stand.System, i int) (*engines, error) {
	e := &engines{name: fmt.Sprintf("g%d", i+1), machine: firstMachine + i*ranks, system: s}
	e.group = expertgroup.New(rand.New(rand.NewPCG(rand.Uint64(), 1)), expertgroup.Shape{Ranks: ranks, Layers: 6, Experts: 64,
		StepTime: stepTime, Load: loadTime, Popular: 2})
	e.group.Trace = func(format string, args ...any) { s.Notef("engines "+e.name+": "+format, args...) }
	go e.group.Run(ctx)
	go e.sample(ctx)
	for r := range ranks {
		addr, err := e.serve(r)
		if err != nil {
			return nil, err
		}
		e.addrs[r] = addr
		s.PutServer(fmt.Sprintf("i-%s-%d", e.name, r), stand.ModelService, addr, "ready", 12, 1)
	}
	return e, nil
}

// startProcesses starts the processes beside the ranks.
func (e *engines) startProcesses() error {
	for r, addr := range e.addrs {
		p, err := e.system.StartRank(e.machine+r, addr)
		if err != nil {
			return err
		}
		e.procs[r] = p
	}
	return nil
}

// awaitSwitches waits until the group has switched its map a few times.
func (e *engines) awaitSwitches(ctx context.Context) error {
	const wanted, wait = 3, 20 * time.Second
	for end := time.Now().Add(wait); e.group.Switches() < wanted; {
		if !stand.Sleep(ctx, 100*time.Millisecond) || time.Now().After(end) {
			return errors.New("the coordinator does not switch maps")
		}
	}
	e.system.Logf("group %s has switched its map %d times", e.name, e.group.Switches())
	return nil
}

// cycle kills the process of one rank of each group for a time while some orders stay unanswered, and then waits.
func cycle(ctx context.Context, s *stand.System, all []*engines, i int) {
	if !stand.Disrupted() {
		stand.Sleep(ctx, lateTime+calmTime)
		return
	}
	s.Logf("cycle %d: the process beside rank %d of each group is killed for %v; orders stay unanswered for %v", i+1, victim, downTime, lateTime)
	for _, e := range all {
		e.procs[victim].Kill()
		e.late.Store(true)
	}
	sleepUnlessMixed(ctx, all, downTime)
	for _, e := range all {
		if err := e.procs[victim].Start(); err != nil {
			s.Logf("the process does not start: %v", err)
		}
	}
	sleepUnlessMixed(ctx, all, lateTime-downTime)
	for _, e := range all {
		e.late.Store(false)
	}
	sleepUnlessMixed(ctx, all, calmTime)
}

// sleepUnlessMixed waits until a pass has begun with two maps, but not longer than d.
func sleepUnlessMixed(ctx context.Context, all []*engines, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !anyMixed(all); {
		stand.Sleep(ctx, min(50*time.Millisecond, time.Until(end)))
	}
}

// shift changes the popular experts at regular intervals.
func (e *engines) shift(ctx context.Context) {
	for stand.Sleep(ctx, shiftTime) {
		e.group.SetPopular(rand.IntN(63))
	}
}

// sample records the state of the ranks, from which reports to other machines are served.
func (e *engines) sample(ctx context.Context) {
	for stand.Sleep(ctx, sampling) {
		now := sample{at: time.Now()}
		for r, rank := range e.group.Ranks {
			now.status[r] = rank.Status()
		}
		e.mu.Lock()
		e.samples = append(e.samples, now)
		for len(e.samples) > 1 && time.Since(e.samples[1].at) >= reportLag {
			e.samples = e.samples[1:]
		}
		e.mu.Unlock()
	}
}

// report returns the state of a rank as it reports it: at once to the process on its own machine, and as of reportLag ago
// to other machines.
func (e *engines) report(ctx context.Context, r int) expertgroup.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	if stand.FromOwnMachine(ctx) || len(e.samples) == 0 {
		return e.group.Ranks[r].Status()
	}
	return e.samples[0].status[r]
}

// serve serves the engine of a rank and returns its address.
func (e *engines) serve(r int) (string, error) {
	l, err := net.Listen("tcp", e.system.IP(e.machine+r)+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", func(w http.ResponseWriter, req *http.Request) { e.serveReport(w, req, r) })
	mux.HandleFunc("GET /-/picked", e.group.Ranks[r].ServeHTTP)
	mux.HandleFunc("POST /-/order", func(w http.ResponseWriter, req *http.Request) { e.serveOrder(w, req, r) })
	mux.HandleFunc("/", e.serveStream)
	server := &http.Server{Handler: mux, ConnContext: stand.MarkOwner(func() *stand.Process { return e.procs[r] })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (e *engines) serveReport(w http.ResponseWriter, req *http.Request, r int) {
	s := e.report(req.Context(), r)
	state := "broken"
	if s.Open {
		state = "open"
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
		"group": map[string]any{"name": e.name, "epoch": s.Epoch, "rank": s.Index, "state": state}, "size": ranks, "busy": false,
		"active": 2, "queued": 0, "kv_used": 0, "kv_total": 280000, "session_handles": 0, "pace": 1.0, "born": 1,
		"step": s.Step, "map": s.Map, "prepared": s.Prepared, "armed": s.Armed, "held": s.Held, "sequence": s.Orders,
	})
}

// serveOrder carries out an order, or leaves it unanswered and carries it out seconds later.
func (e *engines) serveOrder(w http.ResponseWriter, req *http.Request, r int) {
	var o expertgroup.Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.orders.Add(1)
	if e.late.Load() && o.Operation == expertgroup.Arm && rand.Float64() < unansweredShare {
		e.unanswered.Add(1)
		e.system.Notef("engines %s: rank %d leaves unanswered: %s version %d step %d fence %d", e.name, r, o.Operation, o.Version, o.Step, o.FencingToken)
		delay := minLate + rand.N(maxLate-minLate)
		time.AfterFunc(delay, func() { _ = e.group.Ranks[r].CarryOut(o) })
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
	switch err := e.group.Ranks[r].CarryOut(o); {
	case errors.Is(err, expertgroup.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, expertgroup.ErrFenced):
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

// serveStream answers a client's request with a stream of events.
func (e *engines) serveStream(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	h := w.Header()
	h.Set("X-Camphorbank-Request-Id", req.Header.Get("X-Camphorbank-Request-Id"))
	h.Set("X-Camphorbank-Server-Stamp", "stamp")
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= events; n++ {
		if !stand.Sleep(req.Context(), stepTime) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", n, n); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// client sends one stream request after another.
func client(ctx context.Context, s *stand.System, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", i, n)
		status, whole := request(ctx, s, id)
		if whole {
			served.Add(1)
		}
		s.Notef("client: %s answered %d, complete %v", id, status, whole)
		if !whole {
			stand.Sleep(ctx, 200*time.Millisecond)
		}
	}
}

func request(ctx context.Context, s *stand.System, id string) (status int, whole bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Frontend(1)+stand.StreamPath+"2f", strings.NewReader("prompt"))
	if err != nil {
		return 0, false
	}
	req.Host = stand.Host
	for name, value := range map[string]string{"X-Camphorbank-Request-Id": id, "X-Camphorbank-Deadline-Ms": "8000", "X-Camphorbank-Model": "m",
		"X-Camphorbank-Token-Usage": "700,97", "X-Camphorbank-Prompt-Prefix": "5c1e07a2:40,91bd3f06:660", "Authorization": "Bearer " + stand.Key} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, err == nil && strings.Contains(string(body), fmt.Sprintf("data: e%d\n", events))
}
