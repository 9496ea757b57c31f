package node

import (
	"context"
	"os"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

// Reloader reads the settings again.
type Reloader struct {
	Load   func() (*Settings, error)
	Signal <-chan os.Signal // tells that the settings file has changed
}

// reloadInterval is the time between two readings of the settings file, which may change without a signal.
const reloadInterval = 5 * time.Second

// run hands changed settings to apply until ctx ends.
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

// needsRestart says whether a change takes effect at the next start only.
func needsRestart(a, b *Settings) bool {
	return a.Listen != b.Listen || a.Store != b.Store || a.IP != b.IP || a.Ports != b.Ports || a.LocalEngine != b.LocalEngine ||
		a.Name != b.Name || a.DataCentre != b.DataCentre
}

// sharedSettings holds the settings in force.
type sharedSettings struct{ p atomic.Pointer[Settings] }

func (s *sharedSettings) set(v *Settings) { s.p.Store(v) }
func (s *sharedSettings) bounds() Bounds  { return s.p.Load().Bounds }
