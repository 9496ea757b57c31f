package main

import (
	"context"
	"slices"
	"sync"
)

// batch assigns a limited number of slots to requests by priority, and in order of arrival among equal priorities.
type batch struct {
	mu        sync.Mutex
	freeSlots int
	waiting   []*slotRequest // highest priority first
}

type slotRequest struct {
	priority int
	admitted chan struct{}
}

// acquireSlot waits for a free slot. It reports whether the request got one before ctx ended.
func (b *batch) acquireSlot(ctx context.Context, priority int) bool {
	w := &slotRequest{priority: priority, admitted: make(chan struct{})}
	b.mu.Lock()
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority < priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, w)
	b.admitLocked()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiting, w); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		return false
	}
	b.freeSlots++ // the slot was assigned after ctx had ended
	b.admitLocked()
	return false
}

func (b *batch) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeSlots++
	b.admitLocked()
}

func (b *batch) admitLocked() {
	for b.freeSlots > 0 && len(b.waiting) > 0 {
		b.freeSlots--
		close(b.waiting[0].admitted)
		b.waiting = b.waiting[1:]
	}
}
