package rankmodel

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/port"
)

// Options configures a Group.
type Options struct {
	Shape          expertmap.Shape
	StepTime       time.Duration // duration of one step if all ranks have the same load
	ChecksFence    bool          // refuse commands with old fencing numbers
	CannotHold     bool          // refuse to hold a step
	IgnoreHold     bool          // begin steps despite holds, to test that Record reports mixed steps
	ExpertTime     time.Duration // time that the weight store takes to deliver one expert
	ReportInterval time.Duration // interval of popularity reports; every fourth is lost and the latest is withheld
	Seed           uint64        // of the expert popularity
}

// Group runs the engines of a rank group in lockstep: no rank begins a step before all have finished the previous one.
type Group struct {
	opt         Options
	weightStore sync.Mutex // the weight store delivers one expert at a time

	mu            sync.Mutex
	stateChanged  *sync.Cond
	ranks         []*Rank
	lastFinished  []int64                    // last step that each rank finished
	maps          []map[int64]port.ExpertMap // maps that each rank knows, by epoch
	loading       []map[int64]bool           // epochs whose maps each rank is loading
	epochsUsed    [][]int64                  // by step from 1 and rank: epoch of the map used, plus one; 0 if not begun
	stepStarts    []time.Time                // by step from 1: when the first rank began it
	logPopularity [][]float64                // logarithm of the popularity of each expert, by layer
	reports       []port.Popularity
	rng           *rand.Rand
}

// NewGroup returns a group that uses the map of expertmap.RoundRobin as epoch 0 and has not begun any step.
func NewGroup(opt Options) *Group {
	g := &Group{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 11))}
	g.stateChanged = sync.NewCond(&g.mu)
	for range opt.Shape.Ranks {
		g.ranks = append(g.ranks, &Rank{ChecksFence: opt.ChecksFence, CannotHold: opt.CannotHold})
		g.maps = append(g.maps, map[int64]port.ExpertMap{0: expertmap.RoundRobin(opt.Shape)})
		g.loading = append(g.loading, map[int64]bool{})
	}
	g.lastFinished = make([]int64, opt.Shape.Ranks)
	for range opt.Shape.Layers {
		row := make([]float64, opt.Shape.Experts)
		for e := range row {
			row[e] = g.rng.NormFloat64()
		}
		g.logPopularity = append(g.logPopularity, row)
	}
	return g
}

// Run steps the group until ctx ends.
func (g *Group) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { g.mu.Lock(); g.stateChanged.Broadcast(); g.mu.Unlock() })
	defer stop()
	var ranks sync.WaitGroup
	for r := range g.ranks {
		ranks.Go(func() {
			for g.begin(ctx, r) {
				time.Sleep(g.stepTime(r))
				g.finish(r)
			}
		})
	}
	ranks.Go(func() { g.publishReports(ctx) })
	ranks.Wait()
}

// begin waits until the rank may begin its next step and begins it. It returns false if ctx has ended.
func (g *Group) begin(ctx context.Context, r int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for ctx.Err() == nil && !g.mayBegin(r) {
		g.stateChanged.Wait()
	}
	if ctx.Err() != nil {
		return false
	}
	step := g.ranks[r].Step + 1
	if int64(len(g.epochsUsed)) < step {
		g.epochsUsed = append(g.epochsUsed, make([]int64, len(g.ranks)))
		g.stepStarts = append(g.stepStarts, time.Now())
	}
	g.epochsUsed[step-1][r] = g.ranks[r].Begin(step) + 1
	return true
}

func (g *Group) mayBegin(r int) bool {
	step := g.ranks[r].Step + 1
	for _, f := range g.lastFinished {
		if f < step-1 {
			return false
		}
	}
	return g.opt.IgnoreHold || g.ranks[r].MayBegin(step)
}

func (g *Group) finish(r int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastFinished[r] = g.ranks[r].Step
	g.stateChanged.Broadcast()
}

// stepTime returns the duration of the rank's step: Options.StepTime times the rank's load relative to the mean load.
func (g *Group) stepTime(r int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.maps[r][g.ranks[r].MapEpoch]
	share := 0.0
	for l, row := range g.logPopularity {
		copies := make([]float64, len(row))
		for _, rank := range m.Slots[l] {
			for _, e := range rank {
				copies[e]++
			}
		}
		rankTokens, total := 0.0, 0.0
		for e, x := range row {
			total += math.Exp(x)
			for _, held := range m.Slots[l][r] {
				if held == e {
					rankTokens += math.Exp(x) / copies[e]
				}
			}
		}
		share += rankTokens / total / float64(len(g.logPopularity))
	}
	return time.Duration(share * float64(len(g.ranks)) * float64(g.opt.StepTime))
}

// publishReports adds a popularity report in every interval, except for every fourth one, and lets the popularity
// drift at random.
func (g *Group) publishReports(ctx context.Context) {
	const keptReports = 2
	for seq := int64(1); ; seq++ {
		select {
		case <-time.After(g.opt.ReportInterval):
		case <-ctx.Done():
			return
		}
		g.mu.Lock()
		p := port.Popularity{Seq: seq}
		for _, row := range g.logPopularity {
			tokens := make([]float64, len(row))
			for e := range row {
				row[e] = 0.999*row[e] + 0.01*g.rng.NormFloat64()
				tokens[e] = math.Round(1000 * math.Exp(row[e]))
			}
			p.Tokens = append(p.Tokens, tokens)
		}
		if seq%4 != 0 {
			g.reports = append(g.reports[max(0, len(g.reports)-keptReports):], p)
		}
		g.mu.Unlock()
	}
}

// Popularity returns the second-latest report, to model the delay of reports. It returns an empty report before there
// are two.
func (g *Group) Popularity() port.Popularity {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.reports) < 2 {
		return port.Popularity{}
	}
	return g.reports[len(g.reports)-2]
}

// Map returns the map that the rank uses, or has committed for a later step.
func (g *Group) Map(r int) port.ExpertMap {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.maps[r][g.ranks[r].State().Epoch]
}

// State returns the state of a rank.
func (g *Group) State(r int) port.RankState {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.ranks[r].State()
	s.Rank = r
	for e := range g.loading[r] {
		s.Loading = append(s.Loading, e)
	}
	return s
}

// Do runs a command at a rank and wakes the ranks that wait to begin a step.
func (g *Group) Do(r int, command func(*Rank) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := command(g.ranks[r])
	g.stateChanged.Broadcast()
	return err
}

// Stage starts loading a map at a rank. The experts that the rank does not have yet are loaded from the weight store.
func (g *Group) Stage(r int, fence int64, m port.ExpertMap) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.ranks[r].CheckStage(fence, m.Epoch); err != nil {
		return err
	}
	if err := expertmap.CheckMap(g.opt.Shape, m); err != nil {
		return refuse(err.Error())
	}
	if _, known := g.maps[r][m.Epoch]; known {
		return nil
	}
	missing := 0
	for _, move := range expertmap.Moves(g.maps[r][g.ranks[r].MapEpoch], m) {
		if move.Rank == r {
			missing++
		}
	}
	g.maps[r][m.Epoch] = m
	g.loading[r][m.Epoch] = true
	go g.load(r, m.Epoch, missing)
	return nil
}

func (g *Group) load(r int, epoch int64, experts int) {
	for range experts {
		g.weightStore.Lock()
		time.Sleep(g.opt.ExpertTime)
		g.weightStore.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.loading[r], epoch)
	g.ranks[r].AddStaged(epoch)
}
