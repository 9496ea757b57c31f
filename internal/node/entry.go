package node

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/balance"
	"github.com/camphorbank/camphorbank/internal/coldstart"
	"github.com/camphorbank/camphorbank/internal/connlimit"
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/httpdrain"
	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/quarantine"
	"github.com/camphorbank/camphorbank/internal/resources"
	"github.com/camphorbank/camphorbank/internal/retry"
	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

const (
	// readTimeout, writeTimeout, idleTimeout and maxHeaderBytes bound the requests for readiness and metrics.
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 16 << 10
	// upkeepInterval is the time between two sweeps for outdated state.
	upkeepInterval = 250 * time.Millisecond
	// unreadyPropagationDelay is the time until the platform sends no more new connections to a process that is not
	// ready. It covers two readiness checks, one second apart, and their answers.
	unreadyPropagationDelay = 2600 * time.Millisecond
	// answerMargin is the longest time kept between the final answers of the last requests and the platform's SIGKILL. It
	// covers their way to the callers and the end of the process. It is answerMarginShare of a short grace period at most.
	answerMargin      = 800 * time.Millisecond
	answerMarginShare = 0.125
	// closeMarginShare is the part of that time, at its end, for which callers' connections are closed.
	closeMarginShare = 0.4
	// peerIdleTimeout is the time after which unused connections to peers are closed. It is long enough to keep them
	// open over a few missed exchanges.
	peerIdleTimeout = 5 * time.Second
)

// entry is a process that accepts callers' requests and forwards them to targets.
type entry struct {
	settings      *Settings
	adapters      Adapters
	tables        *routetable.Store
	targets       *targetset.Set
	balance       *balance.Balancer
	cold          *coldstart.Limiter
	quarantine    *quarantine.Tracker
	resources     *resources.Resources
	retries       *retry.FleetBudget
	pool          *upstream.Pool
	peers         *peer.Pool
	fleet         *fleet.Fleet
	watcher       *listwatch.Watcher
	stopping      *gateway.Stop
	ready         atomic.Bool // last answer to the platform's readiness check
	records       *decision.Ring
	current       currentSettings // settings in force, while settings holds those of the start
	gaugesUpdated time.Time       // time of the last update
}

// newEntry creates the parts of an entry and connects them. It starts none of them.
func newEntry(s *Settings, a Adapters) *entry {
	e := &entry{settings: s, adapters: a, tables: &routetable.Store{}, targets: targetset.New(), pool: upstream.NewPool(),
		peers: &peer.Pool{IdleTimeout: peerIdleTimeout}, stopping: gateway.NewStop(), records: decision.NewRing(maxRecords)}
	e.resources = resources.New(s.limits())
	e.pool.MaxOpen = e.resources.TargetConns
	e.current.set(s)
	e.balance = balance.New(s.DataCentre, time.Now)
	e.balance.Notify, e.balance.Connected, e.balance.Decided = logBalance, e.pool.Idle, countDecision
	e.cold = newColdLimiter(s)
	e.balance.Cold = e.cold
	e.quarantine = quarantine.New(time.Now)
	e.quarantine.Notify = logQuarantine
	e.retries = retry.NewFleetBudget(retryAllowance(s.Bounds), s.FirstStart, time.Now)
	e.targets.Notify = e.logEvacuation
	e.watcher = &listwatch.Watcher{Source: a.Source, Targets: e.targets, Tables: e.tables, Notify: logPlatform}
	e.fleet = fleet.New(fleet.Options{
		Self:  fleet.Entry{Name: s.Name, Control: s.Listen.Control, Started: time.Now().UnixNano(), DataCentre: s.DataCentre},
		Seeds: s.Seeds, Pool: e.peers, Tables: e.tables, Targets: e.targets, Quarantine: e.quarantine,
		InFlight: e.balance.InFlight, ReportInFlight: e.balance.SetPeerInFlight,
		Demand:        func() fleet.Demand { return e.balance.Demand() },
		ReportDemand:  func(process string, d fleet.Demand) { e.balance.SetPeerDemand(process, d) },
		ReportGroup:   e.reportGroup,
		ReadsPlatform: e.watcher.ReadsPlatform, Stopping: e.stopping.Begun, Notify: logFleet,
	})
	e.watcher.EnoughReaders = e.fleet.EnoughReaders
	return e
}

// reportGroup passes the state of an engine group to the load balancer. It reports whether the ranks that the state names
// are known.
func (e *entry) reportGroup(s fleet.GroupState) bool {
	out := balance.GroupReport{Name: s.Group, Term: s.Term, Seq: s.Seq, RanksSeq: s.RanksSeq, TakesRequests: s.Open, Imbalance: s.Imbalance}
	for _, r := range s.Ranks {
		out.Ranks = append(out.Ranks, balance.RankReport{Engine: r.Engine, Pace: r.Pace})
	}
	return e.balance.UpdateGroup(out)
}

