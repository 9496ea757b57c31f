package local

import (
	"context"
	"sync"
	"time"
)

// drainCauses records why a local process asks entries to send no new work. Several causes can hold at once.
type drainCauses struct {
	mu        sync.Mutex
	vmLeaving bool // the VM list marks the process's own VM as leaving
	operator  bool // an operator drains the target
	updating  bool // the target is out of service while its engine changes its model version
	stopping  bool // the process was told to stop; new work is still accepted for the drain delay
}

// refusesWork reports whether new work is refused. Stopping alone doesn't refuse work; Local.Stop does.
func (c *drainCauses) refusesWork() bool { return c.vmLeaving || c.operator || c.updating }

// Draining reports whether load reports say that the target is draining.
func (l *Local) Draining() bool {
	l.causes.mu.Lock()
	draining := l.causes.refusesWork() || l.causes.stopping
	l.causes.mu.Unlock()
	return draining || l.table.Draining()
}

// updatingOnly reports whether a change of the model version is the only cause of the drain.
func (l *Local) updatingOnly() bool {
	l.causes.mu.Lock()
	defer l.causes.mu.Unlock()
	return l.causes.updating && !l.causes.vmLeaving && !l.causes.operator && !l.causes.stopping
}

// SetOperatorDrain starts or ends a drain by an operator. New work is refused during the drain.
func (l *Local) SetOperatorDrain(on bool) {
	l.updateCauses(func(c *drainCauses) { c.operator = on })
}

// SetUpdating starts or ends a drain for a change of the engine's model version. New work is refused during the drain.
func (l *Local) SetUpdating(on bool) {
	l.updateCauses(func(c *drainCauses) { c.updating = on })
}

// Idle reports whether no work is queued or at the target.
func (l *Local) Idle() bool { return l.table.Live() == 0 }

// UsesAdapter reports whether work with the adapter is queued or at the target.
func (l *Local) UsesAdapter(adapter string) bool { return l.table.UsesAdapter(adapter) }

// readLeaving starts or ends the drain for a leaving VM according to the VM list.
func (l *Local) readLeaving() {
	if l.opt.Leaving == nil {
		return
	}
	leaving := l.opt.Leaving()
	l.updateCauses(func(c *drainCauses) { c.vmLeaving = leaving })
}

// updateCauses changes the drain causes and makes the table refuse or accept new attempts if the change requires it.
func (l *Local) updateCauses(update func(*drainCauses)) {
	l.causes.mu.Lock()
	defer l.causes.mu.Unlock()
	before := l.causes.refusesWork()
	update(&l.causes)
	if now := l.causes.refusesWork(); now != before {
		l.table.SetDraining(now)
	}
}

// SetStopping makes load reports say that the target is draining while new work is still accepted, so that entries
// choose other targets before any work is refused.
func (l *Local) SetStopping() {
	l.causes.mu.Lock()
	defer l.causes.mu.Unlock()
	l.causes.stopping = true
}

// Stop refuses all queued work, and from now on all new work, as not run.
func (l *Local) Stop() { l.table.Stop() }

// idlePollInterval is the interval at which Wait checks whether work is left.
const idlePollInterval = 20 * time.Millisecond

// Wait returns nil when no work is queued or at the target, or an error when ctx ends first. It also waits for
// dispatched bookings whose caller has disconnected. It must be called after Stop.
func (l *Local) Wait(ctx context.Context) error {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for l.table.Live() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
