package node

import (
	"context"
	"os"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Reloader reloads the settings while the process runs.
type Reloader struct {
	Load   func() (*Settings, error)
	Signal <-chan os.Signal // receives a signal when the settings file has changed
}

// reloadInterval is the time between two reads of the settings file, which may change without a signal.
const reloadInterval = 5 * time.Second

// run loads the settings on each signal and at each reloadInterval until ctx ends, and calls apply with those that have
// changed. It returns at once if r is nil or has no Load function.
func (r *Reloader) run(ctx context.Context, current *Settings, apply func(*Settings)) {
	if r == nil || r.Load == nil {
		return
	}
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		signalled := false
		select {
		case <-r.Signal:
			signalled = true
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		next, err := r.Load()
		switch {
		case err != nil:
			log.WithFields(log.Fields{"event": "invalid", "signal": signalled, "error": err.Error()}).Warn("settings")
		case !reflect.DeepEqual(next, current):
			log.WithFields(log.Fields{"event": "changed", "signal": signalled, "restart": needsRestart(current, next)}).Info("settings")
			apply(next)
			current = next
		case signalled:
			log.WithFields(log.Fields{"event": "unchanged", "signal": true}).Info("settings")
		}
	}
}

// needsRestart reports whether the change from a to b takes full effect only after a restart.
func needsRestart(a, b *Settings) bool {
	return a.Listen != b.Listen || a.Store != b.Store || a.IP != b.IP || a.Ports != b.Ports || a.LocalEngine != b.LocalEngine ||
		a.Name != b.Name || a.DataCentre != b.DataCentre
}

// currentSettings holds the settings in force. It is safe for concurrent use.
type currentSettings struct{ p atomic.Pointer[Settings] }

func (s *currentSettings) set(v *Settings)          { s.p.Store(v) }
func (s *currentSettings) bounds() DeploymentLimits { return s.p.Load().Bounds }

// otherSeeds returns the number of seeds that are not this process.
func (s *currentSettings) otherSeeds() int {
	v := s.p.Load()
	others := map[string]bool{}
	for _, addr := range v.Seeds {
		if addr != v.Listen.Control {
			others[addr] = true
		}
	}
	return len(others)
}
