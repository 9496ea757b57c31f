package status

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	maxConcurrentAsks = 32
	askTimeout        = 2 * time.Second
)

// Answer is the answer of the process on one VM, with the name of the VM.
type Answer[T any] struct {
	Name  string
	Value T
}

// Ask calls ask with the control address of every VM of the list, at most maxConcurrentAsks at a time. It returns the
// answers and the VMs that gave none, each sorted by name.
func Ask[T any](ctx context.Context, vms []wire.VM, ask func(ctx context.Context, addr string) (T, error)) ([]Answer[T], []Unreachable) {
	var mu sync.Mutex
	answers, unreachable := []Answer[T]{}, []Unreachable{}
	var g errgroup.Group
	g.SetLimit(maxConcurrentAsks)
	for _, vm := range vms {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			v, err := ask(ctx, vm.Control)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, Unreachable{Name: vm.Name, Error: err.Error()})
			} else {
				answers = append(answers, Answer[T]{vm.Name, v})
			}
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(answers, func(a, b Answer[T]) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(unreachable, func(a, b Unreachable) int { return cmp.Compare(a.Name, b.Name) })
	return answers, unreachable
}

// entryVMs returns the VMs of the list whose role is entry.
func entryVMs(vms []wire.VM) []wire.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm wire.VM) bool { return vm.Role != wire.RoleEntry })
}
