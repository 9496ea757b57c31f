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
	report GroupReport
	at     time.Time
}

const (
	// groupAge is the age from which a group's report says nothing about its present state.
	groupAge = 1500 * time.Millisecond
	// assumedImbalance is the imbalance for which places are kept free. The popularity of experts shifts every few
	// seconds, and until the map follows, the rank with the most popular expert has three times the mean work.
	assumedImbalance = 2.3
	// readingShare is the part of a pass that is kept free for the reading of new prompts.
	readingShare = 0.1
	// defaultEventGap is the longest pass where a route states no pause.
	defaultEventGap = 120 * time.Millisecond
)

// Group takes in a report.
func (b *Balancer) Group(r GroupReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[r.Name]
	if g != nil && (r.Term < g.report.Term || r.Term == g.report.Term && r.Seq <= g.report.Seq) && b.now().Sub(g.at) < groupAge {
		return
	}
	if len(r.Ranks) == 0 && g != nil && g.report.Term == r.Term {
		r.Ranks = g.report.Ranks
	}
	if was := g == nil || g.report.Open; was != r.Open {
		kind := EventClosed
		if r.Open {
			kind = EventOpened
		}
		b.notify(Event{Kind: kind, Group: r.Name})
	}
	g = &group{report: r, at: b.now()}
	b.groups[r.Name] = g
	for _, rank := range r.Ranks {
		if rank.Engine != "" {
			b.engines[rank.Engine] = g
		}
	}
	b.dispatch()
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
	g := b.engines[t.Addr]
	if g == nil || now.Sub(g.at) > groupAge {
		return nil
	}
	return g
}

// load is the requests in flight at the ranks of a group.
type load struct {
	requests int
	ranks    int
}

// loads returns the requests in flight at each target, and their sums by group, with nil for targets of unknown group.
func (b *Balancer) loads(targets []*targetset.Target, now time.Time) ([]int, map[*group]*load) {
	counts, groups := make([]int, len(targets)), map[*group]*load{}
	for i, t := range targets {
		g := b.groupOf(t, now)
		l := groups[g]
		if l == nil {
			l = &load{}
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
	one := func(requests float64) float64 {
		return float64(e.Stride) * (float64(e.StepTime) + float64(e.PerRequest)*requests)
	}
	share := e.Experts.Share
	own := (1 - share) * one(float64(n)) * max(1, pace)
	joint := share * imbalance * one(mean)
	return time.Duration((own + joint) / (1 - readingShare))
}

// imbalance returns how much longer the most loaded rank takes than the mean, and the same for which places are kept free.
// The group's coordinator counts the pace of the ranks in, and moves experts away from slow ones.
func (g *group) imbalance() (now, kept float64) {
	if g == nil {
		return 1, assumedImbalance
	}
	if g.report.Imbalance <= 0 {
		return g.slowest(), assumedImbalance * g.slowest()
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

// slowest returns the pace of the slowest rank, which the whole group waits for.
func (g *group) slowest() float64 {
	pace := 1.0
	for _, r := range g.report.Ranks {
		pace = max(pace, r.Pace)
	}
	return pace
}
