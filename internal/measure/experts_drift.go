package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

// driftTrial describes a simulation, in virtual time, of map planning while the popularity of the experts drifts. The
// logarithm of an expert's popularity is the sum of a sine wave with a period of a day, a sine wave with a period of
// six hours and a small random walk. At random times the workload changes, and some experts get new phases of both
// waves at once.
type driftTrial struct {
	shape             expertmap.Shape
	policy            expertmap.Policy
	costs             expertmap.Costs
	reports           int           // number of popularity reports in the trial
	interval          time.Duration // between two reports
	waveStdDev        float64       // of the sum of both waves
	walkStdDev        float64       // of the random walk, which decays with a time constant of an hour
	meanShiftInterval time.Duration // mean time between two sudden changes
	shiftedShare      float64       // share of the experts that such a change affects
	tokensPerLayer    float64       // counted in one report
	lostShare         float64       // share of reports lost
	reportLag         int           // delay of a report, in reports
}

// driftResult holds the mean skews over the trial and the bytes that the trial moved in total.
type driftResult struct {
	oursSkew, staticSkew, skewBound float64 // means; skewBound is the lower bound over all maps
	oursBytes, scratchBytes         int64
}

func groupDrift(s expertmap.Shape) driftTrial {
	return driftTrial{
		shape:             s,
		policy:            expertmap.Policy{Skew: 1.02, Interval: time.Minute, Horizon: 10 * time.Minute},
		costs:             expertmap.Costs{ExpertBytes: 44 << 20, BytesPerSecond: 4 << 30, Pause: 100 * time.Millisecond, LoadSlowdown: 0.02},
		reports:           960,
		interval:          15 * time.Second,
		waveStdDev:        1,
		walkStdDev:        0.1,
		meanShiftInterval: 2 * time.Hour,
		shiftedShare:      0.05,
		tokensPerLayer:    200_000,
		lostShare:         0.1,
		reportLag:         1,
	}
}

// popularity is the true popularity of the experts, of which the reports give noisy counts.
type popularity struct {
	trial        driftTrial
	rng          *rand.Rand
	now          time.Duration
	dayPhase     [][]float64 // phase of the wave with a period of a day
	sixHourPhase [][]float64 // phase of the wave with a period of six hours
	walk         [][]float64
}

func newPopularity(d driftTrial, rng *rand.Rand) *popularity {
	p := &popularity{trial: d, rng: rng}
	for range d.shape.Layers {
		p.dayPhase = append(p.dayPhase, p.newRow(p.randomPhase))
		p.sixHourPhase = append(p.sixHourPhase, p.newRow(p.randomPhase))
		p.walk = append(p.walk, p.newRow(func() float64 { return d.walkStdDev * rng.NormFloat64() }))
	}
	return p
}

func (p *popularity) newRow(draw func() float64) []float64 {
	row := make([]float64, p.trial.shape.Experts)
	for e := range row {
		row[e] = draw()
	}
	return row
}

func (p *popularity) randomPhase() float64 { return 2 * math.Pi * p.rng.Float64() }

func (p *popularity) advance() {
	step := p.trial.interval
	p.now += step
	decay := math.Exp(-step.Hours())
	noise := p.trial.walkStdDev * math.Sqrt(1-decay*decay)
	shift := p.rng.Float64() < step.Hours()/p.trial.meanShiftInterval.Hours()
	for l, row := range p.walk {
		for e := range row {
			row[e] = row[e]*decay + noise*p.rng.NormFloat64()
			if shift && p.rng.Float64() < p.trial.shiftedShare {
				p.dayPhase[l][e], p.sixHourPhase[l][e] = p.randomPhase(), p.randomPhase()
			}
		}
	}
}

func (p *popularity) logPopularity(l, e int) float64 {
	turn := 2 * math.Pi * p.now.Hours()
	day, hours := math.Sin(p.dayPhase[l][e]+turn/24), math.Sin(p.sixHourPhase[l][e]+turn/6)
	return p.trial.waveStdDev*(1.2*day+0.7*hours) + p.walk[l][e]
}

func (p *popularity) loads() [][]float64 {
	out := make([][]float64, len(p.walk))
	for l, row := range p.walk {
		out[l] = make([]float64, len(row))
		total := 0.0
		for e := range row {
			out[l][e] = math.Exp(p.logPopularity(l, e))
			total += out[l][e]
		}
		for e := range out[l] {
			out[l][e] /= total
		}
	}
	return out
}

// report returns the token counts of one report, with the statistical noise of counting.
func (p *popularity) report(seq int64, tokens float64) port.Popularity {
	r := port.Popularity{Seq: seq, Tokens: p.loads()}
	for _, row := range r.Tokens {
		for e, share := range row {
			mean := share * tokens
			row[e] = max(0, math.Round(mean+math.Sqrt(mean)*p.rng.NormFloat64()))
		}
	}
	return r
}

// run simulates the trial. The static map is planned once, from the popularity at the start. The comparison for the
// bytes moved plans a new map from scratch at each report.
func (d driftTrial) run(seed int64) (driftResult, error) {
	rng := rand.New(rand.NewPCG(uint64(seed), 8))
	truth := newPopularity(d, rng)
	est := expertmap.NewEstimator(d.shape)
	static := expertmap.FromScratch(d.shape, truth.loads())
	current, scratch := static, static
	var delayed []port.Popularity
	var out driftResult
	since := d.policy.Interval
	for i := range d.reports {
		truth.advance()
		since += d.interval
		out.add(d, truth.loads(), current, static)
		delayed = append(delayed, truth.report(int64(i+1), d.tokensPerLayer))
		if len(delayed) <= d.reportLag {
			continue
		}
		report := delayed[0]
		delayed = delayed[1:]
		if rng.Float64() < d.lostShare {
			continue
		}
		est.Add(report)
		plan, err := expertmap.Make(expertmap.Input{
			Shape: d.shape, Loads: est.Loads(), Current: current, Policy: d.policy, Costs: d.costs, Since: since,
		})
		if err != nil {
			return out, err
		}
		if len(plan.Moves) > 0 {
			current, since = plan.Map, 0
			out.oursBytes += plan.Bytes
		}
		next := expertmap.FromScratch(d.shape, report.Tokens)
		out.scratchBytes += int64(len(expertmap.Moves(scratch, next))) * d.costs.ExpertBytes
		scratch = next
	}
	return out, nil
}

func (r *driftResult) add(d driftTrial, loads [][]float64, current, static port.ExpertMap) {
	n := float64(d.reports)
	r.oursSkew += expertmap.Skew(d.shape, current, loads) / n
	r.staticSkew += expertmap.Skew(d.shape, static, loads) / n
	r.skewBound += expertmap.Bound(d.shape, loads) / n
}
