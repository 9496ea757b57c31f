// Package membership keeps one process's view of the VMs in the fleet: the platform's VM list, which may be out of
// date, corrected by what the processes on the VMs report about themselves.
//
// A VM that the list omits stays in the view for a short time, and longer while it responds. A VM whose address now
// belongs to another VM is left out, and a VM whose process drains has the state leaving.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	// absenceGrace is how long a VM that the list omits stays in the view without a response. Lists may be out of date,
	// and a VM without traffic has no occasion to respond.
	absenceGrace = 10 * time.Second
	// responseWindow is how long a response counts as evidence that a VM is alive.
	responseWindow = 30 * time.Second
	// maxAbsence is how long a VM that the list omits stays in the view at most, even if something still responds at its
	// address.
	maxAbsence = 10 * time.Minute
	// drainMarkLifetime is how long a process counts as draining after the hello that says so. The mark expires because
	// the next hello of a restarted process may arrive much later. Replies on the data path carry the mark as well.
	drainMarkLifetime = 30 * time.Second
)

// View is the view of the fleet. It keeps the last list while the platform does not answer. It is safe for concurrent
// use.
type View struct {
	source  port.VMList
	self    string
	clock   port.Clock
	index   atomic.Pointer[index]
	leaving chan struct{}

	mu            sync.Mutex
	members       map[string]*member
	listedAt      time.Time // when the platform last answered
	leavingClosed bool      // whether the channel leaving is closed
}

// member is a VM that the latest list contains, or that an earlier one contained and that is not yet deleted.
type member struct {
	vm           wire.VM
	firstListed  time.Time    // time of the first list with its present addresses
	lastListed   time.Time    // time of the latest list that contains it
	missingSince time.Time    // time of the first list that omits it; zero if the latest list contains it
	lastResponse atomic.Int64 // time of its last response in Unix nanoseconds
	hello        *wire.Hello  // latest hello of its process; nil if none was received
	helloTime    time.Time    // time of that hello
	replaced     bool         // a process of another name answers at its address
}

// Option configures a new View.
type Option func(*View)

// WithSelf sets the name of this process's VM. Peers leaves that VM out, and Leaving signals that it leaves.
func WithSelf(name string) Option { return func(v *View) { v.self = name } }

// WithClock replaces the system clock.
func WithClock(c port.Clock) Option { return func(v *View) { v.clock = c } }

// New returns an empty view, which reads the VM list from the source.
func New(source port.VMList, options ...Option) *View {
	v := &View{source: source, clock: port.SystemClock{}, leaving: make(chan struct{}), members: map[string]*member{}}
	for _, o := range options {
		o(v)
	}
	v.index.Store(&index{})
	return v
}

// Refresh reads the VM list once and updates the view. If the source fails, the view keeps the last list.
func (v *View) Refresh(ctx context.Context) error {
	vms, err := v.source.List(ctx)
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.rebuild(now)
		return err
	}
	v.listedAt = now
	for _, vm := range vms {
		v.applyListed(vm, now)
	}
	for _, m := range v.members {
		if !m.lastListed.Equal(now) && m.missingSince.IsZero() {
			m.missingSince = now
		}
	}
	v.rebuild(now)
	return nil
}

// Run refreshes the view at once and then at each interval until ctx ends. It passes errors to report.
func (v *View) Run(ctx context.Context, interval time.Duration, report func(error)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if err := v.Refresh(ctx); err != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// applyListed applies one entry of the VM list. A VM that is listed with new addresses becomes a new member.
func (v *View) applyListed(vm wire.VM, now time.Time) {
	m := v.members[vm.Name]
	if m == nil || m.vm.Control != vm.Control || m.vm.Data != vm.Data {
		m = &member{firstListed: now}
		v.members[vm.Name] = m
	}
	m.vm, m.lastListed, m.missingSince = vm, now, time.Time{}
	if vm.Name == v.self && vm.State == wire.StateLeaving && !v.leavingClosed {
		v.leavingClosed = true
		close(v.leaving)
	}
}

// Heard applies the hello of a process.
func (v *View) Heard(h wire.Hello) {
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.markReplaced(h)
	if m := v.members[h.Name]; m != nil && m.vm.Control == h.Control {
		m.lastResponse.Store(now.UnixNano())
		changed = changed || m.replaced || m.draining(now) != h.Draining
		m.hello, m.helloTime, m.replaced = &h, now, false
	}
	if changed {
		v.rebuild(now)
	}
}

// markReplaced marks the VMs of other names at the control address of the process as replaced, and reports whether it
// marked any.
func (v *View) markReplaced(h wire.Hello) bool {
	changed := false
	for _, m := range v.members {
		if m.vm.Control == h.Control && m.vm.Name != h.Name && !m.replaced {
			m.replaced, changed = true, true
		}
	}
	return changed
}

// Responded records that a VM responded, for example to an attempt. It takes no lock.
func (v *View) Responded(name string) {
	if m := v.index.Load().members[name]; m != nil {
		m.lastResponse.Store(v.clock.Now().UnixNano())
	}
}

// Leaving returns a channel that is closed when a list marks the VM of this process as leaving.
func (v *View) Leaving() <-chan struct{} { return v.leaving }

// ListedAt returns the time at which the platform last answered, or the zero time if it never did.
func (v *View) ListedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listedAt
}

// draining reports whether a recent hello of the process says that it drains.
func (m *member) draining(now time.Time) bool {
	return m.hello != nil && m.hello.Draining && now.Sub(m.helloTime) <= drainMarkLifetime
}
