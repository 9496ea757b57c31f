// Package capacity measures how the cost of each part grows with its size, and works out the cost at the size that
// is expected in two years.
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"
)

// Sizes of the two-year target.
const (
	Entries     = 360
	Targets     = 1200
	Processes   = Entries + Targets
	Accounts    = 2000
	Models      = 20
	DataCentres = 11
	Ranks       = 128
	Experts     = 128
	Layers      = 60
	Requests    = 6300.0 // a second, all entries
	Tokens      = 1.8e6  // a second, all targets
	Changes     = 1500.0 // of the configuration a day
)

// Point is one measured cost.
type Point struct{ Size, Cost float64 }

// Measurement is the cost of a part at several sizes.
type Measurement struct {
	Name   string
	Role   string // entry, local, both or coordinator
	Unit   string // of the cost
	Per    string // what Size counts
	Points []Point
	Target float64 // size at the two-year target
}

// Fit returns the slope and the base of the line through the points by least squares.
func (m Measurement) Fit() (slope, base float64) {
	n := float64(len(m.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range m.Points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return 0, sy / n
	}
	slope = (n*sxy - sx*sy) / d
	return slope, (sy - slope*sx) / n
}

// AtTarget returns the cost at the two-year target, and whether it is extrapolated beyond the largest measured size.
func (m Measurement) AtTarget() (cost float64, extrapolated bool) {
	slope, base := m.Fit()
	largest := 0.0
	for _, p := range m.Points {
		largest = max(largest, p.Size)
	}
	return base + slope*m.Target, m.Target > largest
}

// String formats the measurement on one line.
func (m Measurement) String() string {
	points := make([]string, len(m.Points))
	for i, p := range m.Points {
		points[i] = fmt.Sprintf("%.6g:%.4g", p.Size, p.Cost)
	}
	slope, base := m.Fit()
	cost, extrapolated := m.AtTarget()
	return fmt.Sprintf("%s role=%s unit=%q per=%q points=%s slope=%.4g base=%.4g target_size=%.6g target_cost=%.4g extrapolated=%v",
		m.Name, m.Role, m.Unit, m.Per, strings.Join(points, ","), slope, base, m.Target, cost, extrapolated)
}

// Probe takes one measurement.
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

// Run takes all measurements and prints one line for each.
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

// sweep measures cost at each size.
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

// heapBytes returns the bytes that the result of build holds.
func heapBytes(build func() (any, error)) (float64, error) {
	before := liveBytes()
	kept, err := build()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before), err
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// nanoseconds returns the shortest time of one call over several batches, so that pauses of the machine do not count.
func nanoseconds(calls int, call func(i int)) float64 {
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
