package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorbank/camphorbank/internal/targetset"
)

// layout is the size of a deployment.
type layout struct {
	entries, dataCentres int
	groups, perGroup     int // of engines
	soundPerSecond       float64
	exchange             time.Duration // between two exchanges of a pair of entries
	stopTime             time.Duration // see storm.late
	queueTime            time.Duration // for which requests wait for a group to open
}

var (
	smallLayout  = layout{entries: 4, dataCentres: 1, groups: 2, perGroup: 8, soundPerSecond: 66, exchange: 300 * time.Millisecond, stopTime: 3 * time.Second, queueTime: queueTime}
	mediumLayout = layout{entries: 12, dataCentres: 3, groups: 3, perGroup: 24, soundPerSecond: 150, exchange: 204 * time.Millisecond, stopTime: 3 * time.Second, queueTime: queueTime}
	// In the large layout, entries exchange reports with those of their data centre and one of each other one.
	largeLayout = layout{entries: 52, dataCentres: 4, groups: 24, perGroup: 8, soundPerSecond: 400, exchange: 272 * time.Millisecond, stopTime: 5 * time.Second, queueTime: queueTime}
)

// stormLayouts are the layouts with the number of seeds to play.
var stormLayouts = map[string]struct {
	layout
	seeds uint64
}{"small": {smallLayout, 12}, "medium": {mediumLayout, 4}, "large": {largeLayout, 3}}

// maxMeshedEntries is the number of entries up to which all exchange reports with each other.
const maxMeshedEntries = 20

// storm is a fleet of entries in front of groups of engines, in virtual time. Requests with a part named "bad" come at any
// entry and crash the engine that begins an answer to them. A crash stalls its group, whose other requests are lost after
// stallTime, and closes it for a time.
type storm struct {
	layout
	rng      *rand.Rand
	clock    *clock
	trackers []*Tracker
	live     []int                // positions of the entries that are running
	pairs    [][2]int             // entries that exchange reports
	closed   []time.Time          // groups are closed until then
	started  int                  // incarnations of engines
	crashes  map[Part][]time.Time // under bad parts
	reached  map[Part][]time.Time // requests with bad parts that reached an engine
	sound    int                  // sound requests for which a group was open
	refused  int                  // of these, refused because of their prompts
	running  []*request
	waiting  []*request // for a group to open
	subjects int
	used     Part // part that a few sound requests have; empty for none
}

// request is a request of the storm.
type request struct {
	prompt  *Prompt
	bad     Part // part that crashes engines, if it has one
	retried bool
	held    bool // it has waited for a part to be proven although a group was open
	engine  int  // position among all engines
	begins  time.Time
	until   time.Time // end of its wait, or of its answer
	lost    time.Time // time at which its stalled group loses it; zero if it does not
}

const (
	middleParts  = 20
	usedPeriod   = 50 // one of so many sound requests has the used part
	stormStep    = 10 * time.Millisecond
	minDownTime  = 3 * time.Second
	maxDownTime  = 5 * time.Second
	stallTime    = 1500 * time.Millisecond
	queueTime    = 1500 * time.Millisecond
	answerTime   = time.Second
	prefillTime  = 150 * time.Millisecond
	sweepTime    = 250 * time.Millisecond
	exchangeTime = 300 * time.Millisecond
)

func newStorm(seed uint64, l layout) *storm {
	s := &storm{layout: l, rng: rand.New(rand.NewPCG(seed, 0)), clock: newClock(), closed: make([]time.Time, l.groups),
		crashes: map[Part][]time.Time{}, reached: map[Part][]time.Time{}}
	for i := range l.entries {
		s.trackers = append(s.trackers, New(s.clock.now))
		s.live = append(s.live, i)
	}
	for i := range l.entries {
		for j := range i {
			if l.entries <= maxMeshedEntries || i%l.dataCentres == j%l.dataCentres {
				s.pairs = append(s.pairs, [2]int{i, j})
			}
		}
		for dc := range l.dataCentres {
			if contact := dc + l.dataCentres*s.rng.IntN(l.entries/l.dataCentres); l.entries > maxMeshedEntries && dc != i%l.dataCentres {
				s.pairs = append(s.pairs, [2]int{i, contact})
			}
		}
	}
	return s
}

