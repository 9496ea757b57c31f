package balance

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// GroupReport is the state of an engine group, as its coordinator tells it.
type GroupReport struct {
	Name      string
	Term, Seq int64 // a report replaces those with a lower term, or a lower number in the same term
	Open      bool
	Imbalance float64      // work of the most loaded rank against the mean; 0 if unknown
	Ranks     []RankReport // empty if they are those of the report before, in the same term
}

// RankReport is the state of one rank.
type RankReport struct {
	Engine string  // address; empty while it is unknown
	Pace   float64 // above 1 if the engine is slow; 0 if unknown
}

// group is what is known of an engine group. All its ranks take part in each pass, so that the passes last as long as
// the work of all ranks together demands.
type group struct {
	report   GroupReport
	received time.Time
}

const (
	// groupReportMaxAge is the age from which a group's report says nothing about its present state.
	groupReportMaxAge = 1500 * time.Millisecond
	// assumedImbalance is the imbalance for which places are kept free. The popularity of experts shifts every few
	// seconds, and until the map follows, the rank with the most popular expert has three times the mean work.
	assumedImbalance = 2.3
	// prefillShare is the part of a pass that is kept free for the reading of new prompts.
	prefillShare = 0.1
	// defaultMaxEventGap is the longest pass where a route states no pause.
	defaultMaxEventGap = 120 * time.Millisecond
)

// Group takes in a report.
func (b *Balancer) Group(r GroupReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[r.Name]
	if g != nil && (r.Term < g.report.Term || r.Term == g.report.Term && r.Seq <= g.report.Seq) && b.now().Sub(g.received) < groupReportMaxAge {
		return
	}
	if len(r.Ranks) == 0 && g != nil && g.report.Term == r.Term {
		r.Ranks = g.report.Ranks
	}
	if wasOpen := g == nil || g.report.Open; wasOpen != r.Open {
		kind := EventClosed
		if r.Open {
			kind = EventOpened
		}
		b.notify(Event{Kind: kind, Group: r.Name})
	}
	g = &group{report: r, received: b.now()}
	b.groups[r.Name] = g
	for _, rank := range r.Ranks {
		if rank.Engine != "" {
			b.groupByEngine[rank.Engine] = g
		}
	}
	b.dispatchAll()
}

// Group returns the name of the target's engine group, or nothing if no report named it.
func (l *Lease) Group() string {
	if l.progress == nil {
		return ""
	}
	return l.progress.group
}

// groupOf returns the group of a target, or nil if it is unknown or its report is old.
func (b *Balancer) groupOf(t *targetset.Target, now time.Time) *group {
	g := b.groupByEngine[t.Addr]
	if g == nil || now.Sub(g.received) > groupReportMaxAge {
		return nil
	}
	return g
}

// groupLoad is the requests in flight at the ranks of a group.
type groupLoad struct {
	requests int
	ranks    int
}

// loads returns the requests in flight at each target, and their sums by group, with nil for targets of unknown group.
func (b *Balancer) loads(targets []*targetset.Target, now time.Time) ([]int, map[*group]*groupLoad) {
	counts, groups := make([]int, len(targets)), map[*group]*groupLoad{}
	for i, t := range targets {
		g := b.groupOf(t, now)
		l := groups[g]
		if l == nil {
			l = &groupLoad{}
			groups[g] = l
		}
		counts[i] = b.inFlight(t, now)
		l.requests += counts[i]
		l.ranks++
	}
	return counts, groups
}

// passTime predicts the time of a pass of an engine of some pace with n requests, in a group whose ranks have mean requests
// and whose most loaded rank takes imbalance times as long as the mean for the experts' work.
func passTime(e *routetable.Engine, n int, mean, imbalance, pace float64) time.Duration {
	passWork := func(requests float64) float64 {
		return float64(e.Stride) * (float64(e.StepTime) + float64(e.PerRequest)*requests)
	}
	share := e.Experts.Share
	denseWork := (1 - share) * passWork(float64(n)) * max(1, pace)
	expertWork := share * imbalance * passWork(mean)
	return time.Duration((denseWork + expertWork) / (1 - prefillShare))
}

// imbalance returns how much longer the most loaded rank takes than the mean, and the same for which places are kept free.
// The group's coordinator counts the pace of the ranks in, and moves experts away from slow ones.
func (g *group) imbalance() (current, reserved float64) {
	if g == nil {
		return 1, assumedImbalance
	}
	if g.report.Imbalance <= 0 {
		return g.slowestPace(), assumedImbalance * g.slowestPace()
	}
	return g.report.Imbalance, max(assumedImbalance, g.report.Imbalance)
}

// pace returns the pace of the engine at an address.
func (g *group) pace(addr string) float64 {
	if g == nil {
		return 1
	}
	for _, r := range g.report.Ranks {
		if r.Engine == addr {
			return max(1, r.Pace)
		}
	}
	return 1
}

// slowestPace returns the pace of the slowestPace rank, which the whole group waits for.
func (g *group) slowestPace() float64 {
	pace := 1.0
	for _, r := range g.report.Ranks {
		pace = max(pace, r.Pace)
	}
	return pace
}
