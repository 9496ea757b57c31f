package contention

import (
	"maps"
	"slices"
	"time"
)

const (
	// reportMaxAge is the age from which a peer's report is ignored.
	reportMaxAge = 2 * time.Second
	// keepHorizon is the time for whose arrivals places are kept back. After it further places have come free.
	keepHorizon = 100 * time.Millisecond
	// guaranteedShare is a part of the places that a class would have if they were divided by arrivals. While its requests
	// have less than that, no places are kept back from it, so that the least urgent requests get some places.
	guaranteedShare = 0.15
)

// ClassDemand is the demand of the requests of one class.
type ClassDemand struct {
	Class             int
	ArrivalsPerSecond float64
	InFlight          int
}

// demand is the demand of a service by class, at this process and at its peers.
type demand struct {
	own   map[int]*ownDemand
	peers map[string]peerDemand // by process
}

type ownDemand struct {
	arrivals rate
	inFlight int
}

type peerDemand struct {
	classes  []ClassDemand
	received time.Time
}

func newDemand() demand {
	return demand{own: map[int]*ownDemand{}, peers: map[string]peerDemand{}}
}

func (d *demand) class(class int) *ownDemand {
	c := d.own[class]
	if c == nil {
		c = &ownDemand{}
		d.own[class] = c
	}
	return c
}

func (d *demand) arrived(class int, now time.Time) { d.class(class).arrivals.add(now) }
func (d *demand) started(class int)                { d.class(class).inFlight++ }
func (d *demand) done(class int)                   { d.class(class).inFlight-- }

// SetPeer records the demand at a peer, which replaces its earlier one.
func (s *Service) SetPeer(process string, classes []ClassDemand, now time.Time) {
	s.demand.peers[process] = peerDemand{classes, now}
}

// Own returns the demand at this process, by class.
func (s *Service) Own(now time.Time) []ClassDemand {
	var out []ClassDemand
	for _, p := range slices.Sorted(maps.Keys(s.demand.own)) {
		c := s.demand.own[p]
		out = append(out, ClassDemand{p, c.arrivals.perSecond(now), c.inFlight})
	}
	return out
}

// expire drops the reports of peers that have not been heard for reportMaxAge.
func (d *demand) expire(now time.Time) {
	maps.DeleteFunc(d.peers, func(_ string, p peerDemand) bool { return now.Sub(p.received) >= reportMaxAge })
}

// each calls f for the demand of each class at each process. A peer without a recent report counts as having none.
func (d *demand) each(now time.Time, f func(ClassDemand)) {
	for p, c := range d.own {
		f(ClassDemand{p, c.arrivals.perSecond(now), c.inFlight})
	}
	for _, p := range d.peers {
		if now.Sub(p.received) >= reportMaxAge {
			continue
		}
		for _, c := range p.classes {
			f(c)
		}
	}
}

// Kept returns the number of free places of the service that requests of the rank must leave to those that go before
// them.
func (s *Service) Kept(r Rank, now time.Time) float64 {
	urgentPerSecond, perSecond, allPerSecond := 0.0, 0.0, 0.0
	inFlight, all := 0, 0
	s.demand.each(now, func(c ClassDemand) {
		if r.isBehind(c.Class) {
			urgentPerSecond += c.ArrivalsPerSecond
		}
		if c.Class == r.Class {
			perSecond += c.ArrivalsPerSecond
			inFlight += c.InFlight
		}
		allPerSecond += c.ArrivalsPerSecond
		all += c.InFlight
	})
	if r.Tier == TierInTime && float64(inFlight)*allPerSecond <= guaranteedShare*perSecond*float64(all) {
		return 0
	}
	return urgentPerSecond * keepHorizon.Seconds()
}

// KeptFromLeast returns the number of places that requests of the least urgent class must leave free.
func (s *Service) KeptFromLeast(now time.Time) float64 {
	least := 0
	for p := range s.demand.own {
		least = max(least, p)
	}
	return s.Kept(Rank{least, TierInTime}, now)
}

// AheadPerSecond returns the arrivals per second at this process of requests that go before those of the rank.
func (s *Service) AheadPerSecond(r Rank, now time.Time) float64 {
	sum := 0.0
	for p, c := range s.demand.own {
		if r.isBehind(p) {
			sum += c.arrivals.perSecond(now)
		}
	}
	return sum
}

// shareAbove returns the share of the other classes that are more urgent than the one given, from 0 to 1.
func (d *demand) shareAbove(class int) float64 {
	more, others := 0, 0
	for p := range d.own {
		if p < class {
			more++
		}
		if p != class {
			others++
		}
	}
	return float64(more) / float64(max(1, others))
}
