package routetable

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
)

// Table is a revision of the configuration with indexes for matching. It is immutable.
type Table struct {
	Config   Config
	hosts    map[string][]*Route // by lower-case host, longest prefix first
	accounts map[string]*Account // by key
	services map[string]*Service
	// prioritized holds the services whose requests differ in priority.
	prioritized map[string]bool
}

// Compile builds the table of a revision.
func Compile(c Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, accounts: map[string]*Account{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			t.accounts[key] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	t.prioritized = prioritizedServices(c)
	return t
}

// prioritizedServices returns the services of a revision whose requests may differ in priority.
func prioritizedServices(c Config) map[string]bool {
	ofAccounts := map[int]bool{}
	for _, a := range c.Accounts {
		if a.Priority != nil {
			ofAccounts[*a.Priority] = true
		}
	}
	byService := map[string]map[int]bool{}
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			if byService[b.Service] == nil {
				byService[b.Service] = map[int]bool{}
			}
			byService[b.Service][r.Priority] = true
			if !r.Public {
				maps.Copy(byService[b.Service], ofAccounts)
			}
		}
	}
	out := map[string]bool{}
	for service, priorities := range byService {
		out[service] = len(priorities) > 1
	}
	return out
}

// Prioritized reports whether the requests of a service may differ in priority, by their routes or client accounts.
func (t *Table) Prioritized(service string) bool { return t.prioritized[service] }

// Match returns the route of the host whose prefix is the longest one that the path begins with.
func (t *Table) Match(host, path string) (*Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the client account that holds the key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}

// NeedsKey reports whether a request on the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Config.Accounts) > 0 && !r.Public }

// Service returns the service with the name, or nil if the revision does not contain it.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService draws the service of one request at random, weighted by the route's backends. It returns an empty string
// if the route has no backends.
func (r *Route) PickService() string {
	if len(r.Backends) == 1 {
		return r.Backends[0].Service
	}
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	point := rand.Float64() * total
	for _, b := range r.Backends {
		if point -= b.Weight; point < 0 {
			return b.Service
		}
	}
	if n := len(r.Backends); n > 0 {
		return r.Backends[n-1].Service
	}
	return ""
}
