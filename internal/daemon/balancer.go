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
	// expectedSwitchPause is the pause of the group's steps that a plan counts as the cost of one map switch. The actual
	// pause is usually shorter, since holds are usually released before the group reaches the held step.
	expectedSwitchPause = 200 * time.Millisecond
	// loadSlowdownShare is the share of the step time that a plan counts as lost while the engines load the experts of
	// the new map and still compute with the current one.
	loadSlowdownShare = 0.02
)

// balancer plans changes of a rank group's expert map from the measured popularity of the experts, and carries them out
// as the group's coordinator. It runs in the local process of rank 0.
type balancer struct {
	group *rankGroup

	mu          sync.Mutex
	coordinator *mapswitch.Coordinator
	shape       expertmap.Shape
	estimator   *expertmap.Estimator
	// intervalStart is the start of the interval in which the map is not changed again: the time of the last change, of
	// the last search that found no change worth its cost, or of the start of the balancer.
	intervalStart time.Time
	plan          *expertmap.Plan // the last plan
	lastError     string          // of the last recovery or rebalance; empty if it succeeded
}

// run takes the group over and then rebalances it at each new popularity report, until ctx ends. When the ranks obey
// another coordinator, it takes the group over again.
func (b *balancer) run(ctx context.Context) {
	b.intervalStart = time.Now()
	for ctx.Err() == nil {
		c := b.recover(ctx)
		for c != nil && ctx.Err() == nil {
			err := b.rebalance(ctx, c)
			b.recordError(err)
			if errors.Is(err, mapswitch.ErrSuperseded) {
				break
			}
			sleep(ctx, groupPollInterval)
		}
		sleep(ctx, groupRetryInterval)
	}
}

// recover starts a new coordinator that takes the group over from earlier ones. It returns nil if that failed.
func (b *balancer) recover(ctx context.Context) *mapswitch.Coordinator {
	g, _ := b.group.config()
	if g == nil {
		return nil
	}
	c := mapswitch.NewCoordinator(mapswitch.Options{
		Group: g.Name, Ranks: g.Ranks, ID: b.group.d.incarnation, Call: b.group.call, Announce: b.group.participant.SetCoordinator,
		Retry: groupRetryInterval, Prepare: groupPrepareTime, Floor: func() int64 { return time.Now().UnixMilli() }, Current: b.group.engine.Map,
	})
	b.mu.Lock()
	b.coordinator = c
	b.mu.Unlock()
	states, err := c.Recover(ctx)
	b.recordError(err)
	if err != nil {
		return nil
	}
	b.group.log().WithFields(log.Fields{"coordinator": c.Status().Coordinator.Number, "epoch": states[0].Epoch}).Info("group taken over")
	return c
}

// rebalance reads the popularity report. If the report is new and a change of the map gains more than it costs,
// rebalance changes the map.
func (b *balancer) rebalance(ctx context.Context, c *mapswitch.Coordinator) error {
	in, fresh, err := b.readEngine(ctx)
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
		b.intervalStart = time.Now() // a search takes most of a second at 128 ranks, so it doesn't run at each report
	}
	b.mu.Unlock()
	if len(plan.Moves) == 0 {
		return nil
	}
	b.group.log().WithFields(log.Fields{"moves": len(plan.Moves), "bytes": plan.Bytes, "skew": plan.SkewBefore, "predicted": plan.SkewAfter}).Info("changing the map")
	states, err := c.Switch(ctx, plan.Map)
	if errors.Is(err, mapswitch.ErrPending) {
		return nil // the next report leads to a new plan
	}
	b.mu.Lock()
	b.intervalStart = time.Now() // also after a refused change, to delay the next attempt
	b.mu.Unlock()
	if err == nil {
		b.group.log().WithFields(log.Fields{"epoch": states[0].Epoch, "step": c.Status().Step}).Info("map changed")
	}
	return err
}

var errNoGroup = errors.New("the configuration has no such group")

// readEngine reads the engine's popularity report and current map, and returns the input for a plan. The bool reports
// whether the report is new and every layer has been reported.
func (b *balancer) readEngine(ctx context.Context) (expertmap.Input, bool, error) {
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
	e := b.estimatorFor(g)
	fresh := e.Add(report) && e.Ready()
	return b.planInput(g, preset, current), fresh, nil
}

// estimatorFor returns the popularity estimator of the group. It makes a new one if the group's shape has changed. The
// caller holds b.mu.
func (b *balancer) estimatorFor(g *config.Group) *expertmap.Estimator {
	shape := expertmap.Shape{Ranks: g.Ranks, Layers: g.Layers, Experts: g.Experts, SlotsPerRank: g.SlotsPerRank}
	if b.estimator == nil || b.shape != shape {
		b.shape, b.estimator = shape, expertmap.NewEstimator(shape)
	}
	return b.estimator
}

// planInput returns the input for a plan that starts from the current map. The caller holds b.mu.
func (b *balancer) planInput(g *config.Group, preset *config.Preset, current port.ExpertMap) expertmap.Input {
	return expertmap.Input{
		Shape: b.shape, Loads: b.estimator.Loads(), Current: current, Since: time.Since(b.intervalStart),
		Policy: expertmap.Policy{Skew: preset.RebalanceSkew, Interval: preset.RebalanceInterval.Duration, Horizon: preset.RebalanceHorizon.Duration},
		Costs: expertmap.Costs{ExpertBytes: g.ExpertBytes, BytesPerSecond: g.WeightStoreBytesPerSecond,
			Pause: expectedSwitchPause, LoadSlowdown: loadSlowdownShare},
	}
}

var errNoReport = errors.New("the engine has not reported the popularity of every layer yet")

// planNow returns the plan that would be made now if the interval since the last change were over. It changes nothing.
func (b *balancer) planNow(ctx context.Context) (expertmap.Plan, error) {
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
	ready := b.estimatorFor(g).Ready()
	in := b.planInput(g, preset, current)
	b.mu.Unlock()
	if !ready {
		return expertmap.Plan{}, errNoReport
	}
	in.Since = max(in.Since, in.Policy.Interval)
	return expertmap.Make(in)
}

// recordError stores an error for the status report and logs it if it differs from the previous one. A nil error clears
// the stored one.
func (b *balancer) recordError(err error) {
	message := ""
	if err != nil {
		message = err.Error()
	}
	b.mu.Lock()
	isNew := message != "" && message != b.lastError
	b.lastError = message
	b.mu.Unlock()
	if isNew {
		b.group.log().WithError(err).Warn("changing the map failed")
	}
}

// addStatus adds the state of the map change and the last plan to the group's status.
func (b *balancer) addStatus(s *status.Group) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Error = b.lastError
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
