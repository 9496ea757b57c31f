// Package membudget bounds the memory that the requests in progress of a process hold together, and divides it fairly over
// client accounts.
//
// The share of an account follows the dynamic threshold of shared-memory switches (Choudhury and Hahne, 1998): an account may
// hold as much as is free. One account alone gets half of the memory, two get a third each, and so on. What is left is for the
// first requests of further accounts, so that a crest of large requests of one account does not keep the others out.
package membudget

import "sync"

// Budget is the memory that requests may hold together. It is safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	limit int64

	mu        sync.Mutex
	held      int64
	byAccount map[string]int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, byAccount: map[string]int64{}} }

// Lease is the memory that one request holds. It is not safe for concurrent use.
type Lease struct {
	budget  *Budget
	account string
	bytes   int64
}

// Lease returns a lease of no bytes for a request of a client account. Release must be called at the end of the request.
func (b *Budget) Lease(account string) *Lease { return &Lease{budget: b, account: account} }

// Grow adds n bytes to the lease. It returns false, and adds nothing, if the account must not hold that many now. A request
// that is the only one to hold memory gets any number, so that none is refused for ever.
func (l *Lease) Grow(n int64) bool {
	if l.budget == nil {
		return true
	}
	if !l.budget.take(l.account, n, l.bytes) {
		return false
	}
	l.bytes += n
	return true
}

// Release gives the memory of the lease back. It may be called more than once. A nil lease holds nothing.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	if l.budget != nil && l.bytes > 0 {
		l.budget.giveBack(l.account, l.bytes)
	}
	l.bytes = 0
}

// Held returns the number of bytes that all leases hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// take adds n bytes to those of the account. own is the number of bytes that the request holds already.
func (b *Budget) take(account string, n, own int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	alone := b.held == own
	if !alone && b.byAccount[account]+n > b.limit-b.held {
		return false
	}
	b.held += n
	b.byAccount[account] += n
	return true
}

func (b *Budget) giveBack(account string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	if b.byAccount[account] -= n; b.byAccount[account] == 0 {
		delete(b.byAccount, account)
	}
}
