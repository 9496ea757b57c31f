package routetable

import "testing"

// TestPrioritized guards against services that are ordered by priority although all their requests have the same, and
// against priorities of client accounts that are overlooked.
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
	check([]Account{{Name: "a"}, {Name: "b", Priority: &urgent}}, map[string]bool{"mixed": true, "plain": true, "public": false})
}
