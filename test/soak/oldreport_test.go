package soak_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/test/standin/expertgroup"
)

const (
	// maxReportAge is the greatest age of a report to another process than the one beside the engine.
	maxReportAge = 4 * time.Second
	// statedReportLag is the age that the configuration states.
	statedReportLag = 200 * time.Millisecond
	// reportSampleInterval is the time between two samples of the state of all ranks.
	reportSampleInterval = 5 * time.Millisecond
)

// reportHistory holds the states of all ranks in the last maxReportAge. It is safe for concurrent use.
type reportHistory struct {
	mu      sync.Mutex
	samples []groupSample
}

// groupSample is the state of all ranks at one time.
type groupSample struct {
	at    time.Time
	ranks []expertgroup.Status
}

// run samples the state of all ranks until ctx ends.
func (h *reportHistory) run(ctx context.Context, g *expertgroup.Group) {
	for ctx.Err() == nil {
		now := groupSample{at: time.Now()}
		for _, r := range g.Ranks {
			now.ranks = append(now.ranks, r.Status())
		}
		h.mu.Lock()
		h.samples = append(h.samples, now)
		for len(h.samples) > 1 && time.Since(h.samples[0].at) > maxReportAge {
			h.samples = h.samples[1:]
		}
		h.mu.Unlock()
		time.Sleep(reportSampleInterval)
	}
}

// draw returns a state of a rank from a drawn time in the last maxReportAge.
func (h *reportHistory) draw(r *expertgroup.Rank) expertgroup.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.samples) == 0 {
		return r.Status()
	}
	s := h.samples[rand.IntN(len(h.samples))]
	return s.ranks[r.Status().Index]
}

// reportOldStates makes engines report old states to other processes than the one beside them until ctx ends.
func (w *system) reportOldStates(ctx context.Context) {
	h := &reportHistory{}
	w.history.Store(h)
	go h.run(ctx, w.group)
}

// reportedState returns the state that the engine reports on a connection.
func (r *proxiedTarget) reportedState(c net.Conn) expertgroup.Status {
	h := r.system.history.Load()
	if h == nil || r.isFromOwnProcess(c) {
		return r.rank.Status()
	}
	return h.draw(r.rank)
}
