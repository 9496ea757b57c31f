package configcheck

import (
	"net"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
	"github.com/camphorbank/camphorbank/internal/upstream"
)

const (
	// minAnswerTime is the time that is left for the answer of a target if the connection to it opens as late as it may.
	minAnswerTime = 100 * time.Millisecond
	// minTimeout is the shortest time limit of a route that leaves minAnswerTime.
	minTimeout = upstream.DialTimeout + minAnswerTime
)

// routeKey is what decides which requests a route gets.
type routeKey struct{ host, prefix string }

func keyOf(r *routetable.Route) routeKey { return routeKey{strings.ToLower(r.Host), r.Prefix} }

func (k *checker) checkRoutes() {
	names := map[string]bool{}
	first := map[routeKey]string{}
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		at := Place{Section: Routes, Index: i}
		k.checkName(at, r.Name, names)
		k.checkMatch(at, r, first)
		k.checkBackends(at, r)
		k.checkRouteTimes(at, r)
		k.checkStreamFields(at, r)
	}
}

// checkMatch reports a route that no request can match.
func (k *checker) checkMatch(at Place, r *routetable.Route, first map[routeKey]string) {
	at.Field = Host
	if r.Host == "" {
		k.add(Error, at, "missing")
	}
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		k.add(Warning, at, "never matches: the port of a request's host is not compared")
	}
	at.Field = Prefix
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		k.add(Error, at, "must begin and end with a slash")
	}
	if other, hidden := first[keyOf(r)]; hidden {
		k.add(Warning, at, "never matches: route %q has the same host and prefix", other)
		return
	}
	first[keyOf(r)] = r.Name
}

// checkBackends reports backends that do not exist or get no requests, and records those that do.
func (k *checker) checkBackends(at Place, r *routetable.Route) {
	at.Field = Backends
	if len(r.Backends) == 0 {
		k.add(Error, at, "names no service")
	}
	total := 0.0
	for i, b := range r.Backends {
		at.Element = i
		total += max(0, b.Weight)
		if k.services[b.Service] == nil {
			k.add(Error, at, "the configuration describes no service %q", b.Service)
		}
		k.used[b.Service] = k.used[b.Service] || b.Weight > 0
		if b.Weight < 0 {
			k.add(Error, Place{Routes, at.Index, Weight, i}, "must not be negative")
		}
	}
	if len(r.Backends) > 0 && total <= 0 {
		k.add(Warning, Place{Routes, at.Index, Weight, 0}, "all weights are 0: the last service gets all requests")
		k.used[r.Backends[len(r.Backends)-1].Service] = true
	}
}

// checkRouteTimes reports time limits that contradict each other.
func (k *checker) checkRouteTimes(at Place, r *routetable.Route) {
	at.Field = Timeout
	switch {
	case r.Timeout <= 0:
		k.add(Error, at, "missing or not above 0")
	case r.Objective > r.Timeout:
		k.add(Warning, at, "%v is below the latency objective of %v, which no late answer can reach", r.Timeout, r.Objective)
	case r.Timeout < minTimeout:
		k.add(Warning, at, "%v is below %v, which entries may need to reach a target", r.Timeout, minTimeout)
	}
	if r.Objective < 0 {
		k.add(Error, Place{Routes, at.Index, Objective, 0}, "must not be negative")
	}
	if r.EventGap < 0 {
		k.add(Error, Place{Routes, at.Index, EventGap, 0}, "must not be negative")
	}
	if r.EventGap > 0 && r.Timeout > 0 && r.EventGap >= r.Timeout {
		k.add(Warning, Place{Routes, at.Index, EventGap, 0}, "%v is not below the timeout of %v: no event can be late", r.EventGap, r.Timeout)
	}
}

// checkStreamFields reports fields that contradict the kind of the route or the speed of its engines.
func (k *checker) checkStreamFields(at Place, r *routetable.Route) {
	if r.Kind != routetable.KindStream {
		if r.Resumable {
			k.add(Warning, Place{Routes, at.Index, Resumable, 0}, "has no effect: the route has no streams")
		}
		if r.EventGap > 0 {
			k.add(Warning, Place{Routes, at.Index, EventGap, 0}, "has no effect: the route has no streams")
		}
		return
	}
	for _, b := range r.Backends {
		s := k.services[b.Service]
		if s == nil || s.Engine == nil || r.EventGap <= 0 {
			continue
		}
		if fastest := time.Duration(s.Engine.Stride) * (s.Engine.StepTime + s.Engine.PerRequest); r.EventGap < fastest {
			k.add(Warning, Place{Routes, at.Index, EventGap, 0}, "%v is below the %v that an idle engine of %q needs for an event", r.EventGap, fastest, s.Name)
		}
	}
}
