package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/fleet"
	"github.com/camphorbank/camphorbank/internal/rankgroup"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// platformProbes lists the probes of the computations and messages of processes that run on the users' platform.
func platformProbes() []Probe {
	return []Probe{
		{"increment_ms_by_ranks", incrementByRanks},
		{"increment_ms_by_layers", incrementByLayers},
		{"beat_bytes", heartbeatBytes},
		{"group_state_bytes", groupStateBytes},
		{"rank_reading_bytes", rankReadingBytes},
	}
}

// platformLayers is the number of layers of the larger engines on the users' platform.
const platformLayers = 12

func incrementByRanks(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "ms a change of the map, 12 layers, 128 experts", Per: "ranks", TargetSize: Ranks}
	return sweep(m, []int{8, 32, 64, 128}, func(ranks int) (float64, error) { return incrementMS(ranks, platformLayers) })
}

func incrementByLayers(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "ms a change of the map, 32 ranks, 128 experts", Per: "layers", TargetSize: Layers}
	return sweep(m, []int{6, 12, 30, 60}, func(layers int) (float64, error) { return incrementMS(32, layers) })
}

// incrementMS measures the time to plan the first change of the map after a shift of popularity. In each layer one
// expert receives three tenths of the choices in addition to its even share of the rest.
func incrementMS(ranks, layers int) (float64, error) {
	s := expertmap.Shape{Ranks: ranks, Layers: layers, Experts: Experts, SlotsPerRank: Experts/ranks + 2}
	rng := rand.New(rand.NewPCG(1, 2))
	loads := make([][]float64, layers)
	for l := range loads {
		loads[l] = make([]float64, Experts)
		for e := range loads[l] {
			loads[l][e] = 0.7 / Experts
		}
		loads[l][rng.IntN(Experts)] += 0.3
	}
	in := expertmap.Increment{Shape: s, Loads: loads, Current: expertmap.RoundRobin(s), MaxLoadsPerRank: 3, MaxLoadsPerLayer: 2, MinGain: 0.01}
	start := time.Now()
	if out := in.Make(); out.After >= out.Before {
		return 0, fmt.Errorf("%d ranks, %d layers: the planned change does not reduce the imbalance", ranks, layers)
	}
	return 1000 * time.Since(start).Seconds(), nil
}

// heartbeatBytes measures the size of the heartbeat that an entry sends to another entry.
func heartbeatBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "entry", Unit: "bytes a beat, without frame", Per: "targets", TargetSize: Targets}
	return sweep(m, []int{19, 71, 300, Targets}, func(targets int) (float64, error) {
		return jsonBytes(fleet.Heartbeat{From: fleet.Entry{Name: "front-a-1", Control: "10.1.0.40:8229", Started: 1 << 60}, Config: 4000,
			List: targetset.Position{Revision: 9000}, Members: 1 << 63, InFlight: make([]byte, targets), ReadsPlatform: true})
	})
}

// groupStateBytes measures the size of a full report of a group, which names its ranks and is sent once a second.
func groupStateBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "bytes a full report", Per: "ranks", TargetSize: Ranks}
	return sweep(m, []int{8, 32, 128}, func(ranks int) (float64, error) {
		s := fleet.GroupState{Group: "g0-0", Term: 1 << 50, Seq: 9000, Epoch: 3, Open: true, Imbalance: 1.123456789}
		for i := range ranks {
			s.Ranks = append(s.Ranks, fleet.RankState{Engine: fmt.Sprintf("10.1.0.%d:8464", i), Pace: 1})
		}
		return jsonBytes(s)
	})
}

// rankReadingBytes measures the size of one reading of a rank with its counts. The counts of a layer take four bytes and
// half a byte for each expert.
func rankReadingBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "bytes a reading, 128 experts", Per: "layers", TargetSize: Layers}
	return sweep(m, []int{6, 12, 60}, func(layers int) (float64, error) {
		return jsonBytes(rankgroup.ReadReply{Number: 1 << 60, Since: make([]byte, layers*(4+Experts/2)),
			Status: rankgroup.Status{Group: "g0-0", Epoch: 1, Rank: 17, Size: 32, Open: true, StartedAtMs: 1 << 40, Step: 9000, Map: 99,
				Sequence: 300, Active: 8, MemoryUsed: 90_000, MemoryTotal: 233_333, Pace: 1}})
	})
}

func jsonBytes(v any) (float64, error) {
	raw, err := json.Marshal(v)
	return float64(len(raw)), err
}
