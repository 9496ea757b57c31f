package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

const (
	// readHeaderTimeout bounds the headers of requests for readiness and metrics.
	readHeaderTimeout = 5 * time.Second
	// sweepInterval is the time between two rounds of upkeep.
	sweepInterval = 250 * time.Millisecond
	// leaveRotation is the time in which the platform stops sending new connections to a process that is not ready: two
	// questions, a second apart, and their answers.
	leaveRotation = 2600 * time.Millisecond
	// stopMargin is kept between the end of the last requests and the platform's kill.
	stopMargin = 500 * time.Millisecond
	// peerIdle keeps connections between entries open over a few missed exchanges.
	peerIdle = 5 * time.Second
)

// entry is a process that takes callers' requests.
type entry struct {
	settings *Settings
	adapters Adapters
	tables   *routetable.Store
	targets  *targetset.Set
	balance  *balance.Balancer
	retries  *retry.Fleet
	pool     *upstream.Pool
	peers    *peer.Pool
	fleet    *fleet.Fleet
	watcher  *listwatch.Watcher
	stopping atomic.Bool
	ready    atomic.Bool // last answer to the platform's question
	records  *decision.Ring
	shared   sharedSettings // those in force; settings are those of the start
	gauged   time.Time      // last update of the gauges
}

func newEntry(s *Settings, a Adapters) *entry {
	e := &entry{settings: s, adapters: a, tables: &routetable.Store{}, targets: targetset.New(), pool: upstream.NewPool(),
		peers: &peer.Pool{Idle: peerIdle}, records: decision.NewRing(keptRecords)}
	e.shared.set(s)
	e.balance = balance.New(s.DataCentre, time.Now)
	e.balance.Notify, e.balance.Connected = logBalance, e.pool.Idle
	e.retries = retry.NewFleet(allowance(s.Bounds), s.FirstStart, time.Now)
	e.watcher = &listwatch.Watcher{Source: a.Source, Targets: e.targets, Tables: e.tables, Notify: logList}
	e.fleet = fleet.New(fleet.Options{
		Self:  fleet.Entry{Name: s.Name, Control: s.Listen.Control, Started: time.Now().UnixNano()},
		Seeds: s.Seeds, Pool: e.peers, Tables: e.tables, Targets: e.targets,
		InFlight: e.balance.InFlight, ReportInFlight: e.balance.Report, ReportGroup: e.group,
		ReadsPlatform: e.watcher.Reading, Stopping: e.stopping.Load, Notify: logFleet,
	})
	e.watcher.Idle = e.fleet.EnoughReaders
	return e
}

// group hands the state of an engine group to the balancer.
func (e *entry) group(s fleet.GroupState) {
	out := balance.GroupReport{Name: s.Group, Term: s.Term, Seq: s.Seq, Open: s.Open, Imbalance: s.Imbalance}
	for _, r := range s.Ranks {
		out.Ranks = append(out.Ranks, balance.RankReport{Engine: r.Engine, Pace: r.Pace})
	}
	e.balance.Group(out)
}

func (e *entry) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := net.Listen("tcp", e.settings.Listen.Callers)
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", e.settings.Listen.Ready)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	control, err := net.Listen("tcp", e.settings.Listen.Control)
	if err != nil {
		return errors.Join(err, callers.Close(), ready.Close())
	}
	server := peer.NewServer()
	e.fleet.Register(server)
	server.Handle(methodExplain, peer.Typed(e.explainOwn))
	work := e.callerServer()
	group, failed := errgroup.WithContext(ctx)
	group.Go(func() error { return ended(work.Serve(gateway.Listener(callers, e.limits))) })
	readiness := &http.Server{Handler: e.adapters.Ready(e.isReady), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = readiness.Serve(ready) }() // ends with the process
	go func() { _ = server.Serve(background, control) }()
	go e.watcher.Run(background)
	go e.fleet.Run(background)
	go e.upkeep(background)
	go e.adapters.Reload.run(background, e.settings, e.reload)
	serveMetrics(background, e.settings.Listen.Metrics, e.serveExplain)
	<-failed.Done()
	if ctx.Err() != nil {
		e.stop(background, work)
	}
	return group.Wait()
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (e *entry) callerServer() *http.Server {
	server := gateway.NewServer(&gateway.Gateway{
		Dialect: e.adapters.Dialect, Tables: e.tables, Targets: e.targets, Balance: e.balance, Retries: e.retries,
		Pool: e.pool, Observe: e.observe, Closing: e.stopping.Load,
	})
	server.ErrorLog = serverLog
	return server
}

// limits returns the limits of the present configuration, or none before there is one.
func (e *entry) limits() routetable.Limits {
	if t := e.tables.Load(); t != nil {
		return t.Config.Limits
	}
	return routetable.Limits{}
}

// observe records a request that has ended.
func (e *entry) observe(r *gateway.Record) {
	logRequest(r)
	e.records.Add(explained(r))
}

// isReady says whether the process takes new connections.
func (e *entry) isReady() bool {
	ready := !e.stopping.Load() && e.tables.Load() != nil && e.targets.Snapshot().Revision > 0
	if e.ready.Swap(ready) != ready {
		logReady(ready, e.tables.Version(), e.targets.Snapshot().Revision, e.stopping.Load())
	}
	return ready
}

// reload puts changed settings in force.
func (e *entry) reload(s *Settings) {
	e.shared.set(s)
	e.fleet.SetSeeds(s.Seeds)
	e.retries.SetAllowance(allowance(s.Bounds))
}

func allowance(b Bounds) retry.Allowance {
	return retry.Allowance{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// upkeep drops what is out of date.
func (e *entry) upkeep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			e.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *entry) sweep(now time.Time) {
	e.targets.Expire(now)
	list := e.targets.Snapshot()
	addrs := make(map[string]bool, len(list.ByID))
	for _, t := range list.ByID {
		addrs[t.Addr] = true
	}
	e.pool.Sweep(now, func(addr string) bool { return addrs[addr] })
	e.balance.Sweep(list.ByID)
	_, known := e.fleet.EntryCounts()
	e.retries.SetProcesses(known)
	if now.Sub(e.gauged) >= gaugeInterval {
		e.gauged = now
		e.setGauges()
	}
}

// stop ends the service without cutting a request off. The process goes on taking requests until the platform has
// noticed that it is not ready.
func (e *entry) stop(ctx context.Context, work *http.Server) {
	e.stopping.Store(true)
	logStop(e.balance.InFlight())
	ctx, cancel := context.WithTimeout(ctx, e.shared.bounds().Grace-stopMargin)
	defer cancel()
	time.Sleep(min(leaveRotation, e.shared.bounds().Grace/2))
	if err := work.Shutdown(ctx); err != nil {
		logCutOff(err, e.balance.InFlight())
		_ = work.Close()
	}
	e.pool.Close()
	e.peers.Close()
}
