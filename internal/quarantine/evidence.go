package quarantine

import (
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

const (
	// crashesOfNewPart is the number of crashes that one part has to explain if no answer with it has ever begun, and
	// crashesOfUsedPart if one has. A single crash has many possible causes.
	crashesOfNewPart  = 2
	crashesOfUsedPart = 3
	// sameCauseTime is the time within which crashes count as one, since engines that lose power together crash together.
	sameCauseTime = 100 * time.Millisecond
	// crashesAtOnce is the number of crashes under a part at which it is quarantined for shortQuarantine although they count
	// as one. It is less than five, the number after which few requests with the part may still reach engines.
	crashesAtOnce = 4
	// nearTime is the time before and after the crashes under a part in which further crashes of the service count.
	nearTime = time.Second
	// commonShare is the share of the requests above which a part is common, and fewRequests the number up to which it is
	// not. A common part is in the requests of every crash, whatever the cause.
	commonShare = 0.125
	fewRequests = 3
	// baselineAnswers is the number of answers that must have begun while none with the part did, before the lack of answers
	// counts as evidence against the part.
	baselineAnswers = 20
	// missingAnswers is the number of answers with a part that would have begun meanwhile by its share of the requests, and
	// crashesOfRarePart the number of crashes that replace this evidence for a part that few requests have.
	missingAnswers    = 3
	crashesOfRarePart = 5
	// settleTime is the time after a crash in which peers report the requests that they had at the engine. Until then, a part
	// that was there by chance cannot be told from the cause.
	settleTime = 500 * time.Millisecond
	// crashRetention is the time for which a crash counts.
	crashRetention = 30 * time.Minute
	// maxCrashes bounds the crashes that are stored. When it is reached, a crash replaces only one that is older by
	// replaceAge, since entries would otherwise send each other replaced ones again and again. The age is longer than
	// crashShareTime, and short, so that the crashes of a lost data centre do not hide later ones.
	maxCrashes = 64
	replaceAge = 5 * time.Second
	// maxPartsPerCrash bounds the parts that are stored for a crash.
	maxPartsPerCrash = 64
	// maxHistories bounds the parts that are remembered.
	maxHistories = 4096
	// requestHalfLife is the time after which a request counts half for the share of the requests that have a part.
	requestHalfLife = time.Minute
)

// serviceCounts counts the requests of one service that state their prompts.
type serviceCounts struct {
	requests float64 // older ones counted less
	answers  int     // that have begun
	opening  opening
}

// serviceOf returns the counts of a service.
func (t *Tracker) serviceOf(service string) *serviceCounts {
	s := t.services[service]
	if s == nil {
		s = &serviceCounts{opening: opening{since: t.started}}
		t.services[service] = s
	}
	return s
}

// history is what is known about the requests with one part.
type history struct {
	requests  float64 // number of requests, older ones counted less
	lastSeen  time.Time
	lastBegun time.Time // time at which an answer with the part last began; zero if none has
	common    bool      // many requests had the part before the first crash under it since then
}

// crash is one crash of an engine.
type crash struct {
	at            time.Time
	firstReported time.Time // time at which this process learned of it
	lastUpdated   time.Time // time at which its latest part became known to this process
	settled       bool      // settleTime has passed since it became known
	parts         map[Part]bool
	service       string
	answersBefore int // that had begun in the service when this process learned of the crash
}

func (t *Tracker) historyOf(part Part) *history {
	h := t.histories[part]
	if h == nil {
		if len(t.histories) >= maxHistories {
			t.evictHistories()
		}
		h = &history{lastSeen: t.now()}
		t.histories[part] = h
	}
	return h
}

// evictHistories removes the quarter of the histories that were used least recently.
func (t *Tracker) evictHistories() {
	seen := make([]time.Time, 0, len(t.histories))
	for _, h := range t.histories {
		seen = append(seen, h.lastSeen)
	}
	slices.SortFunc(seen, time.Time.Compare)
	limit := seen[len(seen)/4]
	for part, h := range t.histories {
		if !h.lastSeen.After(limit) {
			delete(t.histories, part)
		}
	}
}

// countRequest counts a request with the parts.
func (t *Tracker) countRequest(service string, parts []Part) {
	t.serviceOf(service).requests++
	for _, part := range parts {
		h := t.historyOf(part)
		h.requests++
		h.lastSeen = t.now()
	}
}

// decayRequestCounts halves the numbers of requests after each requestHalfLife.
func (t *Tracker) decayRequestCounts(now time.Time) {
	if now.Sub(t.halved) < requestHalfLife {
		return
	}
	t.halved = now
	for _, s := range t.services {
		s.requests /= 2
	}
	for _, h := range t.histories {
		h.requests /= 2
	}
}

// addCrash adds parts to the crash of an engine.
func (t *Tracker) addCrash(engine targetset.Incarnation, service string, parts []Part, at time.Time) {
	c := t.crashes[engine]
	if c == nil {
		if len(t.crashes) >= maxCrashes && !t.replaceCrash(at) || t.now().Sub(at) > crashRetention {
			return
		}
		c = &crash{at: at, firstReported: t.now(), parts: map[Part]bool{}, service: service,
			answersBefore: t.serviceOf(service).answers}
		t.crashes[engine] = c
		t.unsettled++
		t.notify(Event{Kind: EventCrash, Engine: engine.ID, Parts: parts})
	}
	for _, part := range parts {
		if c.parts[part] || len(c.parts) >= maxPartsPerCrash && !t.replacePart(c, part) {
			continue
		}
		t.recent = recentSuspects{}
		t.recordCommon(service, part)
		c.parts[part] = true
		c.lastUpdated = t.now()
		if c.settled { // the late part may be the cause
			c.settled, c.firstReported = false, t.now()
			t.unsettled++
		}
	}
}

// replacePart makes room for a part in a full crash, in place of one with which an answer has begun later. It reports
// whether there is one.
func (t *Tracker) replacePart(c *crash, part Part) bool {
	latest, at := Part(""), t.historyOf(part).lastBegun
	for other := range c.parts {
		if begun := t.historyOf(other).lastBegun; begun.After(at) {
			latest, at = other, begun
		}
	}
	delete(c.parts, latest)
	return latest != ""
}

// recordCommon records whether a part is common before the first crash under it since an answer with it has begun.
// Later, a part that crashes engines may be in many requests.
func (t *Tracker) recordCommon(service string, part Part) {
	h := t.historyOf(part)
	for _, c := range t.crashes {
		if c.parts[part] && c.at.After(h.lastBegun) {
			return
		}
	}
	h.common = t.isCommon(service, h)
}

// isCommon reports whether many of the requests of a service so far had the part.
func (t *Tracker) isCommon(service string, h *history) bool {
	return h.requests > max(fewRequests, commonShare*t.serviceOf(service).requests)
}

// replaceCrash makes room for a crash at a time if the oldest one is older by replaceAge, and reports whether it did.
func (t *Tracker) replaceCrash(at time.Time) bool {
	var oldest targetset.Incarnation
	for engine, c := range t.crashes {
		if old := t.crashes[oldest]; old == nil || c.at.Before(old.at) {
			oldest = engine
		}
	}
	if at.Sub(t.crashes[oldest].at) < replaceAge {
		return false
	}
	t.removeCrash(oldest)
	return true
}

func (t *Tracker) removeCrash(engine targetset.Incarnation) {
	if !t.crashes[engine].settled {
		t.unsettled--
	}
	delete(t.crashes, engine)
}

// settle decides on the crashes that have become old enough for it.
func (t *Tracker) settle(now time.Time) {
	if t.unsettled == 0 {
		return
	}
	changed := false
	for _, c := range t.crashes {
		if !c.settled && now.Sub(c.firstReported) >= settleTime {
			c.settled = true
			t.unsettled--
			changed = true
		}
	}
	if changed {
		t.decide()
	}
}

// explained reports whether a quarantined part explains the crash. One that is quarantined for a short time only does not,
// since it may not be the cause.
func (t *Tracker) explained(c *crash) bool {
	for part := range c.parts {
		if q := t.quarantines[part]; q != nil && q.duration >= firstQuarantine {
			return true
		}
	}
	return false
}

// explainedBetter reports whether another quarantined part is in all crashes under a part, and in more.
func (t *Tracker) explainedBetter(part Part) bool {
	for other := range t.quarantines {
		both, onlyPart, onlyOther := 0, 0, 0
		for _, c := range t.crashes {
			switch hasPart, hasOther := c.parts[part], c.parts[other]; {
			case hasPart && hasOther:
				both++
			case hasPart:
				onlyPart++
			case hasOther:
				onlyOther++
			}
		}
		if both > 0 && onlyPart == 0 && onlyOther > 0 {
			return true
		}
	}
	return false
}

// crashesWith returns the number of crashes under a part.
func (t *Tracker) crashesWith(part Part) int {
	n := 0
	for _, c := range t.crashes {
		if c.parts[part] {
			n++
		}
	}
	return n
}

// suspect is a part that may explain crashes.
type suspect struct {
	at      []time.Time // of the crashes that nothing else explains, since an answer with the part began last
	service string      // of one of them
	answers int         // that have begun in the service since the first of them
}

// independentCrashes returns the number of crashes that do not have a common cause, as far as their times show.
func (s *suspect) independentCrashes() int {
	slices.SortFunc(s.at, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range s.at {
		if n == 0 || at.Sub(last) > sameCauseTime {
			n++
			last = at
		}
	}
	return n
}

// unexplained returns the parts of the crashes that no quarantined part explains, except those with which an answer has
// begun after the crash. Crashes that are not settled count only if recent is set.
func (t *Tracker) unexplained(recent bool) map[Part]*suspect {
	found := map[Part]*suspect{}
	for _, c := range t.crashes {
		if !c.settled && !recent || t.explained(c) {
			continue
		}
		for part := range c.parts {
			if t.historyOf(part).lastBegun.After(c.at) {
				continue
			}
			s := found[part]
			if s == nil {
				s = &suspect{service: c.service}
				found[part] = s
			}
			s.answers = max(s.answers, t.serviceOf(c.service).answers-c.answersBefore)
			s.at = append(s.at, c.at)
		}
	}
	return found
}

// suspects returns the parts that explain the most crashes, several of them at least, and whether that is enough for a
// quarantine. Of parts that explain as many crashes, those with which no answer has begun for the longest time are
// returned. Crashes that are not settled count only if recent is set.
func (t *Tracker) suspects(recent bool) (best map[Part]bool, conclusive bool) {
	most := 0
	var oldest time.Time
	var one *suspect // of the best
	for part, s := range t.unexplained(recent) {
		n, begun := s.independentCrashes(), t.historyOf(part).lastBegun
		if n < crashesOfNewPart || n < most || !t.plausible(part, s) {
			continue
		}
		switch {
		case n > most || begun.Before(oldest):
			best, most, oldest, one = map[Part]bool{part: true}, n, begun, s
		case begun.Equal(oldest):
			best[part] = true
		}
	}
	isNew := len(best) == 1 && oldest.IsZero() && t.serviceOf(one.service).answers >= baselineAnswers
	return best, most >= crashesOfUsedPart || isNew && t.explainsMost(one)
}

// shortSuspects returns the parts to quarantine for a short time, given the suspects that are not conclusive: a single new
// one, which may be all that an entry knows after a restart, and those of simultaneous crashes.
func (t *Tracker) shortSuspects(inconclusive map[Part]bool) []Part {
	found := t.simultaneousSuspects()
	for part := range inconclusive {
		if len(inconclusive) == 1 && t.historyOf(part).lastBegun.IsZero() {
			found = append(found, part)
		}
	}
	return found
}

// simultaneousSuspects returns the parts that are in at least crashesAtOnce crashes and in most of those at that time. The
// crashes may have a common cause, as when engines lose power together, or a burst of requests with the part may have
// reached many engines at once. If all groups are closed, no answers can show which it is.
func (t *Tracker) simultaneousSuspects() (found []Part) {
	for part, s := range t.unexplained(false) {
		if t.inManyCrashes(s, crashesAtOnce) && (t.isRare(part, s) || t.plausible(part, s)) {
			found = append(found, part)
		}
	}
	return found
}

// explainsMost reports whether a suspect is in most of the unexplained crashes of its service at that time. When many engines
// are killed, a request that was sent to a second one is in two of the crashes.
func (t *Tracker) explainsMost(s *suspect) bool {
	first := slices.MinFunc(s.at, time.Time.Compare).Add(-nearTime)
	last := slices.MaxFunc(s.at, time.Time.Compare).Add(nearTime)
	n := 0
	for _, c := range t.crashes {
		if c.service == s.service && !c.at.Before(first) && !c.at.After(last) && !t.explained(c) {
			n++
		}
	}
	return 2*len(s.at) > n
}

// recentSuspects keeps the suspects of all crashes, since each request needs them while a crash is not settled.
type recentSuspects struct {
	parts map[Part]bool
	until time.Time // when they are worked out again
}

// suspectsMaxAge is the time for which suspects are kept if no crash becomes known. Meanwhile, answers may begin that clear
// some of them.
const suspectsMaxAge = 50 * time.Millisecond

// recentSuspects returns the suspects of all crashes, also of those that are not settled.
func (t *Tracker) recentSuspects() map[Part]bool {
	if now := t.now(); !now.Before(t.recent.until) {
		parts, _ := t.suspects(true)
		t.recent = recentSuspects{parts, now.Add(suspectsMaxAge)}
	}
	return t.recent.parts
}

// plausible reports whether a part may be the cause of crashes. One that is common is in the requests of every crash,
// and one with which answers have begun has not crashed engines before. Answers of the service that begin without it while
// none does with it must show that it does now.
func (t *Tracker) plausible(part Part, s *suspect) bool {
	common, h := t.wasCommon(part, s), t.historyOf(part)
	switch {
	case common:
		return s.answers >= baselineAnswers
	case h.lastBegun.IsZero():
		return true
	}
	return t.expectedAnswers(h, s) >= missingAnswers || s.answers >= baselineAnswers && t.inManyCrashes(s, crashesOfRarePart)
}

// wasCommon reports whether a part was common before the crashes under it, as far as the process knows after its start.
func (t *Tracker) wasCommon(part Part, s *suspect) bool {
	h := t.historyOf(part)
	return h.common || t.serviceOf(s.service).answers < baselineAnswers && t.isCommon(s.service, h)
}

// isRare reports whether a part was not common, as far as the process has seen enough requests of the service to know.
func (t *Tracker) isRare(part Part, s *suspect) bool {
	return !t.wasCommon(part, s) && t.serviceOf(s.service).answers >= baselineAnswers
}

// inManyCrashes reports whether a suspect is in at least n crashes, and in most of those at that time.
func (t *Tracker) inManyCrashes(s *suspect, n int) bool { return len(s.at) >= n && t.explainsMost(s) }

// expectedAnswers returns the number of answers with a part that would have begun since the first crash by its share of the
// requests.
func (t *Tracker) expectedAnswers(h *history, s *suspect) float64 {
	return h.requests / max(1, t.serviceOf(s.service).requests) * float64(s.answers)
}
