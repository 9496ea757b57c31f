package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/camphorbank/camphorbank/internal/routetable"
)

// Effect states when a difference takes effect.
type Effect string

// Effects of differences.
const (
	// AtOnce means that an entry applies it to requests that begin after it has read the configuration.
	AtOnce Effect = "at once"
	// AfterDrain means that new requests follow it at once, while those in progress still end as they began.
	AfterDrain Effect = "after requests in progress have ended"
	// Never means that entries ignore the configuration.
	Never Effect = "never"
)

// Kind names what a difference concerns.
type Kind string

// Kinds of differences.
const (
	VersionNotHigher Kind = "version-not-higher"
	RouteAdded       Kind = "route-added"
	RouteRemoved     Kind = "route-removed"
	RouteMoved       Kind = "route-moved" // other services get its requests, or other shares of them
	RouteChanged     Kind = "route-changed"
	ServiceAdded     Kind = "service-added"
	ServiceRemoved   Kind = "service-removed"
	ServiceChanged   Kind = "service-changed"
	AccountAdded     Kind = "account-added"
	AccountRemoved   Kind = "account-removed"
	AccountChanged   Kind = "account-changed"
	KeyAdded         Kind = "key-added"
	KeyRevoked       Kind = "key-revoked"
	KeyMoved         Kind = "key-moved"
	LimitLowered     Kind = "limit-lowered"
	LimitRaised      Kind = "limit-raised"
	AccessLost       Kind = "access-lost"
)

// Difference is one difference between two configurations.
type Difference struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"` // name of the route, service or client account, or what is limited
	Message string `json:"message"`
	Effect  Effect `json:"effect"`
}

// String formats the difference as KIND: SUBJECT: MESSAGE (takes effect EFFECT).
func (d Difference) String() string {
	return fmt.Sprintf("%s: %s: %s (takes effect %s)", d.Kind, d.Subject, d.Message, d.Effect)
}

// comparison collects the differences between two configurations whose keys are hashed.
type comparison struct {
	before, after *routetable.Config
	found         []Difference
}

// Compare returns what changes when a configuration follows another one. The keys of both must be hashes; see HashKeys.
func Compare(before, after routetable.Config) []Difference {
	c := &comparison{before: &before, after: &after}
	if after.Version <= before.Version {
		c.add(VersionNotHigher, "version", Never, "%d is not above %d: entries ignore the configuration", after.Version, before.Version)
	}
	c.compareRoutes()
	c.compareServices()
	c.compareAccounts()
	c.compareLimits()
	return c.found
}

func (c *comparison) add(k Kind, subject string, e Effect, format string, args ...any) {
	c.found = append(c.found, Difference{k, subject, fmt.Sprintf(format, args...), e})
}

// matching returns the routes that requests can match by host and prefix: the first one of each.
func matching(routes []routetable.Route) map[routeKey]*routetable.Route {
	out := map[routeKey]*routetable.Route{}
	for i := range routes {
		if k := keyOf(&routes[i]); out[k] == nil {
			out[k] = &routes[i]
		}
	}
	return out
}

// sortedKeys returns the hosts and prefixes of routes in order.
func sortedKeys(routes map[routeKey]*routetable.Route) []routeKey {
	return slices.SortedFunc(maps.Keys(routes), func(a, b routeKey) int {
		return cmp.Or(strings.Compare(a.host, b.host), strings.Compare(a.prefix, b.prefix))
	})
}

// compareRoutes compares the routes by host and prefix, since these decide which requests they get.
func (c *comparison) compareRoutes() {
	before, after := matching(c.before.Routes), matching(c.after.Routes)
	for _, k := range sortedKeys(before) {
		old, now := before[k], after[k]
		if now == nil {
			c.add(RouteRemoved, old.Name, AfterDrain, "%s%s: %s", k.host, k.prefix, fallback(k, after))
			continue
		}
		c.compareRoute(old, now)
	}
	for _, k := range sortedKeys(after) {
		if before[k] == nil {
			r := after[k]
			c.add(RouteAdded, r.Name, AtOnce, "%s%s goes to %s", k.host, k.prefix, formatBackends(r))
		}
	}
}

// fallback states which route gets the requests of a removed one.
func fallback(removed routeKey, after map[routeKey]*routetable.Route) string {
	var best *routetable.Route
	for k, r := range after {
		if k.host == removed.host && strings.HasPrefix(removed.prefix, k.prefix) && (best == nil || len(k.prefix) > len(best.Prefix)) {
			best = r
		}
	}
	if best == nil {
		return "its requests are answered 404"
	}
	return fmt.Sprintf("route %q gets its requests", best.Name)
}

