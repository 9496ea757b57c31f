package mapswitch

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// errOtherBase is returned for a change that was made for another map than the one in use at the rank.
var errOtherBase = errors.New("the change is made for another map")

// diffMaps returns the change that turns base into next, or nil if the two maps differ in size. A whole map of 128
// ranks and 60 layers takes about 88 KB for each rank; a change usually contains only a few of its rows.
func diffMaps(base, next port.ExpertMap) *wire.MapChange {
	if len(base.Slots) != len(next.Slots) {
		return nil
	}
	c := &wire.MapChange{Base: base.Epoch, Epoch: next.Epoch, Hash: mapHash(next)}
	for l := range next.Slots {
		if len(base.Slots[l]) != len(next.Slots[l]) {
			return nil
		}
		for r, experts := range next.Slots[l] {
			if !slices.Equal(experts, base.Slots[l][r]) {
				c.Rows = append(c.Rows, wire.MapRow{Layer: l, Rank: r, Experts: experts})
			}
		}
	}
	return c
}

// applyChange returns the map that results from applying a change to base. It does not modify base.
func applyChange(base port.ExpertMap, c *wire.MapChange) (port.ExpertMap, error) {
	if base.Epoch != c.Base {
		return port.ExpertMap{}, fmt.Errorf("%w: epoch %d, in use is %d", errOtherBase, c.Base, base.Epoch)
	}
	next := port.ExpertMap{Epoch: c.Epoch, Slots: make([][][]int, len(base.Slots))}
	for l := range base.Slots {
		next.Slots[l] = slices.Clone(base.Slots[l])
	}
	for _, row := range c.Rows {
		if row.Layer < 0 || row.Layer >= len(next.Slots) || row.Rank < 0 || row.Rank >= len(next.Slots[row.Layer]) {
			return port.ExpertMap{}, fmt.Errorf("%w: no layer %d, rank %d", errOtherBase, row.Layer, row.Rank)
		}
		next.Slots[row.Layer][row.Rank] = row.Experts
	}
	if mapHash(next) != c.Hash {
		return port.ExpertMap{}, fmt.Errorf("%w: the resulting map has another hash", errOtherBase)
	}
	return next, nil
}

// mapHash returns a hash of the placement of experts. The epoch is not part of it.
func mapHash(m port.ExpertMap) string {
	d := xxhash.New()
	for l, ranks := range m.Slots {
		for r, experts := range ranks {
			fmt.Fprintln(d, l, r, experts)
		}
	}
	return fmt.Sprintf("%016x", d.Sum64())
}
