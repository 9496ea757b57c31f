// Package daemon runs one camphorbankd process in the role entry or local. It creates the parts of the role from the
// settings, opens the listeners, runs the periodic work and shuts down gracefully when the process is told to stop.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/camphorbank/camphorbank/internal/adapter/peer"
	"github.com/camphorbank/camphorbank/internal/alarm"
	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/configsync"
	"github.com/camphorbank/camphorbank/internal/decision"
	"github.com/camphorbank/camphorbank/internal/entry"
	"github.com/camphorbank/camphorbank/internal/httpdrain"
	"github.com/camphorbank/camphorbank/internal/local"
	"github.com/camphorbank/camphorbank/internal/membership"
	"github.com/camphorbank/camphorbank/internal/report"
	"github.com/camphorbank/camphorbank/internal/resources"
	"github.com/camphorbank/camphorbank/internal/rollout"
	"github.com/camphorbank/camphorbank/internal/settings"
	"github.com/camphorbank/camphorbank/internal/version"
)

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	vmListInterval    = time.Second
	idleTimeout       = 2 * time.Minute
)

// Run runs a process in the role that the settings name until ctx ends or a listener fails, then shuts it down
// gracefully.
func Run(ctx context.Context, s *settings.Settings) error {
	d := &daemon{settings: s, incarnation: newIncarnation(s.Name), config: &config.Store{}, started: time.Now()}
	memoryBytes := int64(s.Limits.MemoryMB) * 1e6
	d.resources = resources.New(resources.Limits{MemoryBytes: memoryBytes, Sockets: s.Limits.Sockets})
	resources.LimitHeap(memoryBytes)
	var err error
	if d.tls, err = loadTLS(s); err != nil {
		return err
	}
	d.peerPool.TLS = d.tls.peerClient
	d.setUpPlatform()
	log.WithFields(log.Fields{
		"version": version.Version, "role": s.Role, "name": s.Name, "incarnation": d.incarnation,
		"memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets,
		"callers": s.Listen.Callers, "data": s.Listen.Data, "control": s.Listen.Control, "operators": s.Listen.Operators,
	}).Info("starting")
	return d.run(ctx)
}

// daemon is one process. Parts that its role doesn't have are nil.
type daemon struct {
	settings        *settings.Settings
	resources       *resources.Resources
	incarnation     string
	tls             tlsConfigs
	config          *config.Store
	view            *membership.View
	sync            *configsync.Syncer
	peerPool        peer.Pool
	local           *local.Local
	group           *rankGroup          // nil if the target belongs to no rank group
	rollout         *rollout.Reconciler // nil for a plain service and in a rank group
	entry           *entry.Entry
	decisions       *decision.Ring
	serviceRecorder *report.Recorder
	alarms          *alarm.Monitor
	started         time.Time
	stopping        atomic.Bool // set when the process is told to stop
}

// newIncarnation returns a new name for this start of the process: the process name and 64 random bits.
func newIncarnation(name string) string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return name + "." + hex.EncodeToString(b[:])
}

// run starts the parts of the process, waits until ctx ends or a server fails, and shuts the process down.
func (d *daemon) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	handler, addr, workTLS := d.setUpRole()
	opened, err := d.openListeners(addr, workTLS)
	if err != nil {
		return err
	}
	go d.runPlatform(background)
	if d.local != nil {
		go d.local.Run(background)
	}
	if d.group != nil {
		go d.group.run(background)
	}
	if d.rollout != nil {
		go d.rollout.Run(background)
	}
	go resources.LogClosedForRoom(background)
	d.alarms = d.newAlarms()
	go d.alarms.Run(background)
	peerServer := d.newPeerServer()
	go func() { _ = peerServer.Serve(background, opened.control) }()
	workServer := newServer(handler)
	workListener := httpdrain.New(opened.work, workServer)
	operatorServer := newServer(d.operatorHandler())
	group, serving := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(workServer, workListener) })
	group.Go(func() error { return serve(operatorServer, opened.operators) })
	<-serving.Done()
	delay := d.settings.DrainDelay.Duration
	if ctx.Err() == nil {
		delay = 0 // a server failed, so a delay would not help clients that can't connect
	}
	err = d.shutDown(background, servers{workListener, operatorServer, opened.control, peerServer}, delay)
	d.peerPool.Close()
	return errors.Join(err, group.Wait())
}
