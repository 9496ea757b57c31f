package expertmap

import (
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/camphorbank/camphorbank/internal/port"
)

// freePolicy has a long horizon and a threshold near 1, so that it hardly restricts changes.
var freePolicy = Policy{Skew: 1.0001, Horizon: time.Hour}

func drawShape(t *rapid.T) Shape {
	s := Shape{Layers: rapid.IntRange(1, 3).Draw(t, "layers"), Ranks: rapid.IntRange(1, 8).Draw(t, "ranks")}
	s.Experts = rapid.IntRange(1, 12).Draw(t, "experts")
	least := (s.Experts + s.Ranks - 1) / s.Ranks
	s.SlotsPerRank = rapid.IntRange(least, min(s.Experts, least+3)).Draw(t, "slots")
	return s
}

func drawLoads(t *rapid.T, s Shape) [][]float64 {
	loads := make([][]float64, s.Layers)
	for l := range loads {
		loads[l] = rapid.SliceOfN(rapid.Float64Range(0, 1000), s.Experts, s.Experts).Draw(t, "loads")
	}
	return loads
}

// drawMap draws a valid map by planning from loads that are unrelated to those under test.
func drawMap(t *rapid.T, s Shape) port.ExpertMap {
	if rapid.Bool().Draw(t, "even") {
		return RoundRobin(s)
	}
	return FromScratch(s, drawLoads(t, s))
}

// TestPlanKeepsInvariants guards against a map that loses an expert or holds one twice on a rank, against a plan that
// makes the skew worse or falls below the lower bound, and against moves that do not lead to the planned map.
func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawShape(t)
		in := Input{Shape: s, Loads: drawLoads(t, s), Current: drawMap(t, s), Policy: freePolicy}
		in.Costs = Costs{ExpertBytes: rapid.Int64Range(0, 100).Draw(t, "bytes"), BytesPerSecond: 1, LoadSlowdown: 0.1}
		if err := CheckMap(s, in.Current); err != nil {
			t.Fatalf("map from scratch: %v", err)
		}
		p, err := Make(in)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckMap(s, p.Map); err != nil {
			t.Fatal(err)
		}
		if p.SkewAfter > p.SkewBefore || p.SkewAfter < p.Bound*(1-1e-9) {
			t.Fatalf("skew %v before, %v after, bound %v", p.SkewBefore, p.SkewAfter, p.Bound)
		}
		if got := Skew(s, p.Map, in.Loads); math.Abs(got-p.SkewAfter) > 1e-9 {
			t.Fatalf("predicted skew %v, skew of the map %v", p.SkewAfter, got)
		}
		if moves := Moves(in.Current, p.Map); !reflect.DeepEqual(moves, p.Moves) || p.Bytes != int64(len(moves))*in.Costs.ExpertBytes {
			t.Fatalf("moves %v and %d bytes, want %v", p.Moves, p.Bytes, moves)
		}
		if len(p.Moves) > 0 && p.Gain <= p.Cost {
			t.Fatalf("moves with gain %s for cost %s", p.Gain, p.Cost)
		}
	})
}

// optimum returns the lowest possible load of the most loaded rank, over all placements of a layer.
func optimum(s Shape, load []float64) float64 {
	var sets [][]int
	for bits := range 1 << s.Experts {
		var set []int
		for e := range s.Experts {
			if bits>>e&1 == 1 {
				set = append(set, e)
			}
		}
		if len(set) == s.SlotsPerRank {
			sets = append(sets, set)
		}
	}
	best := math.Inf(1)
	ranks := make([][]int, s.Ranks)
	var place func(r, from int)
	place = func(r, from int) {
		if r < s.Ranks {
			for i := from; i < len(sets); i++ { // ranks are interchangeable, so their order does not matter
				ranks[r] = sets[i]
				place(r+1, i)
			}
			return
		}
		if checkLayer(s, ranks) == nil {
			y := newLayer(s, load, ranks)
			best = min(best, y.rankLoad[y.mostLoadedRank()])
		}
	}
	place(0, 0)
	return best
}

// TestPlanNearExhaustiveSearch guards against a search that stops far from the best placement. In groups of this size a
// single expert is a large part of a rank's load, which is the hardest case for a search by single changes.
func TestPlanNearExhaustiveSearch(t *testing.T) {
	const seed, trials = 7, 300
	rng := rand.New(rand.NewPCG(seed, seed))
	shapes := []Shape{
		{Ranks: 2, Layers: 1, Experts: 4, SlotsPerRank: 3}, {Ranks: 3, Layers: 1, Experts: 4, SlotsPerRank: 2},
		{Ranks: 3, Layers: 1, Experts: 5, SlotsPerRank: 3}, {Ranks: 4, Layers: 1, Experts: 6, SlotsPerRank: 2},
	}
	sum, worst := 0.0, 0.0
	for i := range trials {
		s := shapes[i%len(shapes)]
		loads := randomLoads(s, 1, rng)
		p, err := Make(Input{Shape: s, Loads: loads, Current: RoundRobin(s), Policy: freePolicy})
		if err != nil {
			t.Fatal(err)
		}
		y := newLayer(s, loads[0], p.Map.Slots[0])
		got := y.rankLoad[y.mostLoadedRank()] / optimum(s, loads[0])
		if got < 1-1e-9 {
			t.Fatalf("seed %d trial %d: better than the optimum by exhaustive search: %v", seed, i, got)
		}
		sum, worst = sum+got, max(worst, got)
	}
	t.Logf("seed %d: mean ratio to the optimum %.4f, worst %.4f", seed, sum/trials, worst)
	if sum/trials > 1.02 || worst > 1.25 {
		t.Errorf("mean ratio %.4f, worst %.4f", sum/trials, worst)
	}
}

