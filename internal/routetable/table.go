package routetable

import (
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
	// prioritized holds the services to which routes of different priorities lead.
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

// prioritizedServices returns the services to which routes of different priorities lead. Priorities of client accounts alone
// do not make a service one of them: its requests are served in the order of these priorities without contention control.
func prioritizedServices(c Config) map[string]bool {
	priorities := map[string]map[int]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, b := range r.Backends {
			if priorities[b.Service] == nil {
				priorities[b.Service] = map[int]bool{}
			}
			priorities[b.Service][r.Priority] = true
		}
	}
	out := map[string]bool{}
	for service, p := range priorities {
		out[service] = len(p) > 1
	}
	return out
}

// priorityLevels is the number of priorities that a route or an account can have. Others count as the nearest one.
const priorityLevels = 10

// Class returns the urgency of an account's requests on the route, of which 0 is the most urgent. The priority of the
// account decides, and among those of equal priority that of the route. account may be nil.
func (r *Route) Class(account *Account) int {
	first := r.Priority
	if account != nil && account.Priority != nil {
		first = *account.Priority
	}
	level := func(priority int) int { return min(max(0, priority), priorityLevels-1) }
	return level(first)*priorityLevels + level(r.Priority)
}

// Prioritized reports whether routes of different priorities lead to a service.
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
