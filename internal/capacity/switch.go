package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/mapswitch"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/wire"
)

// switchProbes lists the probes of one change of a group's expert map. All messages are encoded as between processes.
func switchProbes() []Probe {
	return []Probe{
		{"switch_messages", func(ctx context.Context) (Measurement, error) { return switchCost(ctx, "messages", switchMessages) }},
		{"switch_coordinator_bytes", func(ctx context.Context) (Measurement, error) { return switchCost(ctx, "bytes", switchBytes) }},
		{"switch_ms", func(ctx context.Context) (Measurement, error) {
			return switchCost(ctx, "ms without network latency", switchMS)
		}},
	}
}

type switchStats struct {
	messages, bytes atomic.Int64
	duration        time.Duration
}

func switchMessages(r *switchStats) float64 { return float64(r.messages.Load()) }
func switchBytes(r *switchStats) float64    { return float64(r.bytes.Load()) }
func switchMS(r *switchStats) float64       { return 1000 * r.duration.Seconds() }

func switchCost(ctx context.Context, unit string, cost func(*switchStats) float64) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: unit + " a change of the map, 60 layers, 128 experts, one expert moved in each layer", Per: "ranks", TargetSize: Ranks}
	return sweep(m, []int{32, 64, 128}, func(ranks int) (float64, error) {
		r, err := runSwitch(ctx, ranks)
		if err != nil {
			return 0, err
		}
		return cost(r), nil
	})
}

// runSwitch changes the map of a group of in-memory engines and returns the cost of the change.
func runSwitch(ctx context.Context, ranks int) (*switchStats, error) {
	shape := expertmap.Shape{Ranks: ranks, Layers: Layers, Experts: Experts, SlotsPerRank: max(3, 2*Experts/ranks)}
	current, stats := expertmap.RoundRobin(shape), &switchStats{}
	participants := make([]*mapswitch.Participant, ranks)
	for rank := range ranks {
		engine := &memoryEngine{current: current, state: port.RankState{Group: "g", Rank: rank, Step: 100, CanHold: true}}
		participants[rank] = mapswitch.NewParticipant(wire.GroupAddress{Group: "g", Rank: rank}, engine,
			func(context.Context) (wire.Coordinator, error) { return wire.Coordinator{}, nil })
	}
	c := mapswitch.NewCoordinator(mapswitch.Options{
		Group: "g", Ranks: ranks, ID: "i", Announce: func(wire.Coordinator) {}, Retry: time.Millisecond, Prepare: time.Millisecond,
		Current: func(context.Context) (port.ExpertMap, error) { return current, nil },
		Call: func(ctx context.Context, rank int, _ string, message any) (wire.GroupReply, error) {
			reply, err := participants[rank].Handle(ctx, message)
			stats.count(message, reply)
			return reply, err
		},
	})
	if _, err := c.Recover(ctx); err != nil {
		return nil, err
	}
	stats.messages.Store(0)
	stats.bytes.Store(0)
	start := time.Now()
	_, err := c.Switch(ctx, mapWithMovedExperts(current))
	stats.duration = time.Since(start)
	return stats, err
}

func (r *switchStats) count(messages ...any) {
	for _, m := range messages {
		raw, err := json.Marshal(m)
		if err == nil {
			r.messages.Add(1)
			r.bytes.Add(int64(len(raw)))
		}
	}
}

// mapWithMovedExperts returns a copy of the map in which the last slot of rank 0 holds, in each layer, an expert of
// another rank.
func mapWithMovedExperts(m port.ExpertMap) port.ExpertMap {
	out := port.ExpertMap{Slots: make([][][]int, len(m.Slots))}
	for l, rows := range m.Slots {
		out.Slots[l] = append([][]int{}, rows...)
		row := append([]int{}, rows[0]...)
		row[len(row)-1] = rows[len(rows)/2][0]
		out.Slots[l][0] = row
	}
	return out
}

// memoryEngine is the engine of one rank, kept in memory. It runs no steps.
type memoryEngine struct {
	mu      sync.Mutex
	state   port.RankState
	current port.ExpertMap
}

var errNotUsed = errors.New("the in-memory engine reports no popularity")

// State returns the rank's state.
func (e *memoryEngine) State(context.Context) (port.RankState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// Map returns the map in use.
func (e *memoryEngine) Map(context.Context) (port.ExpertMap, error) { return e.current, nil }

// Popularity returns an error; a change of the map does not read it.
func (e *memoryEngine) Popularity(context.Context) (port.Popularity, error) {
	return port.Popularity{}, errNotUsed
}

func (e *memoryEngine) update(fence int64, do func(s *port.RankState)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Fence = fence
	do(&e.state)
	return nil
}

// Fence raises the fencing number.
func (e *memoryEngine) Fence(_ context.Context, fence int64) error {
	return e.update(fence, func(*port.RankState) {})
}

// Stage loads the map at once.
func (e *memoryEngine) Stage(_ context.Context, fence int64, m port.ExpertMap) error {
	return e.update(fence, func(s *port.RankState) { s.Staged = append(s.Staged, m.Epoch) })
}

// Hold places the hold that keeps the rank from beginning the step.
func (e *memoryEngine) Hold(_ context.Context, fence, epoch, step int64) error {
	return e.update(fence, func(s *port.RankState) { s.Hold = &port.RankHold{Epoch: epoch, Step: step} })
}

// Commit commits the epoch, which takes effect at once.
func (e *memoryEngine) Commit(_ context.Context, fence, epoch int64) error {
	return e.update(fence, func(s *port.RankState) {
		s.Committed, s.Decided, s.Epoch, s.Hold, s.Staged = epoch, epoch, epoch, nil, nil
	})
}

// Abort aborts the epoch.
func (e *memoryEngine) Abort(_ context.Context, fence, epoch int64) error {
	return e.update(fence, func(s *port.RankState) { s.Decided, s.Hold, s.Staged = epoch, nil, nil })
}
