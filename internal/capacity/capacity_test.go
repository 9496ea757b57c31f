package capacity

import (
	"math"
	"testing"
)

// TestFit guards against a wrong slope or intercept, which would falsify the costs on the capacity page.
func TestFit(t *testing.T) {
	m := Measurement{Points: []Point{{1, 12}, {2, 14}, {4, 18}}, TargetSize: 10}
	slope, base := m.Fit()
	if math.Abs(slope-2) > 1e-9 || math.Abs(base-10) > 1e-9 {
		t.Errorf("slope %g, base %g; want 2 and 10", slope, base)
	}
	if cost, extrapolated := m.CostAtTargetSize(); math.Abs(cost-30) > 1e-9 || !extrapolated {
		t.Errorf("cost %g, extrapolated %v; want 30, true", cost, extrapolated)
	}
}

// TestProbesMeasureThreeSizes guards against a slope that is fitted to fewer than three sizes, and against a probe that
// fails. The other probes simulate whole fleets or groups and take tens of seconds; only scripts/capacity runs them.
func TestProbesMeasureThreeSizes(t *testing.T) {
	for _, group := range [][]Probe{entryProbes(), localProbes(), platformProbes()} {
		for _, p := range group {
			m, err := p.Run(t.Context())
			if err != nil || len(m.Points) < 3 {
				t.Errorf("%s: %d points, %v", p.Name, len(m.Points), err)
			}
		}
	}
}
