package balance

import (
	"maps"
	"math"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/targetset"
)

// GroupReport is the state of an engine group as its coordinator reports it.
type GroupReport struct {
	Name          string
	Term, Seq     int64        // a report replaces those with a lower Term, or the same Term and a lower Seq
	TakesRequests bool         // the group takes requests
	Imbalance     float64      // work of the most loaded rank divided by the mean; 0 if unknown
	Ranks         []RankReport // empty if they are those of the previous reports of the same term
	// RanksSeq is the Seq of the first report of the term with these ranks; 0 if it is not stated.
	RanksSeq int64
}

// RankReport is the state of one rank.
type RankReport struct {
	Engine string  // address; empty if it is unknown
	Pace   float64 // factor by which the engine is slower than nominal; 0 if unknown
}

// group is the latest report of an engine group. All its ranks take part in each step, so the duration of a step
// depends on the work of all ranks.
type group struct {
	report   GroupReport
	received time.Time
	paces    map[string]float64 // of the ranks of the report, by the address of the engine
	slowest  float64            // pace of the slowest rank, which the whole group waits for; at least 1
}

// readRanks sets what is derived from the ranks of the report.
func (g *group) readRanks() {
	g.paces, g.slowest = make(map[string]float64, len(g.report.Ranks)), 1
	for _, r := range g.report.Ranks {
		g.paces[r.Engine] = max(1, r.Pace)
		g.slowest = max(g.slowest, r.Pace)
	}
}

const (
	// groupReportMaxAge is the age beyond which a group's report no longer describes its present state.
	groupReportMaxAge = 1500 * time.Millisecond
	// assumedImbalance is the imbalance that admission of requests allows for. The popularity of experts shifts every
	// few seconds, and until the expert map is adapted, the rank with the most popular expert has three times the mean
	// work.
	assumedImbalance = 2.3
	// prefillShare is the part of a step that is reserved for processing new prompts.
	prefillShare = 0.1
	// defaultMaxEventGap is the longest gap between events that is on time if the route states none.
	defaultMaxEventGap = 120 * time.Millisecond
)

// UpdateGroup records a group's report, unless a newer one is known that is not outdated. It reports whether the ranks
// that a recorded report names are known.
func (b *Balancer) UpdateGroup(r GroupReport) (ranksKnown bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[r.Name]
	if g != nil && (r.Term < g.report.Term || r.Term == g.report.Term && r.Seq <= g.report.Seq) &&
		b.now().Sub(g.received) < groupReportMaxAge {
		return true
	}
	next := &group{report: r, received: b.now()}
	ranksKnown = true
	if len(r.Ranks) == 0 && g != nil && g.report.Term == r.Term {
		next.report.Ranks, next.paces, next.slowest = g.report.Ranks, g.paces, g.slowest
		next.report.RanksSeq = g.report.RanksSeq
		ranksKnown = g.report.RanksSeq == r.RanksSeq
	} else {
		next.readRanks()
		if len(r.Ranks) == 0 {
			next.report.RanksSeq = 0
			ranksKnown = r.RanksSeq == 0
		}
	}
	if wasOpen := g == nil || g.report.TakesRequests; wasOpen != r.TakesRequests {
		kind := EventClosed
		if r.TakesRequests {
			kind = EventOpened
		}
		b.notify(Event{Kind: kind, Group: r.Name})
	}
	b.groups[r.Name] = next
	for _, rank := range next.report.Ranks {
		if rank.Engine != "" {
			b.groupByEngine[rank.Engine] = next
		}
	}
	b.dispatchAll()
	return ranksKnown
}

// groupExpiry is the time without a report after which a group and its engines are forgotten. Until then the last report
// still states which engines belong together.
const groupExpiry = time.Minute

// removeOldGroups forgets groups that have not been reported for groupExpiry and have no requests of this process. The
// caller holds the lock.
func (b *Balancer) removeOldGroups() {
	for name, g := range b.groups {
		p := b.progress[name]
		if b.now().Sub(g.received) < groupExpiry || p != nil && p.running > 0 {
			continue
		}
		delete(b.groups, name)
		delete(b.progress, name)
		maps.DeleteFunc(b.groupByEngine, func(_ string, other *group) bool { return other.report.Name == name })
	}
}

