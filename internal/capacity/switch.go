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

// switchProbes measure one change of a group's map, with all messages encoded as between processes.
func switchProbes() []Probe {
	return []Probe{
		{"switch_messages", func(ctx context.Context) (Measurement, error) { return switchCost(ctx, "messages", switchMessages) }},
		{"switch_coordinator_bytes", func(ctx context.Context) (Measurement, error) { return switchCost(ctx, "bytes", switchBytes) }},
		{"switch_ms", func(ctx context.Context) (Measurement, error) {
			return switchCost(ctx, "ms without network latency", switchMS)
		}},
	}
}

type switchRun struct {
	messages, bytes atomic.Int64
	took            time.Duration
}

func switchMessages(r *switchRun) float64 { return float64(r.messages.Load()) }
func switchBytes(r *switchRun) float64    { return float64(r.bytes.Load()) }
func switchMS(r *switchRun) float64       { return 1000 * r.took.Seconds() }

func switchCost(ctx context.Context, unit string, cost func(*switchRun) float64) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: unit + " a change of the map, 60 layers, 128 experts, one expert moved in each layer", Per: "ranks", Target: Ranks}
	return sweep(m, []int{32, 64, 128}, func(ranks int) (float64, error) {
		r, err := runSwitch(ctx, ranks)
		if err != nil {
			return 0, err
		}
		return cost(r), nil
	})
}

// runSwitch changes the map of a group of engines in memory.
func runSwitch(ctx context.Context, ranks int) (*switchRun, error) {
	shape := expertmap.Shape{Ranks: ranks, Layers: Layers, Experts: Experts, SlotsPerRank: max(3, 2*Experts/ranks)}
	current, run := expertmap.RoundRobin(shape), &switchRun{}
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
			run.count(message, reply)
			return reply, err
		},
	})
	if _, err := c.Recover(ctx); err != nil {
		return nil, err
	}
	run.messages.Store(0)
	run.bytes.Store(0)
	start := time.Now()
	_, err := c.Switch(ctx, movedMap(current))
	run.took = time.Since(start)
	return run, err
}

func (r *switchRun) count(messages ...any) {
	for _, m := range messages {
		raw, err := json.Marshal(m)
		if err == nil {
			r.messages.Add(1)
			r.bytes.Add(int64(len(raw)))
		}
	}
}

// movedMap returns the map with one expert of another rank in the last slot of rank 0 in each layer.
func movedMap(m port.ExpertMap) port.ExpertMap {
	out := port.ExpertMap{Slots: make([][][]int, len(m.Slots))}
	for l, rows := range m.Slots {
		out.Slots[l] = append([][]int{}, rows...)
		row := append([]int{}, rows[0]...)
		row[len(row)-1] = rows[len(rows)/2][0]
		out.Slots[l][0] = row
	}
	return out
}

// memoryEngine is one rank's engine, which does not step.
type memoryEngine struct {
	mu      sync.Mutex
	state   port.RankState
	current port.ExpertMap
}

var errNotUsed = errors.New("not used")

// State returns the state.
func (e *memoryEngine) State(context.Context) (port.RankState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// Map returns the map in use.
func (e *memoryEngine) Map(context.Context) (port.ExpertMap, error) { return e.current, nil }

// Popularity is not used.
func (e *memoryEngine) Popularity(context.Context) (port.Popularity, error) {
	return port.Popularity{}, errNotUsed
}

func (e *memoryEngine) change(fence int64, do func(s *port.RankState)) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Fence = fence
	do(&e.state)
	return nil
}

// Fence raises the fencing number.
func (e *memoryEngine) Fence(_ context.Context, fence int64) error {
	return e.change(fence, func(*port.RankState) {})
}

// Stage loads the map at once.
func (e *memoryEngine) Stage(_ context.Context, fence int64, m port.ExpertMap) error {
	return e.change(fence, func(s *port.RankState) { s.Staged = append(s.Staged, m.Epoch) })
}

// Hold keeps the rank from beginning the step.
func (e *memoryEngine) Hold(_ context.Context, fence, epoch, step int64) error {
	return e.change(fence, func(s *port.RankState) { s.Hold = &port.RankHold{Epoch: epoch, Step: step} })
}

// Commit decides the epoch.
func (e *memoryEngine) Commit(_ context.Context, fence, epoch int64) error {
	return e.change(fence, func(s *port.RankState) {
		s.Committed, s.Decided, s.Epoch, s.Hold, s.Staged = epoch, epoch, epoch, nil, nil
	})
}

// Abort decides against the epoch.
func (e *memoryEngine) Abort(_ context.Context, fence, epoch int64) error {
	return e.change(fence, func(s *port.RankState) { s.Decided, s.Hold, s.Staged = epoch, nil, nil })
}
