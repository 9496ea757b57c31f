package membership

import (
	"sort"
	"time"

	"github.com/camphorbank/camphorbank/internal/wire"
)

// index is an immutable snapshot of the view, which readers use without a lock. Its slices are shared by all readers.
type index struct {
	members map[string]*member
	vms     []wire.VM // all VMs, sorted by name
	peers   []wire.VM // all VMs except that of this process, sorted by name
	targets map[targetKey][]wire.VM
}

type targetKey struct {
	kind   wire.Kind
	serves string
}

// VMs returns all VMs, sorted by name. The slice is shared and must not be changed.
func (v *View) VMs() []wire.VM { return v.index.Load().vms }

// Peers returns all VMs except that of this process, sorted by name. The slice is shared and must not be changed.
func (v *View) Peers() []wire.VM { return v.index.Load().peers }

// Targets returns the VMs of targets that serve the model or plain service. Draining ones are included with the state
// leaving. It does not allocate. The slice is shared and must not be changed.
func (v *View) Targets(kind wire.Kind, serves string) []wire.VM {
	return v.index.Load().targets[targetKey{kind, serves}]
}

// VM returns the VM with the given name, or false if there is none.
func (v *View) VM(name string) (wire.VM, bool) {
	vms := v.index.Load().vms
	i := sort.Search(len(vms), func(i int) bool { return vms[i].Name >= name })
	if i == len(vms) || vms[i].Name != name {
		return wire.VM{}, false
	}
	return vms[i], true
}

// Hello returns the latest hello of the named process, or false if none was received.
func (v *View) Hello(name string) (wire.Hello, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.members[name]
	if m == nil || m.hello == nil {
		return wire.Hello{}, false
	}
	return *m.hello, true
}

// rebuild deletes the members that are gone and publishes a new index, which leaves out members whose address belongs
// to another VM. The caller holds the lock.
func (v *View) rebuild(now time.Time) {
	for name, m := range v.members {
		if !v.retains(m, now) {
			delete(v.members, name)
		}
	}
	owners := v.addressOwners()
	next := &index{members: map[string]*member{}, targets: map[targetKey][]wire.VM{}}
	for name, m := range v.members {
		if m.replaced || owners[m.vm.Control] != m || (m.vm.Data != "" && owners[m.vm.Data] != m) {
			continue
		}
		next.members[name] = m
		next.vms = append(next.vms, m.currentVM(now))
	}
	sort.Slice(next.vms, func(i, j int) bool { return next.vms[i].Name < next.vms[j].Name })
	for _, vm := range next.vms {
		if vm.Name != v.self {
			next.peers = append(next.peers, vm)
		}
		if vm.Role == wire.RoleTarget {
			key := targetKey{vm.Kind, vm.Serves}
			next.targets[key] = append(next.targets[key], vm)
		}
	}
	v.index.Store(next)
}

// retains reports whether the view keeps a member: the latest list contains it, or it has not been absent for too long.
// Absence is counted up to the platform's last answer, so an outage of the platform does not add to it.
func (v *View) retains(m *member, now time.Time) bool {
	absent := v.listedAt.Sub(m.missingSince)
	if m.missingSince.IsZero() || absent <= absenceGrace {
		return true
	}
	return absent <= maxAbsence && now.Sub(time.Unix(0, m.lastResponse.Load())) <= responseWindow
}

// addressOwners returns the owner of each address. If several VMs claim an address, the most recently listed one owns
// it, and among those the one that was first listed with it most recently.
func (v *View) addressOwners() map[string]*member {
	owners := map[string]*member{}
	for _, m := range v.members {
		for _, addr := range []string{m.vm.Control, m.vm.Data} {
			if owner := owners[addr]; addr != "" && (owner == nil || m.overrides(owner)) {
				owners[addr] = m
			}
		}
	}
	return owners
}

// overrides reports whether m, rather than other, owns an address that both claim.
func (m *member) overrides(other *member) bool {
	if !m.lastListed.Equal(other.lastListed) {
		return m.lastListed.After(other.lastListed)
	}
	if !m.firstListed.Equal(other.firstListed) {
		return m.firstListed.After(other.firstListed)
	}
	return m.vm.Name > other.vm.Name // both appeared in the same list; by the name, every process decides the same way
}

// currentVM returns the VM as listed, with the state leaving if its process reports that it drains.
func (m *member) currentVM(now time.Time) wire.VM {
	vm := m.vm
	if m.draining(now) {
		vm.State = wire.StateLeaving
	}
	return vm
}