// TestPlanWithholdsMoves guards against moves that the preset forbids, whose gain does not exceed their cost, or that
// only follow noise.
func TestPlanWithholdsMoves(t *testing.T) {
	s := Shape{Ranks: 8, Layers: 4, Experts: 32, SlotsPerRank: 6}
	rng := rand.New(rand.NewPCG(3, 3))
	loads := randomLoads(s, 1, rng)
	in := Input{Shape: s, Loads: loads, Current: RoundRobin(s), Policy: Policy{Skew: 1.05, Interval: time.Minute, Horizon: 10 * time.Minute},
		Costs: Costs{ExpertBytes: 1 << 20, BytesPerSecond: 1 << 30, LoadSlowdown: 0.02}, Since: time.Hour}
	balanced, err := Make(in)
	if err != nil || balanced.Reason != ReasonMove {
		t.Fatalf("plan %v, error %v", balanced.Reason, err)
	}
	noisy := make([][]float64, s.Layers)
	for l := range noisy {
		for _, w := range loads[l] {
			noisy[l] = append(noisy[l], w*(1+0.02*rng.NormFloat64()))
		}
	}
	for name, c := range map[string]struct {
		edit func(*Input)
		want Reason
	}{
		"off":      {func(in *Input) { in.Policy.Skew = 0 }, ReasonOff},
		"interval": {func(in *Input) { in.Since = 30 * time.Second }, ReasonInterval},
		"noise":    {func(in *Input) { in.Current, in.Loads = balanced.Map, noisy }, ReasonSkew},
		"pause":    {func(in *Input) { in.Costs.Pause = in.Policy.Horizon }, ReasonCost},
		"store":    {func(in *Input) { in.Costs.BytesPerSecond = 1 << 10 }, ReasonCost},
		"balanced": {func(in *Input) { in.Current, in.Policy.Skew = balanced.Map, 1.0001 }, ReasonCost},
	} {
		changed := in
		c.edit(&changed)
		p, err := Make(changed)
		if err != nil || p.Reason != c.want || len(p.Moves) != 0 {
			t.Errorf("%s: reason %q with %d moves, error %v; want %q", name, p.Reason, len(p.Moves), err, c.want)
		}
	}
}

// TestMakeRejectsInvalidInput guards against a plan from inputs of the wrong size, such as after a change of the
// configuration.
func TestMakeRejectsInvalidInput(t *testing.T) {
	s := Shape{Ranks: 2, Layers: 1, Experts: 3, SlotsPerRank: 2}
	good := Input{Shape: s, Loads: [][]float64{{1, 2, 3}}, Current: RoundRobin(s), Policy: freePolicy}
	for name, edit := range map[string]func(*Input){
		"slots":    func(in *Input) { in.Shape.SlotsPerRank = 1 },
		"layers":   func(in *Input) { in.Loads = nil },
		"experts":  func(in *Input) { in.Loads = [][]float64{{1, 2}} },
		"nan":      func(in *Input) { in.Loads = [][]float64{{1, 2, math.NaN()}} },
		"map":      func(in *Input) { in.Current = port.ExpertMap{Slots: [][][]int{{{0, 1}, {0, 1}}}} },
		"repeated": func(in *Input) { in.Current = port.ExpertMap{Slots: [][][]int{{{0, 0}, {1, 2}}}} },
	} {
		in := good
		edit(&in)
		if _, err := Make(in); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestEstimatorTakesLateAndLostReports guards against old or repeated reports that overwrite newer ones, against
// malformed layers, and against an estimate that stays out of date after missing reports.
func TestEstimatorTakesLateAndLostReports(t *testing.T) {
	s := Shape{Ranks: 2, Layers: 2, Experts: 2, SlotsPerRank: 1}
	e := NewEstimator(s)
	report := func(seq int64, a, b []float64) bool {
		return e.Add(port.Popularity{Seq: seq, Tokens: [][]float64{a, b}})
	}
	if !report(5, []float64{30, 10}, nil) || e.Ready() {
		t.Error("first report not taken, or ready without the second layer")
	}
	if report(5, []float64{0, 10}, nil) || report(4, []float64{0, 10}, nil) {
		t.Error("old report taken")
	}
	report(6, []float64{math.NaN(), 1}, []float64{5, 5})
	if got := e.Loads(); !e.Ready() || got[0][0] != 0.75 || got[1][0] != 0.5 {
		t.Errorf("loads %v", got)
	}
	report(60, []float64{0, 10}, []float64{0, 0})
	if got := e.Loads(); got[0][0] > 0.01 || got[1][0] != 0.5 {
		t.Errorf("loads after a gap %v", got)
	}
}
