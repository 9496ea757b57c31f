package node

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/gateway"
	"github.com/camphorbank/camphorbank/internal/listwatch"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/resources"
	"github.com/camphorbank/camphorbank/internal/version"
)

// Adapters connect a process to the platform.
type Adapters struct {
	HeaderTranslator gateway.HeaderTranslator
	Source           listwatch.Source // source of targets and configuration; nil if the process reads none
	// ReadinessHandler returns the handler of the platform's readiness check. ready reports whether the process accepts
	// new connections.
	ReadinessHandler func(ready func() bool) http.Handler
	// Engine returns a client of the engine at addr.
	Engine func(addr string) rankgroup.Engine
	Reload *Reloader // nil if the settings do not change
}

// Run runs the process in the role that the settings name until ctx ends, then stops it gracefully.
func Run(ctx context.Context, s *Settings, a Adapters) error {
	log.WithFields(log.Fields{
		"version": version.Version, "node": s.Name, "role": s.Role, "data_centre": s.DataCentre, "callers": s.Listen.Callers,
		"control": s.Listen.Control, "engine": s.LocalEngine, "first_start": s.FirstStart, "memory": s.MemoryBytes,
	}).Info("starting")
	resources.LimitHeap(s.MemoryBytes)
	started := time.Now()
	var err error
	if s.Role == RoleEntry {
		err = newEntry(s, a).run(ctx)
	} else {
		err = newRank(s, a).run(ctx)
	}
	log.WithFields(log.Fields{"node": s.Name, "ran": time.Since(started), "error": errorText(err)}).Info("stopped")
	return err
}

// errorText returns the text of err for a log field, or "none".
func errorText(err error) string {
	if err == nil {
		return "none"
	}
	return err.Error()
}
