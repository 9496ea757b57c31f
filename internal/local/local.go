// Package local implements the local role: the process that runs on the VM of a target and is the only one that sends
// requests to it. It receives attempts from entries, queues them, runs them at the target (a model engine or a plain
// service) and streams the responses back. It reports its load with the responses and drains the target on request.
package local

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/membudget"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Options configures a local process. Engine is set for a model target, Service for a plain service.
type Options struct {
	Incarnation string
	Clock       port.Clock
	Engine      port.Engine
	Service     port.PlainService
	Slots       int // requests that the target runs at once, until it reports its own number
	Revision    func() int64
	Policy      func() *admission.Policy
	Leaving     func() bool               // reports whether the VM list marks the process's own VM as leaving
	Serves      func(adapter string) bool // reports whether the engine has loaded the adapter; nil if the target has none
	Refusals    *outcome.Counters
	Memory      *membudget.Budget // for attempts that are received or run; nil for no bound
}

// Local is a local process, which runs attempts at its target.
type Local struct {
	opt    Options
	table  *attempt.Table
	queue  *admission.Queue
	causes drainCauses

	cacheTokens atomic.Int64 // as the engine last reported
}

// New returns a local process. Its handler can serve attempts at once; Run must be started for its periodic work.
func New(opt Options) *Local {
	return &Local{
		opt:   opt,
		table: attempt.NewTable(opt.Incarnation, opt.Clock),
		queue: admission.New(admission.Options{
			Clock: opt.Clock, Policy: opt.Policy, Slots: opt.Slots, PlainService: opt.Service != nil,
		}),
	}
}

// Table returns the table of the attempts that the process has received.
func (l *Local) Table() *attempt.Table { return l.table }

// Load returns the current load report.
func (l *Local) Load() *wire.Load {
	load := l.queue.Load()
	load.Incarnation = l.opt.Incarnation
	load.Draining, load.Updating = l.Draining(), l.updatingOnly()
	load.Revision = l.opt.Revision()
	load.CacheTokens = int(l.cacheTokens.Load())
	return &load
}

const (
	// sweepInterval is the interval of the periodic work in Run. It bounds the delay until abandoned drafts are
	// cancelled, until queued attempts are refused during a drain and until expired work leaves the queue.
	sweepInterval = 250 * time.Millisecond
	// pollInterval is the interval between reads of the engine's load report. A shorter one would gain little, since the
	// report itself lags.
	pollInterval = time.Second
	// pollTimeout bounds one read of the engine's load report.
	pollTimeout = time.Second
)

// Run does the periodic work of the local process until ctx ends: it reads the engine's load report and the VM's state
// in the VM list, and expires attempts and queued work.
func (l *Local) Run(ctx context.Context) {
	go l.pollEngine(ctx)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		l.readLeaving()
		l.table.Sweep()
		l.queue.Expire()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollEngine reads the engine's load report periodically. After a failed read the queue keeps the last reported values
// and its own measurements.
func (l *Local) pollEngine(ctx context.Context) {
	if l.opt.Engine == nil {
		return
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		readCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		if load, err := l.opt.Engine.Load(readCtx); err == nil {
			l.queue.SetTarget(load.Slots, load.TokensPerS)
			l.cacheTokens.Store(int64(load.CacheTokens))
		}
		cancel()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