// Group returns the name of the target's engine group, or an empty string if no report named the target.
func (l *Lease) Group() string {
	if l.progress == nil {
		return ""
	}
	return l.progress.group
}

// groupOf returns the group of a target, or nil if it is unknown or its report is outdated.
func (b *Balancer) groupOf(t *targetset.Target, now time.Time) *group {
	g := b.groupByEngine[t.Addr]
	if g == nil || now.Sub(g.received) > groupReportMaxAge {
		return nil
	}
	return g
}

// groupLoad counts the requests in flight at the ranks of a group.
type groupLoad struct {
	requests int
	ranks    int
}

// loads returns the requests in flight at each target, and their sums by group. The key nil holds the sum for targets
// of unknown group.
func (b *Balancer) loads(targets []*targetset.Target, now time.Time) ([]int, map[*group]*groupLoad) {
	b.dropOldReports(now)
	counts, groups := make([]int, len(targets)), map[*group]*groupLoad{}
	for i, t := range targets {
		g := b.groupOf(t, now)
		l := groups[g]
		if l == nil {
			l = &groupLoad{}
			groups[g] = l
		}
		counts[i] = b.inFlight(t)
		l.requests += counts[i]
		l.ranks++
	}
	return counts, groups
}

// addGroupLoads adds targets that get no requests to the loads of their groups: each rank does a share of the experts' work.
func (b *Balancer) addGroupLoads(groups map[*group]*groupLoad, targets []*targetset.Target, now time.Time) {
	for _, t := range targets {
		g := b.groupOf(t, now)
		if l := groups[g]; g != nil && l != nil {
			l.requests += b.inFlight(t)
			l.ranks++
		}
	}
}

// stepTime predicts the duration of one step, which generates e.Stride tokens for each request and ends with an event.
// The engine has n requests and the given pace. The ranks of its group have mean requests on average, and the most
// loaded rank needs imbalance times the mean time for the work of the experts, which all ranks wait for.
func stepTime(e *routetable.Engine, n int, mean, imbalance, pace float64) time.Duration {
	stepWork := func(requests float64) float64 {
		return float64(e.Stride) * (float64(e.StepTime) + float64(e.PerRequest)*requests)
	}
	share := e.Experts.Share
	denseWork := (1 - share) * stepWork(float64(n)) * max(1, pace)
	expertWork := share * imbalance * stepWork(mean)
	return time.Duration((denseWork + expertWork) / (1 - prefillShare))
}

// imbalance returns the factor by which the most loaded rank takes longer than the mean, and the factor that admission
// allows for. The factor that the group's coordinator reports includes the pace of the ranks, as the coordinator moves
// experts away from slow ones.
func (g *group) imbalance() (current, reserved float64) {
	if g == nil {
		return 1, assumedImbalance
	}
	if g.report.Imbalance <= 0 {
		return g.slowest, assumedImbalance * g.slowest
	}
	return g.report.Imbalance, max(assumedImbalance, g.report.Imbalance)
}

// pace returns the pace of the engine at an address, which is at least 1, and 1 if it is unknown.
func (g *group) pace(addr string) float64 {
	if g == nil {
		return 1
	}
	return max(1, g.paces[addr])
}

// imbalanceOf returns the imbalance with which stepTime predicts the duration of one step while each rank has mean requests.
func imbalanceOf(e *routetable.Engine, step time.Duration, mean float64) float64 {
	share := e.Experts.Share
	work := float64(max(1, e.Stride)) * (float64(e.StepTime) + float64(e.PerRequest)*mean)
	if share <= 0 || work <= 0 {
		return 1
	}
	return (float64(step)*(1-prefillShare)/work - (1 - share)) / share
}

// requestsWithin returns the number of requests of each rank with which stepTime predicts the duration of one step.
func requestsWithin(e *routetable.Engine, step time.Duration, imbalance, pace float64) float64 {
	share := e.Experts.Share
	work := float64(step) * (1 - prefillShare) / ((1-share)*max(1, pace) + share*imbalance)
	if e.PerRequest <= 0 {
		return math.Inf(1)
	}
	return max(0, (work/float64(max(1, e.Stride))-float64(e.StepTime))/float64(e.PerRequest))
}