// formatBackends returns the services of a route with their shares in percent.
func formatBackends(r *routetable.Route) string {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	var out []string
	for _, b := range r.Backends {
		if len(r.Backends) == 1 || total <= 0 {
			out = append(out, b.Service)
			continue
		}
		out = append(out, fmt.Sprintf("%s (%.3g %%)", b.Service, 100*b.Weight/total))
	}
	return strings.Join(out, ", ")
}

func (c *comparison) compareRoute(old, now *routetable.Route) {
	if a, b := formatBackends(old), formatBackends(now); a != b {
		c.add(RouteMoved, now.Name, AfterDrain, "goes to %s instead of %s", b, a)
	}
	needsKey := func(conf *routetable.Config, r *routetable.Route) bool { return len(conf.Accounts) > 0 && !r.Public }
	switch a, b := needsKey(c.before, old), needsKey(c.after, now); {
	case !a && b:
		c.add(AccessLost, now.Name, AtOnce, "requests without a key are answered 401")
	case a && !b:
		c.add(RouteChanged, now.Name, AtOnce, "requests need no key any more")
	}
	changed := func(what string, a, b any) {
		if a != b {
			c.add(RouteChanged, now.Name, AtOnce, "%s is %v instead of %v", what, b, a)
		}
	}
	changed("its name", old.Name, now.Name)
	changed("the kind", old.Kind, now.Kind)
	changed("the priority", old.Priority, now.Priority)
	changed("the largest number of attempts", old.MaxAttempts, now.MaxAttempts)
	changed("resuming of streams", old.Resumable, now.Resumable)
	changed("the latency objective", old.Objective, now.Objective)
	changed("the longest event gap", old.EventGap, now.EventGap)
	changed("the regions of its targets", formatRegions(old.Regions), formatRegions(now.Regions))
	c.compareLimit("timeout of route "+now.Name, float64(old.Timeout), float64(now.Timeout), AfterDrain, formatDuration)
}

// formatRegions returns the regions of a limit in order.
func formatRegions(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(slices.Compact(slices.Sorted(slices.Values(regions))), ", ")
}

func formatDuration(n float64) string { return time.Duration(n).String() }
func formatNumber(n float64) string   { return fmt.Sprintf("%g", n) }

// compareLimit compares a limit. An entry applies its own default in place of 0, which may be no limit.
func (c *comparison) compareLimit(subject string, old, now float64, e Effect, format func(float64) string) {
	text := func(n float64) string {
		if n == 0 {
			return "the entry's default"
		}
		return format(n)
	}
	switch {
	case old == now:
	case now != 0 && (old == 0 || now < old):
		c.add(LimitLowered, subject, e, "%s instead of %s", text(now), text(old))
	default:
		c.add(LimitRaised, subject, e, "%s instead of %s", text(now), text(old))
	}
}

func servicesByName(c *routetable.Config) map[string]*routetable.Service {
	out := map[string]*routetable.Service{}
	for i := range c.Services {
		out[c.Services[i].Name] = &c.Services[i]
	}
	return out
}

func (c *comparison) compareServices() {
	before, after := servicesByName(c.before), servicesByName(c.after)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		old, now := before[name], after[name]
		if now == nil {
			c.add(ServiceRemoved, name, AfterDrain, "its targets get no new requests")
			continue
		}
		c.compareService(old, now)
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if before[name] == nil {
			c.add(ServiceAdded, name, AtOnce, "new")
		}
	}
}

func (c *comparison) compareService(old, now *routetable.Service) {
	c.compareLimit("connections to a target of service "+now.Name, float64(old.MaxConns), float64(now.MaxConns), AtOnce, formatNumber)
	c.compareLimit("requests a second to a cold target of service "+now.Name, old.ColdRate, now.ColdRate, AtOnce, formatNumber)
	if old.ColdStart != now.ColdStart {
		c.add(ServiceChanged, now.Name, AtOnce, "targets are cold for %v instead of %v after a start", now.ColdStart, old.ColdStart)
	}
	if sameEngine := old.Engine == now.Engine || old.Engine != nil && now.Engine != nil && *old.Engine == *now.Engine; !sameEngine {
		c.add(ServiceChanged, now.Name, AtOnce, "the description of its engines changes")
	}
}

func (c *comparison) compareLimits() {
	old, now := c.before.Limits, c.after.Limits
	c.compareLimit("header bytes of a request", float64(old.HeaderBytes), float64(now.HeaderBytes), AtOnce, formatNumber)
	c.compareLimit("body bytes of a request", float64(old.BodyBytes), float64(now.BodyBytes), AtOnce, formatNumber)
	c.compareLimit("time for the headers of a request", float64(old.HeaderTimeout), float64(now.HeaderTimeout), AtOnce, formatDuration)
	c.compareLimit("time for which a connection may be idle", float64(old.IdleTimeout), float64(now.IdleTimeout), AtOnce, formatDuration)
}
