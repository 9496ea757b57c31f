package configcheck

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
