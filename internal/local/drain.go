package local

import (
	"context"
	"sync"
	"time"
)

// marks are the causes for which a local process tells entries to send no new work.
type marks struct {
	mu       sync.Mutex
	vmList   bool // the VM list marks the own VM as leaving
	operator bool // an operator drains the target
	updating bool // the target is out of service while its engine changes its version
	stopping bool // the process was told to stop; new work is still accepted for the drain delay
}

func (m *marks) drains() bool { return m.vmList || m.operator || m.updating }

// Draining says whether replies carry the drain mark.
func (l *Local) Draining() bool {
	l.marks.mu.Lock()
	marked := l.marks.drains() || l.marks.stopping
	l.marks.mu.Unlock()
	return marked || l.table.Draining()
}

// updatingOnly says whether the change of the model version is the only cause of the drain mark.
func (l *Local) updatingOnly() bool {
	l.marks.mu.Lock()
	defer l.marks.mu.Unlock()
	return l.marks.updating && !l.marks.vmList && !l.marks.operator && !l.marks.stopping
}

// SetOperatorDrain refuses new work from now on, or accepts it again.
func (l *Local) SetOperatorDrain(on bool) {
	l.setMark(func(m *marks) { m.operator = on })
}

// SetUpdating refuses new work while the engine changes its version, or accepts it again.
func (l *Local) SetUpdating(on bool) {
	l.setMark(func(m *marks) { m.updating = on })
}

// Idle says whether no work is queued or at the target.
func (l *Local) Idle() bool { return l.table.Live() == 0 }

// Uses says whether work with the adapter is queued or at the target.
func (l *Local) Uses(adapter string) bool { return l.table.UsesAdapter(adapter) }

func (l *Local) followVMList() {
	if l.opt.Leaving == nil {
		return
	}
	leaving := l.opt.Leaving()
	l.setMark(func(m *marks) { m.vmList = leaving })
}

func (l *Local) setMark(set func(*marks)) {
	l.marks.mu.Lock()
	defer l.marks.mu.Unlock()
	before := l.marks.drains()
	set(&l.marks)
	if now := l.marks.drains(); now != before {
		l.table.SetDraining(now)
	}
}

// MarkStopping makes replies carry the drain mark while new work is still accepted, so that entries turn away before
// anything is refused.
func (l *Local) MarkStopping() {
	l.marks.mu.Lock()
	defer l.marks.mu.Unlock()
	l.marks.stopping = true
}

// Stop refuses new and queued work as not run.
func (l *Local) Stop() { l.table.Stop() }

// idlePoll is how often Wait looks whether work is left.
const idlePoll = 20 * time.Millisecond

// Wait returns when no work is queued or at the target, or when ctx ends. A dispatched booking counts although its
// caller may have left. It must be called after Stop.
func (l *Local) Wait(ctx context.Context) error {
	tick := time.NewTicker(idlePoll)
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
