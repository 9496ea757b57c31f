package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/expertmap"
	"github.com/camphorbank/camphorbank/internal/mapswitch"
	"github.com/camphorbank/camphorbank/internal/port"
	"github.com/camphorbank/camphorbank/internal/status"
)

const (
	// switchPause is the step time that a plan expects one switch to cost, although holds are usually released before
	// the group reaches the step.
	switchPause = 200 * time.Millisecond
	// loadSlowdown is the share of step time that a plan expects to lose while experts are loaded beside the map in use.
	loadSlowdown = 0.02
)

// balancer plans and changes the map of a group. It runs beside rank 0.
type balancer struct {
	group *rankGroup

	mu          sync.Mutex
	coordinator *mapswitch.Coordinator
	shape       expertmap.Shape
	estimator   *expertmap.Estimator
	changed     time.Time // last change or fruitless search, or the start of the process
	plan        *expertmap.Plan
	err         string // why the last change failed
}

// run recovers and then plans at each popularity report. It recovers again when ranks obey another coordinator.
func (b *balancer) run(ctx context.Context) {
	b.changed = time.Now()
	for ctx.Err() == nil {
		c := b.recover(ctx)
		for c != nil && ctx.Err() == nil {
			err := b.step(ctx, c)
			b.fail(err)
			if errors.Is(err, mapswitch.ErrSuperseded) {
				break
			}
			pause(ctx, groupPoll)
		}
		pause(ctx, groupRetry)
	}
}

// recover takes the group over, or returns nil if that failed.
func (b *balancer) recover(ctx context.Context) *mapswitch.Coordinator {
	g, _ := b.group.config()
	if g == nil {
		return nil
	}
	c := mapswitch.NewCoordinator(mapswitch.Options{
		Group: g.Name, Ranks: g.Ranks, ID: b.group.d.incarnation, Call: b.group.call, Announce: b.group.participant.SetCoordinator,
		Retry: groupRetry, Prepare: groupPrepare, Floor: func() int64 { return time.Now().UnixMilli() }, Current: b.group.engine.Map,
	})
	b.mu.Lock()
	b.coordinator = c
	b.mu.Unlock()
	states, err := c.Recover(ctx)
	b.fail(err)
	if err != nil {
		return nil
	}
	b.group.log().WithFields(log.Fields{"coordinator": c.Status().Coordinator.Number, "epoch": states[0].Epoch}).Info("group taken over")
	return c
}

// step takes a new popularity report in and changes the map if that pays.
func (b *balancer) step(ctx context.Context, c *mapswitch.Coordinator) error {
	in, fresh, err := b.observe(ctx)
	if err != nil || !fresh {
		return err
	}
	plan, err := expertmap.Make(in)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.plan = &plan
	if plan.Reason == expertmap.ReasonCost {
		b.changed = time.Now() // a search takes most of a second at 128 ranks, so that it is not repeated at each report
	}
	b.mu.Unlock()
	if len(plan.Moves) == 0 {
		return nil
	}
	b.group.log().WithFields(log.Fields{"moves": len(plan.Moves), "bytes": plan.Bytes, "skew": plan.SkewBefore, "predicted": plan.SkewAfter}).Info("changing the map")
	states, err := c.Switch(ctx, plan.Map)
	if errors.Is(err, mapswitch.ErrPending) {
		return nil // planned again with the next report
	}
	b.mu.Lock()
	b.changed = time.Now() // a refused change is not tried again before the interval either
	b.mu.Unlock()
	if err == nil {
		b.group.log().WithFields(log.Fields{"epoch": states[0].Epoch, "step": c.Status().Step}).Info("map changed")
	}
	return err
}

var errNoGroup = errors.New("the configuration has no such group")

// observe reads the engine's popularity report and map. It returns false if there is no new report, or not one for
// every layer yet.
func (b *balancer) observe(ctx context.Context) (expertmap.Input, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, groupCallTimeout)
	defer cancel()
	g, preset := b.group.config()
	if g == nil {
		return expertmap.Input{}, false, errNoGroup
	}
	report, err := b.group.engine.Popularity(ctx)
	if err != nil {
		return expertmap.Input{}, false, err
	}
	current, err := b.group.engine.Map(ctx)
	if err != nil {
		return expertmap.Input{}, false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.estimatorOf(g)
	fresh := e.Add(report) && e.Ready()
	return b.input(g, preset, current), fresh, nil
}

// estimatorOf returns the estimator of the group, a new one if the group's size has changed.
func (b *balancer) estimatorOf(g *config.Group) *expertmap.Estimator {
	shape := expertmap.Shape{Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, SlotsPerRank: g.SlotsPerRank}
	if b.estimator == nil || b.shape != shape {
		b.shape, b.estimator = shape, expertmap.NewEstimator(shape)
	}
	return b.estimator
}

func (b *balancer) input(g *config.Group, preset *config.Preset, current port.ExpertMap) expertmap.Input {
	return expertmap.Input{
		Shape: b.shape, Loads: b.estimator.Loads(), Current: current, Since: time.Since(b.changed),
		Policy: expertmap.Policy{Skew: preset.RebalanceSkew, Interval: preset.RebalanceInterval.Duration, Horizon: preset.RebalanceHorizon.Duration},
		Costs: expertmap.Costs{ExpertBytes: g.ExpertBytes, BytesPerSecond: g.WeightStoreBytesPerSecond,
			Pause: switchPause, LoadSlowdown: loadSlowdown},
	}
}

var errNoReport = errors.New("the engine has not reported the popularity of every layer yet")

// DryRun returns the plan that would be made now, as if the interval since the last change were over.
func (b *balancer) DryRun(ctx context.Context) (expertmap.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, groupCallTimeout)
	defer cancel()
	g, preset := b.group.config()
	if g == nil {
		return expertmap.Plan{}, errNoGroup
	}
	current, err := b.group.engine.Map(ctx)
	if err != nil {
		return expertmap.Plan{}, err
	}
	b.mu.Lock()
	ready := b.estimatorOf(g).Ready()
	in := b.input(g, preset, current)
	b.mu.Unlock()
	if !ready {
		return expertmap.Plan{}, errNoReport
	}
	in.Since = max(in.Since, in.Policy.Interval)
	return expertmap.Make(in)
}

// fail keeps the reason of a failure for operators, and logs it when it is new.
func (b *balancer) fail(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	b.mu.Lock()
	isNew := text != "" && text != b.err
	b.err = text
	b.mu.Unlock()
	if isNew {
		b.group.log().WithError(err).Warn("changing the map failed")
	}
}

// report adds the state of the switch and the last plan to the status.
func (b *balancer) report(s *status.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Error = b.err
	if b.coordinator != nil {
		c := b.coordinator.Status()
		s.Phase, s.ChangeStep, s.Waiting = string(c.Phase), c.Step, c.Waiting
		if c.Decision != nil {
			s.Decision = &status.GroupDecision{Epoch: c.Decision.Epoch, Commit: c.Decision.Commit}
		}
	}
	if p := b.plan; p != nil {
		s.Skew = p.SkewBefore
		plan := planStatus(p)
		s.Plan = &plan
	}
}

func planStatus(p *expertmap.Plan) status.GroupPlan {
	return status.GroupPlan{
		Reason: string(p.Reason), Moves: len(p.Moves), Bytes: p.Bytes, LoadMS: p.LoadTime.Milliseconds(),
		SkewAfter: p.SkewAfter, Bound: p.Bound, GainMS: p.Gain.Milliseconds(), CostMS: p.Cost.Milliseconds(),
	}
}
