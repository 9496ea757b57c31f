// Package capacity measures how the costs of the processes, such as memory, time and messages, grow with the size of
// the fleet. Each probe measures one cost at several sizes and fits a line, from which the cost is extrapolated to the
// size that is expected in two years. Command camphorbank-capacity prints the results.
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"
)

// Sizes and rates that are expected in two years, the two-year target.
const (
	Entries             = 360
	Targets             = 1200
	Processes           = Entries + Targets
	Accounts            = 2000
	Models              = 20
	DataCentres         = 11
	Ranks               = 128
	Experts             = 128
	Layers              = 60
	RequestsPerSecond   = 6300.0 // of all entries
	TokensPerSecond     = 1.8e6  // of all targets
	ConfigChangesPerDay = 1500.0
)

// Point is the cost measured at one size.
type Point struct{ Size, Cost float64 }

// Measurement is one cost of a process at several sizes.
type Measurement struct {
	Name       string
	Role       string // process that bears the cost: entry, local, both or coordinator
	Unit       string // of the cost
	Per        string // what Size counts
	Points     []Point
	TargetSize float64 // size at the two-year target
}

// Fit returns the slope and the intercept (base) of the least-squares line through the points.
func (m Measurement) Fit() (slope, base float64) {
	n := float64(len(m.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range m.Points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
	}
	determinant := n*sxx - sx*sx
	if determinant == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / determinant
	return slope, (sy - slope*sx) / n
}

// CostAtTargetSize returns the cost at the two-year target and reports whether it is extrapolated beyond the largest
// measured size.
func (m Measurement) CostAtTargetSize() (cost float64, extrapolated bool) {
	slope, base := m.Fit()
	largest := 0.0
	for _, p := range m.Points {
		largest = max(largest, p.Size)
	}
	return base + slope*m.TargetSize, m.TargetSize > largest
}

// String formats the measurement on one line.
func (m Measurement) String() string {
	points := make([]string, len(m.Points))
	for i, p := range m.Points {
		points[i] = fmt.Sprintf("%.6g:%.4g", p.Size, p.Cost)
	}
	slope, base := m.Fit()
	cost, extrapolated := m.CostAtTargetSize()
	return fmt.Sprintf("%s role=%s unit=%q per=%q points=%s slope=%.4g base=%.4g target_size=%.6g target_cost=%.4g extrapolated=%v",
		m.Name, m.Role, m.Unit, m.Per, strings.Join(points, ","), slope, base, m.TargetSize, cost, extrapolated)
}

// Probe is a named measurement of one cost.
type Probe struct {
	Name string
	Run  func(ctx context.Context) (Measurement, error)
}

// Probes lists all probes.
func Probes() []Probe {
	var out []Probe
	for _, group := range [][]Probe{entryProbes(), localProbes(), fleetProbes(), expertProbes(), switchProbes(), platformProbes()} {
		out = append(out, group...)
	}
	return out
}

// Run runs the probes one after the other and writes one line for each. It stops at the first probe that fails.
func Run(ctx context.Context, w io.Writer, probes []Probe) error {
	for _, p := range probes {
		m, err := p.Run(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", p.Name, err)
		}
		m.Name = p.Name
		if _, err := fmt.Fprintln(w, m); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// sweep measures the cost at each size and returns m with the points added.
func sweep(m Measurement, sizes []int, cost func(size int) (float64, error)) (Measurement, error) {
	for _, size := range sizes {
		c, err := cost(size)
		if err != nil {
			return m, err
		}
		m.Points = append(m.Points, Point{float64(size), c})
	}
	return m, nil
}

// heapBytes returns the number of heap bytes that the result of build keeps alive.
func heapBytes(build func() (any, error)) (float64, error) {
	before := liveHeapBytes()
	result, err := build()
	after := liveHeapBytes()
	runtime.KeepAlive(result)
	return float64(after) - float64(before), err
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fastestNanoseconds returns the time of one call in nanoseconds: the mean of the fastest of several batches, so that
// pauses of the machine do not count.
func fastestNanoseconds(calls int, call func(i int)) float64 {
	const batches = 25
	best := time.Duration(1<<63 - 1)
	for range batches {
		start := time.Now()
		for i := range calls {
			call(i)
		}
		best = min(best, time.Since(start))
	}
	return float64(best.Nanoseconds()) / float64(calls)
}
