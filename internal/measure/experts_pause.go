package measure

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/mapswitch"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/rankmodel"
	"github.com/camphorbank/camphorbank/internal/wire"
)

const (
	pauseStepTime     = 4 * time.Millisecond
	pauseExpertTime   = 4 * time.Millisecond // to load one expert from the weight store
	pauseMessageDelay = time.Millisecond     // of a message between local processes
	pauseChanges      = 4
	pausePrepareTime  = 200 * time.Millisecond
)

// pauseTrial is a group of simulated ranks that run their steps together in real time, with the protocol of package
// mapswitch to change their map.
type pauseTrial struct {
	shape        expertmap.Shape
	group        *rankmodel.Group
	participants []*mapswitch.Participant
}

func newPauseTrial(seed int64) *pauseTrial {
	p := &pauseTrial{shape: expertmap.Shape{Ranks: 8, Layers: 2, Experts: 32, SlotsPerRank: 5}}
	p.group = rankmodel.NewGroup(rankmodel.Options{Shape: p.shape, StepTime: pauseStepTime, ExpertTime: pauseExpertTime, ReportInterval: time.Hour, Seed: uint64(seed)})
	for r := range p.shape.Ranks {
		at := wire.GroupAddress{Group: "measure", Rank: r}
		p.participants = append(p.participants, mapswitch.NewParticipant(at, rankmodel.Engine{Group: p.group, Rank: r}, p.learnCoordinator))
	}
	return p
}

func (p *pauseTrial) learnCoordinator(context.Context) (wire.Coordinator, error) {
	c, ok := p.participants[0].Coordinator()
	if !ok {
		return c, errors.New("no coordinator yet")
	}
	return c, nil
}

func (p *pauseTrial) coordinator() *mapswitch.Coordinator {
	return mapswitch.NewCoordinator(mapswitch.Options{
		Group: "measure", Ranks: p.shape.Ranks, ID: "measure", Announce: p.participants[0].SetCoordinator, Retry: pauseMessageDelay, Prepare: pausePrepareTime,
		Call: func(ctx context.Context, rank int, _ string, message any) (wire.GroupReply, error) {
			time.Sleep(pauseMessageDelay)
			return p.participants[rank].Handle(ctx, message)
		},
	})
}

// start starts the group and returns a function that stops it.
func (p *pauseTrial) start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { p.group.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// maps returns maps that are planned from scratch for unrelated loads, so that a change from one to the next moves most
// experts.
func (p *pauseTrial) maps(seed int64) []port.ExpertMap {
	rng := rand.New(rand.NewPCG(uint64(seed), 10))
	var out []port.ExpertMap
	for range pauseChanges {
		out = append(out, expertmap.FromScratch(p.shape, newPopularity(groupDrift(p.shape), rng).loads()))
	}
	return out
}

// pauseSteps compares the number of steps that a group loses in one change of its map with the number that it loses
// when it is stopped, loads the map and continues.
func pauseSteps(ctx context.Context, seed int64) (Result, error) {
	p := newPauseTrial(seed)
	c := p.coordinator()
	stop := p.start(ctx)
	defer func() { stop() }()
	if _, err := c.Recover(ctx); err != nil {
		return Result{}, err
	}
	var ours, naive float64
	for _, m := range p.maps(seed) {
		if _, err := c.Switch(ctx, m); err != nil {
			return Result{}, err
		}
		ours += p.lostSteps(c.Status().Step) / pauseChanges
	}
	for _, m := range p.maps(seed + 1) {
		stop()
		begin := time.Now()
		if err := p.reload(ctx, c, m); err != nil {
			return Result{}, err
		}
		naive += float64(time.Since(begin)) / float64(pauseStepTime) / pauseChanges
		stop = p.start(ctx)
		p.waitForStep(p.step() + 4)
	}
	return Result{Ours: ours, Naive: naive}, nil
}

// reload loads and commits a map while the group is stopped. The change takes effect when the group continues.
func (p *pauseTrial) reload(ctx context.Context, c *mapswitch.Coordinator, m port.ExpertMap) error {
	states, err := c.Query(ctx)
	if err != nil {
		return err
	}
	m.Epoch = states[0].Decided + 1
	step := int64(0)
	for _, s := range states {
		step = max(step, s.Step+1)
	}
	for r := range p.shape.Ranks {
		if err := p.group.Stage(r, 0, m); err != nil {
			return err
		}
	}
	for r := range p.shape.Ranks {
		for !slices.Contains(p.group.State(r).Staged, m.Epoch) {
			time.Sleep(pauseMessageDelay)
		}
		err := p.group.Do(r, func(k *rankmodel.Rank) error {
			return errors.Join(k.PlaceHold(0, m.Epoch, step), k.Commit(0, m.Epoch))
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *pauseTrial) step() int64 { return p.group.State(0).Step }

func (p *pauseTrial) waitForStep(step int64) {
	for p.step() < step {
		time.Sleep(pauseMessageDelay)
	}
}

// lostSteps waits until the steps around a change are done. It returns by how much the last step before the change took
// longer than the median of the steps around it, as a multiple of this median.
func (p *pauseTrial) lostSteps(step int64) float64 {
	const around = 10
	p.waitForStep(step + around)
	stepStarts := p.group.StepStarts()
	var lasted []time.Duration
	for s := step - around; s < step+around-1; s++ {
		lasted = append(lasted, stepStarts[s].Sub(stepStarts[s-1]))
	}
	change := stepStarts[step-1].Sub(stepStarts[step-2])
	slices.Sort(lasted)
	median := lasted[len(lasted)/2]
	return max(0, float64(change-median)/float64(median))
}
