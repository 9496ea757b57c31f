package routetable

import "testing"

// TestPrioritized guards against contention control for services whose routes have the same priority, also if client accounts
// state priorities, and against its absence where routes differ.
func TestPrioritized(t *testing.T) {
	urgent := 0
	routes := []Route{
		{Name: "r0", Priority: 0, Backends: []Backend{{Service: "mixed"}}},
		{Name: "r1", Priority: 1, Backends: []Backend{{Service: "mixed"}, {Service: "plain"}}},
		{Name: "r2", Priority: 1, Backends: []Backend{{Service: "plain"}}},
		{Name: "r3", Priority: 1, Backends: []Backend{{Service: "public"}}, Public: true},
	}
	check := func(accounts []Account, want map[string]bool) {
		t.Helper()
		table := Compile(Config{Routes: routes, Accounts: accounts})
		for service, prioritized := range want {
			if table.Prioritized(service) != prioritized {
				t.Errorf("%s: prioritized %v with accounts %v", service, !prioritized, accounts)
			}
		}
	}
	check([]Account{{Name: "a"}}, map[string]bool{"mixed": true, "plain": false, "public": false, "unknown": false})
	check([]Account{{Name: "a"}, {Name: "b", Priority: &urgent}}, map[string]bool{"mixed": true, "plain": false, "public": false})
}

// TestClass guards against a route's priority that counts more than that of the client account, or not at all.
func TestClass(t *testing.T) {
	high, low := 0, 1
	first, second := &Route{Priority: 0}, &Route{Priority: 2}
	order := []int{first.Class(&Account{Priority: &high}), second.Class(&Account{Priority: &high}),
		first.Class(&Account{Priority: &low}), second.Class(&Account{Priority: &low}), second.Class(nil)}
	for i := range order[1:] {
		if order[i] >= order[i+1] {
			t.Errorf("classes %v are not in the order of urgency", order)
		}
	}
	if a, b := first.Class(nil), first.Class(&Account{}); a != b || a != 0 {
		t.Errorf("classes %d and %d without a priority of the account", a, b)
	}
}
