// Package local is the role of the process beside a target: its only sender of requests and commands.
package local

import (
	"context"
	"time"

	"github.com/camphorbank/camphorbank/internal/admission"
	"github.com/camphorbank/camphorbank/internal/attempt"
	"github.com/camphorbank/camphorbank/internal/outcome"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// Options are the parts of a local process. Engine is set for a model target and Service for a plain service.
type Options struct {
	Incarnation string
	Clock       port.Clock
	Engine      port.Engine
	Service     port.PlainService
	Slots       int // requests that the target runs at once, until it reports its own number
	Revision    func() int64
	Policy      func() *admission.Policy
	Leaving     func() bool               // the platform's VM list marks the own VM as leaving
	Serves      func(adapter string) bool // whether the engine has the adapter loaded; nil for a target without adapters
	Refusals    *outcome.Counters
}

// Local runs attempts at its target.
type Local struct {
	opt   Options
	table *attempt.Table
	queue *admission.Queue
	marks marks
}

// New returns a local process that serves nothing yet.
func New(opt Options) *Local {
	return &Local{
		opt:   opt,
		table: attempt.NewTable(opt.Incarnation, opt.Clock),
		queue: admission.New(admission.Options{
			Clock: opt.Clock, Policy: opt.Policy, Slots: opt.Slots, PlainService: opt.Service != nil,
		}),
	}
}

// Table returns the table of attempts.
func (l *Local) Table() *attempt.Table { return l.table }

// Load returns the present load report.
func (l *Local) Load() *wire.Load {
	load := l.queue.Load()
	load.Incarnation = l.opt.Incarnation
	load.Draining, load.Updating = l.Draining(), l.updatingOnly()
	load.Revision = l.opt.Revision()
	return &load
}

const (
	// sweepInterval bounds the delay of a cancel, of a refusal in a drain and of giving up on queued work.
	sweepInterval = 250 * time.Millisecond
	// pollInterval is how often the target's load report and the own state in the VM list are read. Both lag anyway.
	pollInterval = time.Second
	// pollTimeout bounds one read of the load report.
	pollTimeout = time.Second
)

// Run does the periodic work of the local process until ctx ends.
func (l *Local) Run(ctx context.Context) {
	go l.pollEngine(ctx)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		l.followVMList()
		l.table.Sweep()
		l.queue.Expire()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollEngine reads the engine's load report. A report that fails is skipped: the queue goes on with what it measures.
func (l *Local) pollEngine(ctx context.Context) {
	if l.opt.Engine == nil {
		return
	}
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		one, cancel := context.WithTimeout(ctx, pollTimeout)
		if load, err := l.opt.Engine.Load(one); err == nil {
			l.queue.SetTarget(load.Slots, load.TokensPerS)
		}
		cancel()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
