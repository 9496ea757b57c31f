package capacity

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

// expertProbes lists the probes of planning the expert map, which the coordinator of a rank group does.
func expertProbes() []Probe {
	return []Probe{
		{"plan_ms_by_ranks", planByRanks},
		{"plan_ms_by_layers", planByLayers},
		{"expert_map_bytes", expertMapBytes},
		{"popularity_bytes", popularityBytes},
	}
}

func planByRanks(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "ms a plan, 60 layers, 128 experts", Per: "ranks", TargetSize: Ranks}
	return sweep(m, []int{32, 64, 128}, func(ranks int) (float64, error) {
		return planMS(expertmap.Shape{Ranks: ranks, Layers: Layers, Experts: Experts, SlotsPerRank: max(3, 2*Experts/ranks)})
	})
}

func planByLayers(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "ms a plan, 128 ranks, 128 experts", Per: "layers", TargetSize: Layers}
	return sweep(m, []int{15, 30, 60}, func(layers int) (float64, error) {
		return planMS(expertmap.Shape{Ranks: Ranks, Layers: layers, Experts: Experts, SlotsPerRank: 3})
	})
}

func planMS(shape expertmap.Shape) (float64, error) {
	rng := rand.New(rand.NewPCG(1, 2))
	loads := make([][]float64, shape.Layers)
	for l := range loads {
		loads[l] = make([]float64, shape.Experts)
		for e := range loads[l] {
			loads[l][e] = rng.ExpFloat64()
		}
	}
	in := expertmap.Input{Shape: shape, Loads: loads, Current: expertmap.RoundRobin(shape),
		Policy: expertmap.Policy{Skew: 1.05, Interval: time.Minute, Horizon: 10 * time.Minute},
		Costs:  expertmap.Costs{ExpertBytes: 50 << 20, BytesPerSecond: 10 << 30}, Since: time.Hour}
	start := time.Now()
	_, err := expertmap.Make(in)
	return 1000 * time.Since(start).Seconds(), err
}

// expertMapBytes measures the message that stages a map at one rank.
func expertMapBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "bytes a message", Per: "ranks", TargetSize: Ranks}
	return sweep(m, []int{32, 64, 128}, func(ranks int) (float64, error) {
		raw, err := json.Marshal(expertmap.RoundRobin(expertmap.Shape{Ranks: ranks, Layers: Layers, Experts: Experts, SlotsPerRank: max(3, 2*Experts/ranks)}))
		return float64(len(raw)), err
	})
}

// popularityBytes measures a report of expert popularity. The coordinator reads one report for the whole group.
func popularityBytes(context.Context) (Measurement, error) {
	m := Measurement{Role: "coordinator", Unit: "bytes a report", Per: "layers", TargetSize: Layers}
	return sweep(m, []int{15, 30, 60}, func(layers int) (float64, error) {
		p := port.Popularity{Seq: 1, Tokens: make([][]float64, layers)}
		for l := range p.Tokens {
			p.Tokens[l] = make([]float64, Experts)
			for e := range p.Tokens[l] {
				p.Tokens[l][e] = float64(1000*l + e)
			}
		}
		raw, err := json.Marshal(p)
		return float64(len(raw)), err
	})
}
