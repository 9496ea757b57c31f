package configcheck

import (
	"time"

	"github.com/camphorbank/camphorbank/internal/gateway"
)

const (
	// minHeaderBytes is the size of the headers that a request of this platform needs at least.
	minHeaderBytes = 1 << 10
	// minHeaderTimeout covers a lost packet at the start of a connection, which is sent again after a second.
	minHeaderTimeout = time.Second
)

func (k *checker) checkServices() {
	names := map[string]bool{}
	for i := range k.config.Services {
		s := &k.config.Services[i]
		at := Place{Section: Services, Index: i}
		k.checkName(at, s.Name, names)
		if k.services[s.Name] == nil {
			k.services[s.Name] = s
		}
		if s.MaxConns < 0 {
			k.add(Error, Place{Services, i, MaxConns, 0}, "must not be negative")
		}
		if s.ColdStart > 0 && s.ColdRate <= 0 {
			k.add(Warning, Place{Services, i, ColdStart, 0}, "has no effect: the service states no rate for cold targets")
		}
		if s.ColdRate > 0 && s.ColdStart <= 0 {
			k.add(Warning, Place{Services, i, ColdRate, 0}, "targets are not taken for cold after a start: the service states no time")
		}
		if e := s.Engine; e != nil && e.Slots <= 0 {
			k.add(Error, Place{Services, i, EngineSlots, 0}, "missing or not above 0")
		} else if e != nil && s.MaxConns > 0 && s.MaxConns < e.Slots {
			k.add(Warning, Place{Services, i, MaxConns, 0}, "%d is below the %d slots of an engine, which can never all be used", s.MaxConns, e.Slots)
		}
	}
}

// checkUnusedServices reports services that get no requests. It must run after checkRoutes.
func (k *checker) checkUnusedServices() {
	for i, s := range k.config.Services {
		if s.Name != "" && !k.used[s.Name] {
			k.add(Warning, Place{Services, i, Name, 0}, "no route sends requests to service %q", s.Name)
		}
	}
}

func (k *checker) checkAccounts() {
	names := map[string]bool{}
	holders := map[string]string{}
	for i, a := range k.config.Accounts {
		at := Place{Section: Accounts, Index: i}
		k.checkName(at, a.Name, names)
		at.Field = Keys
		if len(a.Keys) == 0 {
			k.add(Warning, at, "client account %q has no key, so that it has no access", a.Name)
		}
		for n, key := range a.Keys {
			at.Element = n
			other, held := holders[key]
			switch {
			case key == "":
				k.add(Error, at, "empty key")
			case held && other == a.Name:
				k.add(Warning, at, "key %s is listed twice", KeyHash(key))
			case held:
				k.add(Error, at, "key %s is also a key of client account %q", KeyHash(key), other)
			}
			holders[key] = a.Name
		}
	}
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	for _, c := range []struct {
		field       Field
		value       int64
		least, most int64 // 0 for no bound
		unit        int64
		unitName    string
	}{
		{HeaderBytes, int64(l.HeaderBytes), minHeaderBytes, gateway.MaxHeaderBytes, 1, "bytes"},
		{BodyBytes, l.BodyBytes, 0, 0, 1, "bytes"},
		{HeaderTimeout, int64(l.HeaderTimeout), int64(minHeaderTimeout), int64(gateway.HeaderTimeout), int64(time.Millisecond), "ms"},
		{IdleTimeout, int64(l.IdleTimeout), int64(minHeaderTimeout), int64(gateway.IdleTimeout), int64(time.Millisecond), "ms"},
	} {
		at := Place{Section: Limits, Field: c.field}
		switch {
		case c.value < 0:
			k.add(Error, at, "must not be negative")
		case c.value > 0 && c.value < c.least:
			k.add(Warning, at, "%d is below the %d %s that requests need", c.value/c.unit, c.least/c.unit, c.unitName)
		case c.most > 0 && c.value > c.most:
			k.add(Warning, at, "has no effect above the %d %s that entries allow", c.most/c.unit, c.unitName)
		}
	}
}