// parts returns the shared parts of a sound request: that of its kind, a middle one, and for some a rare one. Middle parts
// are in 22 % to 0.7 % of the requests.
func (s *storm) parts() []Part {
	middle := int(middleParts * s.rng.Float64() * s.rng.Float64())
	out := []Part{Part(fmt.Sprintf("kind-%d", s.rng.IntN(3))), Part(fmt.Sprintf("middle-%d", middle))}
	if s.rng.IntN(4) == 0 {
		s.subjects++
		out = append(out, Part(fmt.Sprintf("subject-%d", s.subjects/4)))
	}
	return out
}

// send sends one request through any entry. It has the bad part unless that is empty.
func (s *storm) send(bad Part) { s.sendThrough(s.live[s.rng.IntN(len(s.live))], bad) }

func (s *storm) sendThrough(entry int, bad Part) {
	parts := s.parts()
	switch {
	case bad != "":
		parts = append(parts, bad)
	case s.used != "" && s.rng.IntN(usedPeriod) == 0:
		parts = append(parts, s.used)
	}
	s.place(&request{prompt: s.trackers[entry].Prompt(testService, parts), bad: bad, until: s.clock.now().Add(s.queueTime)})
}

// place sends a request to an engine, makes it wait for a group to open, or refuses it.
func (s *storm) place(r *request) {
	now := s.clock.now()
	part, _ := r.prompt.Blocked()
	open := s.openGroups()
	switch {
	case part != "":
		s.countSound(r, true)
		r.prompt.Done()
		return
	case len(open) == 0:
		if s.queueTime > 0 {
			r.prompt.Waits()
		}
		s.waiting = append(s.waiting, r)
		return
	}
	r.prompt.TargetOpen()
	if r.prompt.Unproven() != "" {
		s.hold(r)
		s.waiting = append(s.waiting, r)
		return
	}
	s.countSound(r, false)
	if r.bad != "" {
		s.reached[r.bad] = append(s.reached[r.bad], now)
	}
	r.engine = open[s.rng.IntN(len(open))]*s.perGroup + s.rng.IntN(s.perGroup)
	r.begins = now.Add(time.Duration(float64(prefillTime) * (0.3 + s.rng.Float64())))
	r.until = r.begins.Add(answerTime)
	s.running = append(s.running, r)
}

// hold lets a request wait for its parts to be proven.
func (s *storm) hold(r *request) {
	if latest := s.clock.now().Add(ProofWait); !r.held && latest.After(r.until) {
		r.until = latest
	}
	r.held = true
}

// countSound counts a sound request that was sent or refused for the first time.
func (s *storm) countSound(r *request, refused bool) {
	if r.bad != "" || r.retried {
		return
	}
	s.sound++
	if refused {
		s.refused++
	}
}

func (s *storm) openGroups() (open []int) {
	for g, until := range s.closed {
		if !s.clock.now().Before(until) {
			open = append(open, g)
		}
	}
	return open
}

// crash ends an engine, and stalls its group.
func (s *storm) crash(engine int) {
	s.started++
	group := engine / s.perGroup
	down := minDownTime + time.Duration(s.rng.Int64N(int64(maxDownTime-minDownTime)))
	s.closed[group] = s.clock.now().Add(down)
	incarnation := targetset.Incarnation{ID: fmt.Sprintf("e-%d", engine), StartedAtMs: int64(s.started)}
	all := s.running
	s.running = nil
	for _, r := range all {
		switch {
		case r.engine == engine:
			if !r.prompt.HasBegun() {
				r.prompt.Crashed(incarnation)
			}
			s.retry(r)
			continue
		case r.engine/s.perGroup == group && r.lost.IsZero():
			r.lost = s.clock.now().Add(stallTime)
		}
		s.running = append(s.running, r)
	}
}

