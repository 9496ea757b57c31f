// Package harness builds the programs under test, starts a fleet of real processes on loopback, and puts proxies that inject
// network faults in front of their listeners.
package harness

import (
	"slices"

	"github.com/camphorbank/camphorbank/internal/localfleet"
	"github.com/camphorbank/camphorbank/internal/wire"
	"github.com/camphorbank/camphorbank/test/faultproxy"
)

// Fleet is a local fleet in which other processes can be made to reach a node through links.
type Fleet struct {
	*localfleet.Fleet
	// Proxied, if set, puts links in front of each node that is started from now on, and lists their addresses in the
	// VM list in place of the node's own.
	Proxied bool
	links   []*faultproxy.Link
}

// NewFleet returns a fleet that keeps its files in dir and runs the programs built in bin.
func NewFleet(dir, bin string) *Fleet {
	f := &Fleet{Fleet: &localfleet.Fleet{Dir: dir, Bin: bin}}
	f.NewProxy = func(vm *wire.VM) (any, error) {
		if !f.Proxied {
			return Links{}, nil
		}
		return f.addLinks(vm)
	}
	return f
}

// Stop stops all processes gracefully, kills those that do not end in time, and closes the links.
func (f *Fleet) Stop() error {
	err := f.Fleet.Stop()
	for _, l := range f.links {
		l.Close()
	}
	return err
}

// LinksOf returns the links in front of a node.
func LinksOf(n *localfleet.Node) Links {
	links, _ := n.Proxy.(Links)
	return links
}

// HealLinks removes the plans of all links, heals them, and waits until no redelivered request or duplicate is pending.
func (f *Fleet) HealLinks() error {
	for _, l := range f.links {
		l.SetPlan(nil)
		l.Heal()
	}
	return localfleet.WaitFor("late deliveries", func() bool {
		return !slices.ContainsFunc(f.links, func(l *faultproxy.Link) bool { return l.Pending() > 0 })
	})
}

// PublishLinksFor publishes a VM list for one reader only, in which each VM is behind new links, and returns the links
// by VM name. The reader alone can then be cut off from some of the VMs.
func (f *Fleet) PublishLinksFor(reader string) (map[string]Links, error) {
	links := map[string]Links{}
	vms := slices.Clone(f.VMs)
	for i := range vms {
		l, err := f.addLinks(&vms[i])
		if err != nil {
			return nil, err
		}
		links[vms[i].Name] = l
	}
	return links, f.PublishVMsFor(reader, vms)
}

// Links are the links in front of one VM. Data is nil for an entry.
type Links struct{ Data, Control *faultproxy.Link }

// addLinks puts links in front of a VM and replaces the addresses in vm, its line of the VM list, by theirs.
func (f *Fleet) addLinks(vm *wire.VM) (links Links, err error) {
	for addr, link := range map[*string]**faultproxy.Link{&vm.Data: &links.Data, &vm.Control: &links.Control} {
		if *addr == "" {
			continue
		}
		if *link, err = faultproxy.New(*addr); err != nil {
			return links, err
		}
		*addr = (*link).Addr()
		f.links = append(f.links, *link)
	}
	return links, nil
}
