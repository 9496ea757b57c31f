// Package retry limits retries, so that an outage doesn't multiply the load on the targets that still work. Budget
// limits the further attempts that one process makes for the requests to a model or plain service. FleetBudget
// limits the retries of all processes of the fleet together, by giving each process an equal share.
package retry

import "sync"

// burstRetries is the largest number of retries that a budget can accumulate. A new budget starts with it, so that a
// service with a few calls a minute can still retry one.
const burstRetries = 10.0

// Budget is a token bucket: each request adds a fraction of a token, and each retry uses a whole one. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: burstRetries} }

// CountRequest counts a request. It adds share, the retries permitted for each request, to the budget.
func (b *Budget) CountRequest(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burstRetries, b.tokens+share)
}

// Take uses one retry from the budget. It returns false if the budget has none left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds one budget for each model or plain service. It is safe for concurrent use.
type Budgets struct {
	mu    sync.Mutex
	byKey map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets { return &Budgets{byKey: map[string]*Budget{}} }

// Of returns the budget of the key, and creates it at the first call. Budgets are never deleted, so a key must name a
// configured model or service.
func (s *Budgets) Of(key string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byKey[key]
	if b == nil {
		b = NewBudget()
		s.byKey[key] = b
	}
	return b
}