// retry sends a request whose answer was lost to another engine, unless it has been retried before or may have caused the
// crash.
func (s *storm) retry(r *request) {
	r.prompt.Lost()
	if r.retried || r.prompt.HasBegun() || r.prompt.Suspected() {
		r.prompt.Done()
		return
	}
	r.retried, r.lost, r.until = true, time.Time{}, s.clock.now().Add(s.queueTime)
	s.place(r)
}

// step advances the time: requests begin and end, and entries exchange reports.
func (s *storm) step() {
	s.clock.advance(stormStep)
	s.beginAnswers()
	s.endRequests()
	s.placeWaiting()
	for _, pair := range s.pairs {
		if s.rng.Float64() < float64(stormStep)/float64(s.exchange) {
			exchangeReports(s.trackers[pair[0]], s.trackers[pair[1]])
		}
	}
	for _, t := range s.trackers {
		if s.rng.Float64() < float64(stormStep)/float64(sweepTime) {
			t.Sweep()
		}
	}
}

func exchangeReports(a, b *Tracker) {
	fromA := a.Report()
	a.Merge(b.Report())
	b.Merge(fromA)
}

// beginAnswers begins the answers that are due, and crashes the engines of those to bad requests.
func (s *storm) beginAnswers() {
	crashing := map[int]Part{}
	for _, r := range s.running {
		switch {
		case s.clock.now().Before(r.begins) || !r.lost.IsZero():
		case r.bad != "":
			crashing[r.engine] = r.bad
		default:
			r.prompt.Begun()
		}
	}
	engines := make([]int, 0, len(crashing))
	for e := range crashing {
		engines = append(engines, e)
	}
	slices.Sort(engines)
	for _, e := range engines {
		part := crashing[e]
		s.crashes[part] = append(s.crashes[part], s.clock.now())
		s.crash(e)
	}
}

// endRequests ends the requests whose answers are complete or lost.
func (s *storm) endRequests() {
	all, now := s.running, s.clock.now()
	s.running = nil
	for _, r := range all {
		switch {
		case !r.lost.IsZero() && !now.Before(r.lost):
			s.retry(r)
		case r.lost.IsZero() && !now.Before(r.until):
			r.prompt.Done()
		default:
			s.running = append(s.running, r)
		}
	}
}

// placeWaiting sends the waiting requests once a group is open, and drops those that have waited for too long. Those that
// were held back while a group was open count as refused.
func (s *storm) placeWaiting() {
	if len(s.waiting) == 0 {
		return
	}
	all, open := s.waiting, len(s.openGroups()) > 0
	s.waiting = nil
	for _, r := range all {
		late := s.clock.now().After(r.until)
		switch {
		case late && r.held:
			s.countSound(r, true)
			r.prompt.Done()
		case open:
			s.place(r)
		case late:
			r.prompt.Done()
		default:
			s.waiting = append(s.waiting, r)
		}
	}
}

// run plays a time with sound requests and a rate of requests with each of the bad parts.
func (s *storm) run(d time.Duration, badPerSecond float64, bad ...Part) {
	for end := s.clock.now().Add(d); s.clock.now().Before(end); s.step() {
		for n := s.arrivals(s.soundPerSecond); n > 0; n-- {
			s.send("")
		}
		for _, part := range bad {
			for n := s.arrivals(badPerSecond); n > 0; n-- {
				s.send(part)
			}
		}
	}
}

// arrivals draws the number of requests of a rate that arrive in one step.
func (s *storm) arrivals(perSecond float64) int {
	mean := perSecond * stormStep.Seconds()
	n := int(mean)
	if s.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// burst sends a number of requests with a bad part through each entry at once.
func (s *storm) burst(perEntry int, bad Part) {
	for _, i := range s.live {
		for range perEntry {
			s.sendThrough(i, bad)
		}
	}
}

// loseEntry ends a running entry. The others find no other partner in its place.
func (s *storm) loseEntry() {
	at := s.rng.IntN(len(s.live))
	lost := s.live[at]
	s.live = slices.Delete(s.live, at, at+1)
	s.pairs = slices.DeleteFunc(s.pairs, func(p [2]int) bool { return p[0] == lost || p[1] == lost })
}