// run serves callers, peers and the platform until ctx ends or the callers' server fails. It stops gracefully if ctx
// ends.
func (e *entry) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	callers, err := resources.Listen(e.settings.Listen.Callers, e.resources.Callers)
	if err != nil {
		return err
	}
	ready, err := resources.Listen(e.settings.Listen.Ready, e.resources.Ready)
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	control, err := e.resources.ListenPeers(e.settings.Listen.Control)
	if err != nil {
		return errors.Join(err, callers.Close(), ready.Close())
	}
	server := e.resources.NewPeerServer()
	e.fleet.Register(server)
	server.Handle(methodExplain, peer.TypedHandler(e.explainLocal))
	callerServer := e.newCallerServer()
	callerListener := httpdrain.New(&gateway.Listener{Listener: callers, Limits: e.limits, Conns: e.resources.Callers, Memory: e.resources.Requests}, callerServer)
	group, failed := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreServerClosed(callerServer.Serve(callerListener)) })
	readiness := newServer(e.adapters.ReadinessHandler(e.isReady))
	go func() { _ = readiness.Serve(e.resources.Ready.Listener(ready)) }() // ends with the process
	go func() { _ = server.Serve(background, control) }()
	go e.watcher.Run(background)
	go e.fleet.Run(background)
	go e.upkeep(background)
	go e.adapters.Reload.run(background, e.settings, e.reload)
	serveMetrics(background, e.settings.Listen.Metrics, e.resources.Operators, map[string]http.HandlerFunc{
		"GET /fleet/explain/{id}": e.serveExplain, "GET /fleet/configuration": e.serveConfiguration,
	})
	go resources.LogClosedForRoom(background)
	<-failed.Done()
	if ctx.Err() != nil {
		e.stop(background, callerServer, callerListener)
	}
	return group.Wait()
}

// newServer returns a server of requests for readiness or metrics.
func newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Server{Handler: h, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: serverLog, Protocols: protocols, ConnState: connlimit.ConnState}
}

// ignoreServerClosed returns err unless it only reports that the server was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// newCallerServer returns the HTTP server of callers' requests.
func (e *entry) newCallerServer() *http.Server {
	server := gateway.NewServer(&gateway.Gateway{
		HeaderTranslator: e.adapters.HeaderTranslator, Tables: e.tables, Targets: e.targets, Balance: e.balance, Retries: e.retries,
		Pool: e.pool, Quarantine: e.quarantine, Bodies: e.resources.Requests, Observe: e.observe, Stop: e.stopping,
		Regions: e.settings.Regions,
	})
	server.ErrorLog = serverLog
	return server
}

// limits returns the limits of the current configuration, or the zero value before there is one.
func (e *entry) limits() routetable.Limits {
	if t := e.tables.Load(); t != nil {
		return t.Config.Limits
	}
	return routetable.Limits{}
}

// observe logs, counts and records a finished request.
func (e *entry) observe(r *gateway.Record) {
	logRequest(r)
	e.records.Add(decisionRecord(r))
}

// isReady reports whether the process accepts new connections: it must have a configuration and a target list, and must
// not be stopping. It logs each change.
func (e *entry) isReady() bool {
	ready := !e.stopping.Begun() && e.tables.Load() != nil && e.targets.Snapshot().Revision > 0
	if e.ready.Swap(ready) != ready {
		logReadiness(ready, e.tables.Version(), e.targets.Snapshot().Revision, e.stopping.Begun())
	}
	return ready
}

// reload puts the changed settings that need no restart in force.
func (e *entry) reload(s *Settings) {
	e.current.set(s)
	e.fleet.SetSeeds(s.Seeds)
	e.retries.SetAllowance(retryAllowance(s.Bounds))
	e.cold.SetBounds(coldBounds(s.Bounds))
}

// retryAllowance returns the retry limits of the deployment.
func retryAllowance(b DeploymentLimits) retry.Allowance {
	return retry.Allowance{Share: b.RetryShare, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// upkeep removes outdated state at regular intervals until ctx ends.
func (e *entry) upkeep(ctx context.Context) {
	tick := time.NewTicker(upkeepInterval)
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

// sweep removes the state of targets that are no longer listed, updates the number of processes that share the retry
// allowance, and updates the gauges when they are due.
func (e *entry) sweep(now time.Time) {
	e.targets.Expire(now)
	list := e.targets.Snapshot()
	addrs := make(map[string]bool, len(list.ByID))
	for _, t := range list.ByID {
		addrs[t.Addr] = true
	}
	e.pool.Sweep(now, func(addr string) bool { return addrs[addr] })
	e.balance.Sweep(list.ByID)
	e.quarantine.Sweep()
	reachable, known := e.fleet.EntryCounts()
	e.retries.SetProcesses(known)
	e.cold.SetFleet(coldstart.Fleet{Known: known, Reachable: reachable, Seeds: e.current.otherSeeds()}, time.Now())
	e.cold.Sweep(list.ByID, time.Now())
	if now.Sub(e.gaugesUpdated) >= gaugeInterval {
		e.gaugesUpdated = now
		e.setGauges()
	}
}

// stop shuts the process down gracefully. It accepts requests until the platform has noticed that the process is not
// ready, then waits for the requests in flight. Requests that no target can answer before the end of the grace period are
// refused as not run, and those that a target still runs near its end are told that their outcome is unknown.
func (e *entry) stop(ctx context.Context, callerServer *http.Server, callers *httpdrain.Listener) {
	grace := e.current.bounds().Grace
	begun := time.Now()
	kill := begun.Add(grace)
	margin := min(answerMargin, time.Duration(answerMarginShare*float64(grace)))
	drained := begun.Add(min(unreadyPropagationDelay, grace/2))
	e.stopping.Begin(gateway.StopTimes{Drained: drained, End: kill.Add(-margin)})
	logStopping(e.balance.InFlight())
	ctx, cancel := context.WithDeadline(ctx, kill.Add(-time.Duration(closeMarginShare*float64(margin))))
	defer cancel()
	time.Sleep(time.Until(drained))
	if err := callers.Shutdown(ctx); err != nil {
		logCutOff(err, e.balance.InFlight())
		_ = callerServer.Close()
	}
	e.pool.Close()
	e.peers.Close()
}
